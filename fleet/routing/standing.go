package routing

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// standingGrant is a standing grant and the attempts that use it.
type standingGrant struct {
	fleet.StandingGrant
	until time.Time
	used  fleet.Slots
	// starts numbers the attempts started on it.
	starts int
}

// standingGrants are the standing grants of the newest message that set them.
type standingGrants struct {
	epoch  fleet.Epoch
	grants []*standingGrant
}

func (s *standingGrants) clear() { s.grants = nil }

func (s *standingGrants) find(id fleet.GrantID) *standingGrant {
	for _, g := range s.grants {
		if g.ID == id {
			return g
		}
	}
	return nil
}

// usable says whether a standing grant of a service has not lapsed.
func (s *standingGrants) usable(now time.Time, service fleet.ServiceName, r *Router) bool {
	for _, g := range s.grants {
		if g.Service == service && now.Before(g.until) && r.mayUse(g) {
			return true
		}
	}
	return false
}

// setStanding replaces the standing grants, or prolongs those that were kept.
func (r *Router) setStanding(m fleet.DispatcherGrants, until time.Time, current bool) {
	if !current {
		return
	}
	if !m.StandingSet {
		return
	}
	var next []*standingGrant
	for _, g := range m.Standing {
		old := r.standing.find(g.ID)
		if old == nil {
			old = &standingGrant{}
		}
		old.StandingGrant, old.until = g, until
		next = append(next, old)
	}
	r.standing = standingGrants{epoch: m.Epoch, grants: next}
}

// mayUse says whether the target of a standing grant may get new work.
func (r *Router) mayUse(g *standingGrant) bool {
	t, known := r.targets[g.Target]
	if !known {
		return len(r.config.DataCentresOut) == 0
	}
	return t.Incarnation == g.Incarnation && t.State == fleet.TargetServing && !r.config.DataCentresOut[t.DataCentre]
}

// silent says whether the dispatcher has not answered for the contact timeout.
func (r *Router) silent(now time.Time) bool {
	return now.Sub(r.contact) >= ContactTimeout
}

// cutOff says whether the dispatcher has not answered for so long that nothing is to
// be expected of it.
func (r *Router) cutOff(now time.Time) bool {
	return now.Sub(r.contact) >= CutOffAfter
}

// useStanding starts waiting requests on standing grants while no dispatcher answers.
func (r *Router) useStanding(now time.Time) {
	if !r.silent(now) || len(r.standing.grants) == 0 {
		return
	}
	r.compactQueued()
	for _, id := range r.queued {
		q := r.requests[id]
		if g := r.freeStanding(now, q.Service); g != nil {
			r.sendStanding(now, q, g)
		}
	}
}

func (r *Router) freeStanding(now time.Time, service fleet.ServiceName) *standingGrant {
	for _, g := range r.standing.grants {
		if g.Service == service && g.used < g.Slots && now.Before(g.until) && r.mayUse(g) {
			return g
		}
	}
	return nil
}

func (r *Router) sendStanding(now time.Time, q *request, g *standingGrant) {
	g.used++
	g.starts++
	a := &attempt{
		grant:    fleet.GrantID(fmt.Sprintf("%s/%d", g.ID, g.starts)),
		standing: g.ID, epoch: r.standing.epoch, target: g.Target, incarnation: g.Incarnation,
		address: g.Address, until: g.until,
	}
	r.send(now, q, a)
	use := fleet.StandingUse{Standing: g.ID, Running: a.running()}
	r.report(func(rep *fleet.RouterReport) { rep.Standing = append(rep.Standing, use) })
}

// freeAttempt gives a slot of a standing grant back.
func (r *Router) freeAttempt(a *attempt) {
	if a.standing == "" {
		return
	}
	if g := r.standing.find(a.standing); g != nil && g.used > 0 {
		g.used--
	}
}

// compactQueued drops requests that no longer wait for a grant.
func (r *Router) compactQueued() {
	kept := r.queued[:0]
	seen := map[fleet.RequestID]bool{}
	for _, id := range r.queued {
		q := r.requests[id]
		if q != nil && q.state == stateQueued && !seen[id] {
			seen[id] = true
			kept = append(kept, id)
		}
	}
	r.queued = kept
}

// refuseCutOff refuses what waits while nothing is to be expected of a dispatcher.
func (r *Router) refuseCutOff(now time.Time) {
	if len(r.queued) > 2*len(r.requests)+queuedSlack {
		r.compactQueued()
	}
	if !r.cutOff(now) || len(r.queued) == 0 {
		return
	}
	r.compactQueued()
	for _, id := range append([]fleet.RequestID(nil), r.queued...) {
		q := r.requests[id]
		if now.Sub(q.accepted) >= CutOffAfter && !r.standing.usable(now, q.Service, r) {
			r.fail(now, q, fleet.ReasonNoDispatcher, retryAfterQueue, "no dispatcher has answered for %s; use another host", CutOffAfter)
		}
	}
}

// queuedSlack is how many ended requests the order of tickets may hold.
const queuedSlack = 1024
