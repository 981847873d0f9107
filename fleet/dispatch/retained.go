package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// limitReplicas is the number of routers that keep the limit of a target for the next lease
// holder.
const limitReplicas = 3

// revisionBits is the number of low bits of a revision that count the changes under one
// epoch; the bits above them hold the epoch.
const revisionBits = 40

// replicationQueue collects the state that routers are to keep for the next lease holder.
type replicationQueue struct {
	contents []*content
	targets  []*target
}

// replicateContent queues the record of a content for all routers.
func (r *Reducer) replicateContent(c *content) {
	if !slices.Contains(r.toReplicate.contents, c) {
		r.toReplicate.contents = append(r.toReplicate.contents, c)
	}
}

// replicateLimit queues the limit of a target, under a new revision, for limitReplicas
// routers.
func (r *Reducer) replicateLimit(t *target) {
	r.limitRevisions++
	t.limiter.revision = fleet.Sequence(r.lease.epoch)<<revisionBits | fleet.Sequence(r.limitRevisions)
	if !slices.Contains(r.toReplicate.targets, t) {
		r.toReplicate.targets = append(r.toReplicate.targets, t)
	}
}

// sendContents sends the queued contents to all routers at the end of each event, since the
// dispatcher may fail before the next scan.
func (r *Reducer) sendContents() {
	contents := r.toReplicate.contents
	r.toReplicate.contents = nil
	if r.phase != active {
		return
	}
	for _, c := range contents {
		for _, rt := range r.routerList {
			if rt.connected {
				r.queueContent(rt, c)
			}
		}
	}
}

// queueAllContents sends all contents to a router that may have restarted. Without them it
// might start a quarantined request on a standing grant.
func (r *Reducer) queueAllContents(rt *router) {
	if r.phase != active {
		return
	}
	for _, c := range r.sortedContents() {
		r.queueContent(rt, c)
	}
}

func (r *Reducer) sortedContents() []*content {
	list := make([]*content, 0, len(r.contents))
	for _, c := range r.contents {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *content) int { return compare(a.hash, b.hash) })
	return list
}

// sendLimits sends the limits that changed since the last scan to limitReplicas routers each.
func (r *Reducer) sendLimits() {
	targets := r.toReplicate.targets
	r.toReplicate.targets = nil
	if r.phase != active {
		return
	}
	for _, t := range targets {
		r.queueLimit(t)
	}
}

func (r *Reducer) queueContent(rt *router, c *content) {
	box := r.outboxOf(rt)
	if left := c.quarantinedUntil.Sub(r.now); left > 0 {
		box.quarantined = append(box.quarantined, fleet.Quarantine{Content: c.hash, For: left})
	}
	suspect := fleet.Suspect{Content: c.hash}
	for _, d := range c.deaths {
		suspect.For = c.expiresAt.Sub(r.now)
		suspect.Deaths = append(suspect.Deaths, fleet.TargetDeath{Target: d.target.id, Incarnation: d.incarnation})
	}
	box.suspects = append(box.suspects, suspect)
}

func (r *Reducer) queueLimit(t *target) {
	first := int(xxhash.Sum64String(string(t.id)) % uint64(max(1, len(r.routerList))))
	for i, sent := 0, 0; i < len(r.routerList) && sent < limitReplicas; i++ {
		rt := r.routerList[(first+i)%len(r.routerList)]
		if !rt.connected {
			continue
		}
		sent++
		box := r.outboxOf(rt)
		box.limits = append(box.limits, fleet.TargetLimit{
			Target: t.id, Incarnation: t.last.Incarnation, Limit: t.limiter.limit, Revision: t.limiter.revision,
		})
	}
}

// applyRetained applies the state that a router kept from an earlier lease holder. An active
// dispatcher applies the quarantines only.
func (r *Reducer) applyRetained(m *fleet.RouterReport) {
	if r.cfg.disabled.retained {
		return
	}
	if r.phase != active {
		r.applyServed(m.Served)
	}
	for _, q := range m.Quarantined {
		r.applyQuarantine(q.Content, q.For)
	}
	if r.phase == active {
		return
	}
	for i := range m.Suspects {
		if m.Suspects[i].For > 0 {
			r.applySuspect(&m.Suspects[i])
		}
	}
	for _, l := range m.Limits {
		t := r.target(l.Target)
		if t.known && t.last.Incarnation != l.Incarnation {
			continue
		}
		if l.Revision > t.limiter.revision {
			t.limiter.retained, t.limiter.revision = max(1, l.Limit), l.Revision
		}
	}
}

// applySuspect applies a suspect that an earlier lease holder recorded. The targets' next
// announcements confirm or disprove the deaths.
func (r *Reducer) applySuspect(m *fleet.Suspect) {
	if r.cfg.disabled.suspects {
		return
	}
	c := r.contentRecord(m.Content)
	c.expiresAt = r.now.Add(m.For)
	for _, d := range m.Deaths {
		r.addReportedDeath(c, d)
	}
	r.quarantineIfDue(c)
}

// addReportedDeath records a death that a router reported and reports whether it was new. The
// death is confirmed if the target is unknown, missing or restarted.
func (r *Reducer) addReportedDeath(c *content, d fleet.TargetDeath) bool {
	t := r.target(d.Target)
	if !slices.Contains(t.suspectedContents, c) {
		t.suspectedContents = append(t.suspectedContents, c)
	}
	return c.addDeath(t, d.Incarnation, t.hasEnded(d.Incarnation), r.now)
}

// applyBroken records the targets at which earlier attempts of a ticket's request broke off.
func (r *Reducer) applyBroken(m *fleet.Ticket) {
	if len(m.Broken) == 0 || r.cfg.disabled.suspects {
		return
	}
	c := r.contentRecord(m.Content)
	for _, d := range m.Broken {
		if r.addReportedDeath(c, d) {
			r.replicateContent(c)
		}
	}
	r.quarantineIfDue(c)
}

// applyQuarantine quarantines a content for the time that was left of an earlier lease
// holder's quarantine.
func (r *Reducer) applyQuarantine(hash fleet.ContentHash, left time.Duration) {
	if left <= 0 || r.cfg.disabled.suspects {
		return
	}
	c := r.contentRecord(hash)
	if until := r.now.Add(left); until.After(c.quarantinedUntil) {
		c.quarantinedUntil = until
		r.recheckParked = true
	}
}

// applyServed applies the counters of an earlier lease holder. The entry without a customer
// is the service's virtual time.
func (r *Reducer) applyServed(totals []fleet.ServedTotal) {
	for _, st := range totals {
		s := r.service(st.Service)
		value := counter(st.Counter) * counterScale
		if st.Customer == "" {
			s.virtualTime = max(s.virtualTime, value)
			continue
		}
		c := r.customer(s, st.Customer)
		if !c.restored || value > c.counter {
			c.counter, c.restored = value, true
			c.updateBacklog()
		}
	}
}

// restoreCounters sets the counters that no router retained to the virtual time, and raises the
// others to within maxCounterSpread of it.
func (r *Reducer) restoreCounters(s *service) {
	maxSpread := r.maxCounterSpread(s)
	for _, c := range s.sortedCustomers() {
		if c.restored {
			s.virtualTime = max(s.virtualTime, c.counter-maxSpread)
		}
	}
	for _, c := range s.sortedCustomers() {
		if !c.restored {
			c.counter = s.virtualTime
		}
		c.counter = max(c.counter, s.virtualTime-maxSpread)
		c.refundFloor, c.restored = c.counter, false
		c.updateBacklog()
	}
}
