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
		if g.Service == service && now.Before(g.until) && r.mayUse(now, g) {
			return true
		}
	}
	return false
}

// setStanding replaces the standing grants, or prolongs those that were kept.
func (r *Router) setStanding(m fleet.DispatcherGrants, until time.Time, current bool) {
	if !current || !m.StandingSet {
		return
	}
	var next []*standingGrant
	for _, g := range m.Standing {
		old := r.standing.find(g.ID)
		if old == nil {
			old = &standingGrant{used: r.standingUsed(g.ID)}
		}
		old.StandingGrant, old.until = g, until
		next = append(next, old)
	}
	r.standing = standingGrants{epoch: m.Epoch, grants: next}
}

// mayUse says whether the target of a standing grant may get new work.
func (r *Router) mayUse(now time.Time, g *standingGrant) bool {
	t, known := r.targets[g.Target]
	if !known {
		return len(r.config.DataCentresOut) == 0
	}
	if now.Sub(t.heard) > fleet.TargetMissingAfter {
		return false
	}
	return t.Incarnation == g.Incarnation && t.State == fleet.TargetServing && !r.config.DataCentresOut[t.DataCentre]
}

// silence returns how long the dispatcher has left a report unanswered.
func (r *Router) silence(now time.Time) time.Duration {
	p := r.active
	switch {
	case p == nil:
		return DispatcherUnreachableAfter
	case !p.connected:
		return now.Sub(r.contact)
	case p.acked >= p.sequence:
		return 0
	}
	sent, known := p.sentAt(p.acked + 1)
	if !known {
		return now.Sub(r.contact)
	}
	return now.Sub(sent)
}

// DispatcherUnreachable says whether the dispatcher has not answered for so long that nothing is to
// be expected of it.
func (r *Router) DispatcherUnreachable(now time.Time) bool {
	return r.silence(now) >= DispatcherUnreachableAfter
}

// useStanding starts waiting requests on standing grants while no dispatcher answers.
func (r *Router) useStanding(now time.Time) {
	if len(r.standing.grants) == 0 || r.silence(now) < DispatcherTimeout {
		return
	}
	r.compactQueued()
	for {
		q, g := r.nextStanding(now)
		if q == nil {
			return
		}
		r.sendStanding(now, q, g)
	}
}

// nextStanding returns the request to be started next on a standing grant: the
// earliest of the customer with the fewest requests started that way.
func (r *Router) nextStanding(now time.Time) (*request, *standingGrant) {
	use := r.standingUse()
	var best *request
	var grant *standingGrant
	for _, id := range r.queued {
		q := r.requests[id]
		if q == nil || q.state != stateQueued || r.retained.suspected(now, q.Content) || best != nil && use[q.Customer] >= use[best.Customer] {
			continue
		}
		if g := r.freeStanding(now, q.Service); g != nil {
			best, grant = q, g
		}
	}
	return best, grant
}

func (r *Router) standingUse() map[fleet.CustomerName]int {
	use := map[fleet.CustomerName]int{}
	for _, q := range r.requests {
		if q.attempt != nil && q.attempt.standing != "" {
			use[q.Customer]++
		}
	}
	return use
}

// standingUsed counts the attempts that use a standing grant.
func (r *Router) standingUsed(id fleet.GrantID) fleet.Slots {
	var n fleet.Slots
	for _, q := range r.requests {
		if q.attempt != nil && q.attempt.standing == id {
			n++
		}
	}
	for _, a := range r.releasing {
		if a.standing == id {
			n++
		}
	}
	return n
}

func (r *Router) freeStanding(now time.Time, service fleet.ServiceName) *standingGrant {
	for _, g := range r.standing.grants {
		if g.Service == service && g.used < g.Slots && now.Before(g.until) && r.mayUse(now, g) {
			return g
		}
	}
	return nil
}

func (r *Router) sendStanding(now time.Time, q *request, g *standingGrant) {
	g.used++
	r.standingStarts++
	a := &attempt{
		grant:    fleet.GrantID(fmt.Sprintf("%s/%d", g.ID, r.standingStarts)),
		standing: g.ID, epoch: r.standing.epoch, target: g.Target, incarnation: g.Incarnation,
		address: g.Address, until: g.until,
	}
	if !r.send(now, q, a) {
		return
	}
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
	if len(r.queued) == 0 || !r.DispatcherUnreachable(now) {
		return
	}
	r.compactQueued()
	for _, id := range append([]fleet.RequestID(nil), r.queued...) {
		q := r.requests[id]
		if !r.standing.usable(now, q.Service, r) {
			r.fail(now, q, fleet.ReasonNoDispatcher, retryAfterQueue, "no dispatcher has answered for %s; use another host", DispatcherUnreachableAfter)
		}
	}
}

// queuedSlack is how many ended requests the order of tickets may hold.
const queuedSlack = 1024
