package routing

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// standingGrant is a standing grant and the number of its slots in use.
type standingGrant struct {
	fleet.StandingGrant
	until      time.Time
	slotsInUse fleet.Slots
}

// standingGrants are the standing grants of the last message that set them.
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

// usable reports whether there is an unexpired standing grant of a service whose target
// accepts work.
func (s *standingGrants) usable(now time.Time, service fleet.ServiceName, r *Router) bool {
	for _, g := range s.grants {
		if g.Service == service && now.Before(g.until) && r.targetAcceptsWork(now, g) {
			return true
		}
	}
	return false
}

// setStanding replaces the standing grants by those of a message. Grants that are in both keep
// their count of slots in use.
func (r *Router) setStanding(m fleet.DispatcherGrants, until time.Time, current bool) {
	if !current || !m.StandingSet {
		return
	}
	var next []*standingGrant
	for _, g := range m.Standing {
		old := r.standing.find(g.ID)
		if old == nil {
			old = &standingGrant{slotsInUse: r.standingSlotsInUse(g.ID)}
		}
		old.StandingGrant, old.until = g, until
		next = append(next, old)
	}
	r.standing = standingGrants{epoch: m.Epoch, grants: next}
}

// targetAcceptsWork reports whether the target of a standing grant may be given new work. A
// target without an announcement is used only if no data centre is out, since its data centre
// is not known.
func (r *Router) targetAcceptsWork(now time.Time, g *standingGrant) bool {
	t, known := r.targets[g.Target]
	if !known {
		return len(r.config.DataCentresOut) == 0
	}
	if now.Sub(t.receivedAt) > fleet.TargetMissingAfter {
		return false
	}
	return t.Incarnation == g.Incarnation && t.State == fleet.TargetServing && !r.config.DataCentresOut[t.DataCentre]
}

// unansweredFor returns how long the active dispatcher has left a report unanswered, or
// DispatcherUnreachableAfter if there has been no active dispatcher.
func (r *Router) unansweredFor(now time.Time) time.Duration {
	p := r.activePeer
	switch {
	case p == nil:
		return DispatcherUnreachableAfter
	case !p.connected:
		return now.Sub(r.lastReply)
	case p.acked >= p.sequence:
		return 0
	}
	sent, known := p.sentAt(p.acked + 1)
	if !known {
		return now.Sub(r.lastReply)
	}
	return now.Sub(sent)
}

// DispatcherUnreachable reports whether a report has been unanswered for
// DispatcherUnreachableAfter. New requests are then refused unless a standing grant covers
// their service.
func (r *Router) DispatcherUnreachable(now time.Time) bool {
	return r.unansweredFor(now) >= DispatcherUnreachableAfter
}

// useStandingGrants starts queued requests on standing grants while the dispatcher does not
// answer.
func (r *Router) useStandingGrants(now time.Time) {
	if len(r.standing.grants) == 0 || r.unansweredFor(now) < DispatcherTimeout {
		return
	}
	r.compactQueued()
	for {
		q, g := r.nextStandingStart(now)
		if q == nil {
			return
		}
		r.sendOnStandingGrant(now, q, g)
	}
}

// nextStandingStart returns the request to start next on a standing grant, and the grant: the
// earliest of the customer with the fewest attempts on standing grants. Requests that may crash
// targets are left out.
func (r *Router) nextStandingStart(now time.Time) (*request, *standingGrant) {
	use := r.standingUseByCustomer()
	var best *request
	var grant *standingGrant
	for _, id := range r.queued {
		q := r.requests[id]
		if q == nil || q.state != stateQueued || r.retained.suspected(now, q.Content) || best != nil && use[q.Customer] >= use[best.Customer] {
			continue
		}
		if g := r.freeStandingGrant(now, q.Service); g != nil {
			best, grant = q, g
		}
	}
	return best, grant
}

// standingUseByCustomer counts each customer's attempts on standing grants.
func (r *Router) standingUseByCustomer() map[fleet.CustomerName]int {
	use := map[fleet.CustomerName]int{}
	for _, q := range r.requests {
		if q.attempt != nil && q.attempt.standing != "" {
			use[q.Customer]++
		}
	}
	return use
}

// standingSlotsInUse counts the attempts that use a standing grant.
func (r *Router) standingSlotsInUse(id fleet.GrantID) fleet.Slots {
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

// freeStandingGrant returns a standing grant of a service with a free slot, or nil.
func (r *Router) freeStandingGrant(now time.Time, service fleet.ServiceName) *standingGrant {
	for _, g := range r.standing.grants {
		if g.Service == service && g.slotsInUse < g.Slots && now.Before(g.until) && r.targetAcceptsWork(now, g) {
			return g
		}
	}
	return nil
}

// sendOnStandingGrant starts a request on a standing grant and reports the use.
func (r *Router) sendOnStandingGrant(now time.Time, q *request, g *standingGrant) {
	g.slotsInUse++
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
	r.addToReports(func(rep *fleet.RouterReport) { rep.Standing = append(rep.Standing, use) })
}

// freeStandingSlot frees the slot of the standing grant that an attempt used, if any.
func (r *Router) freeStandingSlot(a *attempt) {
	if a.standing == "" {
		return
	}
	if g := r.standing.find(a.standing); g != nil && g.slotsInUse > 0 {
		g.slotsInUse--
	}
}

// compactQueued drops duplicates and requests that no longer wait for a grant.
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

// refuseWithoutDispatcher refuses queued requests that no standing grant covers while the
// dispatcher is unreachable.
func (r *Router) refuseWithoutDispatcher(now time.Time) {
	if len(r.queued) > 2*len(r.requests)+compactionSlack {
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

// compactionSlack is how many stale entries queued and timers may hold, beyond a multiple of
// the open requests, before they are compacted.
const compactionSlack = 1024
