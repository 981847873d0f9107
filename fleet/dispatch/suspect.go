package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// deathsToQuarantine is the number of targets that a request may bring down.
const deathsToQuarantine = 2

// content is what is known of a request content that ran on a target when that died.
type content struct {
	hash   fleet.ContentHash
	deaths []death
	// running is the attempt that tries it again; it runs only once at a time.
	running *attempt
	// quarantinedUntil bars it; zero for a suspect.
	quarantinedUntil time.Time
	// forgottenAt is when a suspect that is not seen again is dropped.
	forgottenAt time.Time
}

// death is the end of one incarnation of a target with the content on it.
type death struct {
	target      *target
	incarnation fleet.Incarnation
	// confirmed says that the target is known to have died; else only a connection
	// broke, which an announcement of the same incarnation disproves.
	confirmed   bool
	disprovedBy proof
}

// confirmedDeaths returns the number of targets that surely died.
func (c *content) confirmedDeaths() int {
	n := 0
	for _, d := range c.deaths {
		if d.confirmed {
			n++
		}
	}
	return n
}

// suspectOf returns the record of a content, new if there is none.
func (r *Reducer) suspectOf(hash fleet.ContentHash) *content {
	c, ok := r.contents[hash]
	if !ok {
		c = &content{hash: hash}
		r.contents[hash] = c
	}
	c.forgottenAt = r.now.Add(r.quarantineFor())
	return c
}

func (r *Reducer) quarantineFor() time.Duration {
	return max(time.Second, r.config.Fleet.Policy.QuarantineFor)
}

// blame records that a target died, or seems to have died, with an attempt on it.
func (r *Reducer) blame(a *attempt, confirmed bool) {
	if a.presumed || r.cfg.off.suspects {
		return
	}
	c := r.suspectOf(a.ticket.Content)
	confirmed = confirmed || a.target.gone(a.targetInc)
	if c.addDeath(a.target, a.targetInc, confirmed, r.now) {
		r.decide(a.ticket.Request, a.customer.name, "Suspected", "", "target "+string(a.target.id)+" failed with it")
		r.remember(c)
	}
	for i := range c.deaths {
		if c.deaths[i].target == a.target {
			c.deaths[i].disprovedBy = a.target.proofAfter(r.now)
		}
	}
	if !slices.Contains(a.target.blamed, c) {
		a.target.blamed = append(a.target.blamed, c)
	}
	r.judge(c)
}

// addDeath records a death and says whether it was not known before.
func (c *content) addDeath(t *target, incarnation fleet.Incarnation, confirmed bool, now time.Time) bool {
	for i := range c.deaths {
		if d := &c.deaths[i]; d.target == t && d.incarnation == incarnation {
			d.confirmed = d.confirmed || confirmed
			return false
		}
	}
	c.deaths = append(c.deaths, death{target: t, incarnation: incarnation, confirmed: confirmed, disprovedBy: t.proofAfter(now)})
	return true
}

// gone says whether an incarnation of the target surely does not run any more, as far
// as its announcements tell.
func (t *target) gone(incarnation fleet.Incarnation) bool {
	return !t.known || t.missing || t.last.Incarnation > incarnation
}

// judge quarantines a content that brought down too many targets.
func (r *Reducer) judge(c *content) {
	r.parkedMayRun = true
	if c.confirmedDeaths() < deathsToQuarantine || r.now.Before(c.quarantinedUntil) {
		return
	}
	c.quarantinedUntil = r.now.Add(r.quarantineFor())
	r.remember(c)
	for _, t := range r.targetList {
		for _, a := range t.attempts {
			if a.ticket.Content == c.hash && a.router != nil && a.router.connected {
				box := r.post(a.router)
				box.cancel = append(box.cancel, a.id)
			}
		}
	}
}

// targetDied ends everything that ran on the earlier incarnation of a target.
func (r *Reducer) targetDied(t *target) {
	r.confirmDeaths(t)
	for len(t.attempts) > 0 {
		a := t.attempts[len(t.attempts)-1]
		r.blame(a, true)
		r.finish(a, a.spent)
	}
	for len(t.standing) > 0 {
		r.removeStanding(t.standing[0])
	}
	t.blamed = nil
	t.limiter.reset()
	r.limitChanged(t)
}

// confirmDeaths turns the suspicion of a target's failure into certainty.
func (r *Reducer) confirmDeaths(t *target) {
	for _, c := range t.blamed {
		for i := range c.deaths {
			if c.deaths[i].target == t {
				c.deaths[i].confirmed = true
			}
		}
		r.judge(c)
	}
}

// targetMissing takes a target that stopped to announce itself for dead until it
// announces itself again under the same incarnation.
func (r *Reducer) targetMissing(t *target) {
	r.confirmDeaths(t)
	for _, a := range slices.Clone(t.attempts) {
		r.blame(a, true)
		r.releaseSuspect(a)
	}
}

// releaseSuspect lets a content be tried again elsewhere; the attempt may count as in
// doubt for much longer.
func (r *Reducer) releaseSuspect(a *attempt) {
	if a.suspect != nil && a.suspect.running == a {
		a.suspect.running = nil
		r.parkedMayRun = true
	}
}

// disproveDeaths takes back what was laid on contents when the target seemed dead.
func (r *Reducer) disproveDeaths(t *target) {
	kept := t.blamed[:0]
	for _, c := range t.blamed {
		n := len(c.deaths)
		c.deaths = slices.DeleteFunc(c.deaths, func(d death) bool {
			return d.target == t && d.incarnation == t.last.Incarnation && t.proves(d.disprovedBy)
		})
		if len(c.deaths) == n {
			kept = append(kept, c)
			continue
		}
		r.parkedMayRun = true
		if len(c.deaths) == 0 && !r.now.Before(c.quarantinedUntil) {
			r.forget(c)
		}
	}
	clear(t.blamed[len(kept):])
	t.blamed = kept
}

// clearSuspect forgets a content that ran to its end.
func (r *Reducer) clearSuspect(a *attempt) {
	c := r.contents[a.ticket.Content]
	if c == nil || r.now.Before(c.quarantinedUntil) {
		return
	}
	r.forget(c)
}

func (r *Reducer) forget(c *content) {
	delete(r.contents, c.hash)
	c.deaths = nil
	r.parkedMayRun = true
	r.remember(c)
}

// expireContents drops what was not seen again for long.
func (r *Reducer) expireContents() {
	for hash, c := range r.contents {
		if c.running == nil && r.now.After(c.forgottenAt) && r.now.After(c.quarantinedUntil) {
			delete(r.contents, hash)
		}
	}
}

// barred says whether the ticket's content is quarantined.
func (r *Reducer) barred(t *ticket) bool {
	c := r.contents[t.Content]
	return c != nil && r.now.Before(c.quarantinedUntil)
}

func (r *Reducer) quarantinedFor(hash fleet.ContentHash) time.Duration {
	if c := r.contents[hash]; c != nil {
		return c.quarantinedUntil.Sub(r.now)
	}
	return 0
}

func (r *Reducer) isSuspect(t *ticket) bool {
	c := r.contents[t.Content]
	return c != nil && len(c.deaths) > 0
}

// mustWait says whether the ticket's content may not run now: it runs somewhere as a
// suspect, or it is not yet clear whether it brought down too many targets.
func (r *Reducer) mustWait(t *ticket) bool {
	if t.router.version > r.config.Version {
		// The router would return a grant made under an older configuration.
		return true
	}
	c := r.contents[t.Content]
	return c != nil && (c.running != nil || len(c.deaths) >= deathsToQuarantine)
}

// chooseForSuspect returns the emptiest free target without another suspect.
func (r *Reducer) chooseForSuspect(s *service, t *ticket) (*target, int) {
	var best *target
	for _, dc := range s.centres {
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

// park takes a ticket out of its customer's queue until its content may run.
func (r *Reducer) park(t *ticket) {
	t.parked = true
	t.customer.parked++
	t.customer.dequeue(r.now, t)
	t.customer.service.parked = append(t.customer.service.parked, t)
}

// unpark queues the parked tickets again whose content may run, one of each content,
// and refuses those that are barred.
func (r *Reducer) unpark(s *service) {
	kept := s.parked[:0]
	queued := map[fleet.ContentHash]bool{}
	for _, t := range s.parked {
		switch {
		case !t.parked:
		case r.barred(t):
			r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		case r.mustWait(t) || r.isSuspect(t) && queued[t.Content]:
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
