package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// limitKeepers is the number of routers that remember the limit of a target.
const limitKeepers = 3

// revisionBits is the number of bits for the changes under one epoch.
const revisionBits = 40

// news collects what routers have to remember for a successor.
type news struct {
	contents []*content
	targets  []*target
}

// remember lets all routers keep what is known of a content.
func (r *Reducer) remember(c *content) {
	if !slices.Contains(r.news.contents, c) {
		r.news.contents = append(r.news.contents, c)
	}
}

// limitChanged lets a few routers keep the limit of a target.
func (r *Reducer) limitChanged(t *target) {
	r.revisions++
	t.limiter.revision = fleet.Sequence(r.lease.epoch)<<revisionBits | fleet.Sequence(r.revisions)
	if !slices.Contains(r.news.targets, t) {
		r.news.targets = append(r.news.targets, t)
	}
}

// tellContents sends what is new about contents to all routers at once, since the
// dispatcher may not live to do it later.
func (r *Reducer) tellContents() {
	contents := r.news.contents
	r.news.contents = nil
	if r.phase != active {
		return
	}
	for _, c := range contents {
		for _, o := range r.routerList {
			if o.connected {
				r.tellContent(o, c)
			}
		}
	}
}

// tellAllContents lets a router that may have restarted keep what is known, or it might
// start a barred request on a standing grant.
func (r *Reducer) tellAllContents(o *router) {
	if r.phase != active {
		return
	}
	for _, c := range r.sortedContents() {
		r.tellContent(o, c)
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

// tellLimits sends the limits that changed since the last scan to a few routers each.
func (r *Reducer) tellLimits() {
	targets := r.news.targets
	r.news.targets = nil
	if r.phase != active {
		return
	}
	for _, t := range targets {
		r.tellLimit(t)
	}
}

func (r *Reducer) tellContent(o *router, c *content) {
	box := r.post(o)
	if left := c.quarantinedUntil.Sub(r.now); left > 0 {
		box.quarantined = append(box.quarantined, fleet.Quarantine{Content: c.hash, For: left})
	}
	suspect := fleet.Suspect{Content: c.hash}
	for _, d := range c.deaths {
		suspect.For = c.forgottenAt.Sub(r.now)
		suspect.Deaths = append(suspect.Deaths, fleet.TargetDeath{Target: d.target.id, Incarnation: d.incarnation})
	}
	box.suspects = append(box.suspects, suspect)
}

func (r *Reducer) tellLimit(t *target) {
	first := int(xxhash.Sum64String(string(t.id)) % uint64(max(1, len(r.routerList))))
	for i, told := 0, 0; i < len(r.routerList) && told < limitKeepers; i++ {
		o := r.routerList[(first+i)%len(r.routerList)]
		if !o.connected {
			continue
		}
		told++
		box := r.post(o)
		box.limits = append(box.limits, fleet.TargetLimit{
			Target: t.id, Incarnation: t.last.Incarnation, Limit: t.limiter.limit, Revision: t.limiter.revision,
		})
	}
}

// applyRemembered takes in what a router kept for a new lease holder.
func (r *Reducer) applyRemembered(m *fleet.RouterReport) {
	if r.cfg.off.retained {
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

// applySuspect takes in what an earlier lease holder laid on a content. The targets'
// next announcements tell which of them really died.
func (r *Reducer) applySuspect(m *fleet.Suspect) {
	if r.cfg.off.suspects {
		return
	}
	c := r.suspectOf(m.Content)
	c.forgottenAt = r.now.Add(m.For)
	for _, d := range m.Deaths {
		r.addTold(c, d)
	}
	r.judge(c)
}

// addTold records a death that a router told of. A target that is not known, or has
// started again, surely died.
func (r *Reducer) addTold(c *content, d fleet.TargetDeath) bool {
	t := r.target(d.Target)
	if !slices.Contains(t.blamed, c) {
		t.blamed = append(t.blamed, c)
	}
	return c.addDeath(t, d.Incarnation, t.gone(d.Incarnation), r.now)
}

// applyBroken takes in where earlier attempts of a ticket's request broke.
func (r *Reducer) applyBroken(m *fleet.Ticket) {
	if len(m.Broken) == 0 || r.cfg.off.suspects {
		return
	}
	c := r.suspectOf(m.Content)
	for _, d := range m.Broken {
		if r.addTold(c, d) {
			r.remember(c)
		}
	}
	r.judge(c)
}

// applyQuarantine bars a content that an earlier lease holder barred.
func (r *Reducer) applyQuarantine(hash fleet.ContentHash, left time.Duration) {
	if left <= 0 || r.cfg.off.suspects {
		return
	}
	c := r.suspectOf(hash)
	if until := r.now.Add(left); until.After(c.quarantinedUntil) {
		c.quarantinedUntil = until
		r.parkedMayRun = true
	}
}

// applyServed takes in the counters of an earlier lease holder. The entry without a
// customer is the highest counter at which the service granted.
func (r *Reducer) applyServed(totals []fleet.ServedTotal) {
	for _, st := range totals {
		s := r.service(st.Service)
		value := counter(st.Counter) * counterScale
		if st.Customer == "" {
			s.virtual = max(s.virtual, value)
			continue
		}
		c := r.customer(s, st.Customer)
		if !c.restored || value > c.counter {
			c.counter, c.restored = value, true
			c.resort()
		}
	}
}

// restoreCounters gives the customers whose counter no router remembers neither credit
// nor debt, and keeps the others as near to each other as the bound says they were.
func (r *Reducer) restoreCounters(s *service) {
	reach := r.spread(s)
	for _, c := range s.sorted() {
		if c.restored {
			s.virtual = max(s.virtual, c.counter-reach)
		}
	}
	for _, c := range s.sorted() {
		if !c.restored {
			c.counter = s.virtual
		}
		c.counter = max(c.counter, s.virtual-reach)
		c.floor, c.restored = c.counter, false
		c.resort()
	}
}
