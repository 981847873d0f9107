package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// deathsToQuarantine is the number of confirmed target deaths after which a content is
// quarantined.
const deathsToQuarantine = 2

// content is the record of a request content that was running on a target when the target
// crashed or may have crashed.
type content struct {
	hash   fleet.ContentHash
	deaths []death
	// running is the attempt that retries the content; only one may run at a time.
	running *attempt
	// quarantinedUntil is the end of the quarantine; zero for a suspect.
	quarantinedUntil time.Time
	// expiresAt is when the record expires unless the content is seen again.
	expiresAt time.Time
}

// death is a confirmed or suspected crash of one incarnation of a target that ran the content.
type death struct {
	target      *target
	incarnation fleet.Incarnation
	// confirmed is set if the target restarted, is missing or is unknown; otherwise only a
	// connection broke. In both cases an announcement or heartbeat of the same incarnation
	// that is at least as new as disprovedBy disproves the death.
	confirmed   bool
	disprovedBy watermark
}

// confirmedDeaths returns the number of deaths that are confirmed.
func (c *content) confirmedDeaths() int {
	n := 0
	for _, d := range c.deaths {
		if d.confirmed {
			n++
		}
	}
	return n
}

// contentRecord returns the record of a content, which it adds if there is none, and
// postpones its expiry.
func (r *Reducer) contentRecord(hash fleet.ContentHash) *content {
	c, ok := r.contents[hash]
	if !ok {
		c = &content{hash: hash}
		r.contents[hash] = c
	}
	c.expiresAt = r.now.Add(r.quarantineDuration())
	return c
}

func (r *Reducer) quarantineDuration() time.Duration {
	return max(time.Second, r.config.Fleet.Policy.QuarantineFor)
}

// suspectContent records that a target crashed, or may have crashed, while it ran the attempt.
func (r *Reducer) suspectContent(a *attempt, confirmed bool) {
	if a.presumed || r.cfg.disabled.suspects {
		return
	}
	c := r.contentRecord(a.ticket.Content)
	confirmed = confirmed || a.target.hasEnded(a.targetIncarnation)
	if c.addDeath(a.target, a.targetIncarnation, confirmed, r.now) {
		r.emitDecision(a.ticket.Request, a.customer.name, "Suspected", "", "target "+string(a.target.id)+" failed with it")
		r.replicateContent(c)
	}
	for i := range c.deaths {
		if c.deaths[i].target == a.target {
			c.deaths[i].disprovedBy = a.target.watermarkAfter(r.now)
		}
	}
	if !slices.Contains(a.target.suspectedContents, c) {
		a.target.suspectedContents = append(a.target.suspectedContents, c)
	}
	r.quarantineIfDue(c)
}

// addDeath records a death and reports whether it was new.
func (c *content) addDeath(t *target, incarnation fleet.Incarnation, confirmed bool, now time.Time) bool {
	for i := range c.deaths {
		if d := &c.deaths[i]; d.target == t && d.incarnation == incarnation {
			d.confirmed = d.confirmed || confirmed
			return false
		}
	}
	c.deaths = append(c.deaths, death{target: t, incarnation: incarnation, confirmed: confirmed, disprovedBy: t.watermarkAfter(now)})
	return true
}

// hasEnded reports whether an incarnation of the target no longer runs, as far as
// announcements show. A target that is unknown or missing counts as ended.
func (t *target) hasEnded(incarnation fleet.Incarnation) bool {
	return !t.known || t.missing || t.last.Incarnation > incarnation
}

// quarantineIfDue quarantines a content with deathsToQuarantine confirmed deaths and cancels
// its attempts.
func (r *Reducer) quarantineIfDue(c *content) {
	r.recheckParked = true
	if c.confirmedDeaths() < deathsToQuarantine || r.now.Before(c.quarantinedUntil) {
		return
	}
	c.quarantinedUntil = r.now.Add(r.quarantineDuration())
	r.replicateContent(c)
	for _, t := range r.targetList {
		for _, a := range t.attempts {
			if a.ticket.Content == c.hash && a.router != nil && a.router.connected {
				box := r.outboxOf(a.router)
				box.cancel = append(box.cancel, a.id)
			}
		}
	}
}

// targetRestarted ends everything that ran on the earlier incarnation of a restarted target.
func (r *Reducer) targetRestarted(t *target) {
	r.confirmDeaths(t)
	for len(t.attempts) > 0 {
		a := t.attempts[len(t.attempts)-1]
		r.suspectContent(a, true)
		r.finish(a, a.spent)
	}
	for len(t.standing) > 0 {
		r.removeStanding(t.standing[0])
	}
	t.suspectedContents = nil
	t.limiter.reset()
	r.replicateLimit(t)
}

// confirmDeaths confirms the suspected deaths of a target.
func (r *Reducer) confirmDeaths(t *target) {
	for _, c := range t.suspectedContents {
		for i := range c.deaths {
			if c.deaths[i].target == t {
				c.deaths[i].confirmed = true
			}
		}
		r.quarantineIfDue(c)
	}
}

// targetMissing treats a target that stopped announcing itself as crashed until it announces
// itself again under the same incarnation.
func (r *Reducer) targetMissing(t *target) {
	r.confirmDeaths(t)
	for _, a := range slices.Clone(t.attempts) {
		r.suspectContent(a, true)
		r.releaseSuspect(a)
	}
}

// releaseSuspect allows the content to be retried elsewhere. The attempt itself may stay in
// doubt for much longer.
func (r *Reducer) releaseSuspect(a *attempt) {
	if a.suspect != nil && a.suspect.running == a {
		a.suspect.running = nil
		r.recheckParked = true
	}
}

// disproveDeaths removes the deaths that the target's newest announcement or heartbeat
// disproves.
func (r *Reducer) disproveDeaths(t *target) {
	kept := t.suspectedContents[:0]
	for _, c := range t.suspectedContents {
		n := len(c.deaths)
		c.deaths = slices.DeleteFunc(c.deaths, func(d death) bool {
			return d.target == t && d.incarnation == t.last.Incarnation && t.reached(d.disprovedBy)
		})
		if len(c.deaths) == n {
			kept = append(kept, c)
			continue
		}
		r.recheckParked = true
		if len(c.deaths) == 0 && !r.now.Before(c.quarantinedUntil) {
			r.removeContent(c)
		}
	}
	clear(t.suspectedContents[len(kept):])
	t.suspectedContents = kept
}

// clearSuspect removes the record of a content that ran to completion, unless it is
// quarantined.
func (r *Reducer) clearSuspect(a *attempt) {
	c := r.contents[a.ticket.Content]
	if c == nil || r.now.Before(c.quarantinedUntil) {
		return
	}
	r.removeContent(c)
}

func (r *Reducer) removeContent(c *content) {
	delete(r.contents, c.hash)
	c.deaths = nil
	r.recheckParked = true
	r.replicateContent(c)
}

// expireContents removes the expired records of contents.
func (r *Reducer) expireContents() {
	for hash, c := range r.contents {
		if c.running == nil && r.now.After(c.expiresAt) && r.now.After(c.quarantinedUntil) {
			delete(r.contents, hash)
		}
	}
}

// isQuarantined reports whether the ticket's content is quarantined.
func (r *Reducer) isQuarantined(t *ticket) bool {
	c := r.contents[t.Content]
	return c != nil && r.now.Before(c.quarantinedUntil)
}

func (r *Reducer) quarantineLeft(hash fleet.ContentHash) time.Duration {
	if c := r.contents[hash]; c != nil {
		return c.quarantinedUntil.Sub(r.now)
	}
	return 0
}

func (r *Reducer) isSuspect(t *ticket) bool {
	c := r.contents[t.Content]
	return c != nil && len(c.deaths) > 0
}

// mustPark reports whether the ticket may not run now: its router has a newer configuration,
// or its content is being retried or has enough deaths for a quarantine that are not all
// confirmed yet.
func (r *Reducer) mustPark(t *ticket) bool {
	if t.router.version > r.config.Version {
		// The router would return a grant made under an older configuration than its own.
		return true
	}
	c := r.contents[t.Content]
	return c != nil && (c.running != nil || len(c.deaths) >= deathsToQuarantine)
}

// chooseForSuspect returns the least loaded free target that runs no other suspect, and its
// placement score.
func (r *Reducer) chooseForSuspect(s *service, t *ticket) (*target, int) {
	var best *target
	for _, dc := range s.dataCentres {
		for _, to := range s.free[dc].items {
			if to.suspects == 0 && (best == nil || lessLoaded(to, best)) {
				best = to
			}
		}
	}
	if best != nil && best.last.DataCentre == t.DataCentre {
		return best, placeLocal
	}
	return best, placeRemote
}

// park removes a ticket from its customer's queue until its content may run.
func (r *Reducer) park(t *ticket) {
	t.parked = true
	t.customer.parked++
	t.customer.dequeue(r.now, t)
	t.customer.service.parked = append(t.customer.service.parked, t)
}

// unpark queues those parked tickets again whose content may run, one of each suspect content,
// and refuses those whose content is quarantined.
func (r *Reducer) unpark(s *service) {
	kept := s.parked[:0]
	queued := map[fleet.ContentHash]bool{}
	for _, t := range s.parked {
		switch {
		case !t.parked:
		case r.isQuarantined(t):
			r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		case r.mustPark(t) || r.isSuspect(t) && queued[t.Content]:
			kept = append(kept, t)
		default:
			queued[t.Content] = true
			t.customer.enqueue(r.now, t)
			t.parked = false
			t.customer.parked--
		}
	}
	clear(s.parked[len(kept):])
	s.parked = kept
}

const quarantineDetail = "the request brought down targets that ran it"
