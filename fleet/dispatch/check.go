package dispatch

import (
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Names of the invariants.
const (
	limitKept     = "InUseWithinLimit"
	targetFit     = "NoGrantToUnfitTarget"
	grantedOnce   = "TicketGrantedOnce"
	gapBounded    = "GapWithinBound"
	waitBounded   = "WaitWithinBound"
	workConserved = "NoFreeSlotBesideTicket"
	suspectsApart = "OneSuspectPerTarget"
	leastFirst    = "LeastCounterFirst"
	slotsAddUp    = "SlotsAddUp"
)

// mayGrant checks a grant just before it is made; a grant that breaks a rule is not made.
func (r *Reducer) mayGrant(t *ticket, to *target) bool {
	state, room := r.state(to), to.room(r.rampedSlots(to))
	switch {
	case state != string(fleet.TargetServing):
		invariant.Check(false, targetFit, "ticket %s for target %s that is %s", t.ID, to.id, state)
	case room <= 0:
		invariant.Check(false, limitKept, "ticket %s for target %s with %d of %d slots granted, %d standing",
			t.ID, to.id, to.granted, to.limiter.limit, to.standingSlots())
	case t.router.byTicket[t.ID] != nil:
		invariant.Check(false, grantedOnce, "ticket %s has grant %s", t.ID, t.router.byTicket[t.ID].id)
	case !r.mayGoFirst(t):
		invariant.Check(false, leastFirst, "ticket %s of customer %s goes before those of %s", t.ID, t.customer.name, t.customer.service.backlog.Min().name)
	case r.isSuspect(t) && to.suspects > 0:
		invariant.Check(false, suspectsApart, "ticket %s for target %s that runs a suspect", t.ID, to.id)
	default:
		return true
	}
	return false
}

// mayGoFirst says whether no backlogged customer has a counter so much lower that the
// policy's slack does not allow the ticket to go before it.
func (r *Reducer) mayGoFirst(t *ticket) bool {
	s := t.customer.service
	if s.backlog.Len() == 0 {
		return true
	}
	slack := counter(r.config.Fleet.Policy.PlacementSlack) * counterScale
	return t.customer.counter <= s.backlog.Min().counter+slack
}

// checkDispatched checks that no eligible ticket was left beside a free slot.
func (r *Reducer) checkDispatched(s *service) {
	if s.freeTargets > 0 && s.backlog.Len() > 0 {
		invariant.Check(false, workConserved, "service %s has %d free targets and %d waiting customers", s.name, s.freeTargets, s.backlog.Len())
	}
}

// checkCounters checks that the counters of backlogged customers differ by no more
// than the bound, see docs/design/dispatch.md.
func (r *Reducer) checkCounters(s *service) {
	if s.backlog.Len() < 2 {
		return
	}
	least, most := s.backlog.Min(), s.backlog.Min()
	for _, c := range s.backlog.items {
		if c.counter > most.counter {
			most = c
		}
	}
	if gap, bound := most.counter-least.counter, r.gapBound(s); gap > bound {
		invariant.Check(false, gapBounded, "customers %s and %s of %s differ by %d; the bound is %d",
			most.name, least.name, s.name, gap/counterScale, bound/counterScale)
	}
}

// gapBound returns the largest difference between the counters of two backlogged
// customers: each slot may be charged wrongly by the largest cost, once for the one
// customer and once for the other.
func (r *Reducer) gapBound(s *service) counter {
	slack := counter(r.config.Fleet.Policy.PlacementSlack) * counterScale
	return 2*r.spread(s) + slack
}

// spread returns how far the counter of a backlogged customer may be from the highest
// one at which a customer was granted.
func (r *Reducer) spread(s *service) counter {
	each := virtual(max(r.maxCost(s), s.largestCost), max(1, s.leastWeight))
	return counter(max(s.mostAttempts, int(s.mostSlots))) * each
}

// checkWait checks that a customer waited for no more service to others than the bound.
func (r *Reducer) checkWait(c *customer) {
	s := c.service
	if waited, bound := s.charged-c.waitFrom, r.waitBound(s); waited > bound {
		invariant.Check(false, waitBounded, "customer %s of %s waited while others were served %d; the bound is %d",
			c.name, s.name, waited, bound)
	}
	c.waitFrom = s.charged
}

// waitBound returns the most service that all customers together get while one waits
// for its next grant: each may catch up with the highest counter that the waiting one
// may have, and then gets one more request.
func (r *Reducer) waitBound(s *service) fleet.Cost {
	each := max(r.maxCost(s), s.largestCost)
	reach := fleet.Cost(r.gapBound(s)/counterScale) + 1
	return fleet.Cost(s.totalWeight)*reach + fleet.Cost(len(s.customers)+max(s.mostAttempts, int(s.mostSlots)))*each
}

// checkTarget checks that the counts of a target agree with its attempts.
func (r *Reducer) checkTarget(t *target) {
	var granted, inUse fleet.Slots
	for _, a := range t.attempts {
		if a.standing == nil {
			granted++
		} else {
			inUse++
		}
	}
	if granted != t.granted {
		invariant.Check(false, slotsAddUp, "target %s counts %d granted attempts and has %d", t.id, t.granted, granted)
	}
	for _, s := range t.standing {
		inUse -= s.inUse
	}
	if inUse != 0 {
		invariant.Check(false, slotsAddUp, "target %s has %d more attempts on standing grants than these count", t.id, inUse)
	}
}
