package dispatch

import (
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Names under which violations of the invariants are reported.
const (
	inUseWithinLimit       = "InUseWithinLimit"
	noGrantToUnfitTarget   = "NoGrantToUnfitTarget"
	ticketGrantedOnce      = "TicketGrantedOnce"
	gapWithinBound         = "GapWithinBound"
	waitWithinBound        = "WaitWithinBound"
	noFreeSlotBesideTicket = "NoFreeSlotBesideTicket"
	oneSuspectPerTarget    = "OneSuspectPerTarget"
	leastCounterFirst      = "LeastCounterFirst"
	slotsAddUp             = "SlotsAddUp"
)

// mayGrant checks the invariants of a grant before it is made; a grant that violates one is
// not made.
func (r *Reducer) mayGrant(t *ticket, to *target) bool {
	state, room := r.state(to), to.freeSlots(r.rampedSlots(to))
	switch {
	case state != string(fleet.TargetServing):
		invariant.Check(false, noGrantToUnfitTarget, "ticket %s for target %s in state %s", t.ID, to.id, state)
	case room <= 0:
		invariant.Check(false, inUseWithinLimit, "ticket %s for target %s with %d of %d slots granted, %d standing",
			t.ID, to.id, to.granted, to.limiter.limit, to.standingSlots())
	case t.router.byTicket[t.ID] != nil:
		invariant.Check(false, ticketGrantedOnce, "ticket %s already has grant %s", t.ID, t.router.byTicket[t.ID].id)
	case !r.withinPlacementSlack(t):
		invariant.Check(false, leastCounterFirst, "ticket %s of customer %s would be granted before those of customer %s", t.ID, t.customer.name, t.customer.service.backlog.Min().name)
	case r.isSuspect(t) && to.suspects > 0:
		invariant.Check(false, oneSuspectPerTarget, "suspect ticket %s for target %s, which already runs a suspect", t.ID, to.id)
	default:
		return true
	}
	return false
}

// withinPlacementSlack reports whether the ticket may be granted before those of the
// backlogged customer with the least counter: the counter of the ticket's customer may exceed
// the least one by no more than the policy's PlacementSlack.
func (r *Reducer) withinPlacementSlack(t *ticket) bool {
	s := t.customer.service
	if s.backlog.Len() == 0 {
		return true
	}
	slack := counter(r.config.Fleet.Policy.PlacementSlack) * counterScale
	return t.customer.counter <= s.backlog.Min().counter+slack
}

// checkDispatched checks that no eligible ticket waits while a slot is free.
func (r *Reducer) checkDispatched(s *service) {
	if s.freeTargets > 0 && s.backlog.Len() > 0 {
		invariant.Check(false, noFreeSlotBesideTicket, "service %s has %d free targets and %d waiting customers", s.name, s.freeTargets, s.backlog.Len())
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
		invariant.Check(false, gapWithinBound, "counters of customers %s and %s of service %s differ by %d; the bound is %d",
			most.name, least.name, s.name, gap/counterScale, bound/counterScale)
	}
}

// gapBound returns the largest allowed difference between the counters of two backlogged
// customers: maxCounterSpread for each of the two, plus the policy's PlacementSlack.
func (r *Reducer) gapBound(s *service) counter {
	slack := counter(r.config.Fleet.Policy.PlacementSlack) * counterScale
	return 2*r.maxCounterSpread(s) + slack
}

// maxCounterSpread returns how far the counter of a backlogged customer may be from the
// highest one at which a customer was granted: for each slot the charge may be wrong by the
// largest cost.
func (r *Reducer) maxCounterSpread(s *service) counter {
	each := virtualCost(max(r.maxCost(s), s.largestCost), max(1, s.leastWeight))
	return counter(max(s.peakAttempts, int(s.peakSlots))) * each
}

// checkWait checks that the service charged no more than waitBound while the customer waited
// for its grant.
func (r *Reducer) checkWait(c *customer) {
	s := c.service
	if waited, bound := s.totalCharged-c.chargedBeforeWait, r.waitBound(s); waited > bound {
		invariant.Check(false, waitWithinBound, "customer %s of service %s waited while a cost of %d was charged; the bound is %d",
			c.name, s.name, waited, bound)
	}
	c.chargedBeforeWait = s.totalCharged
}

// waitBound returns the most that all customers together may be charged while one waits for
// its next grant: each may catch up with the highest counter that the waiting customer may
// have, and then gets one more request.
func (r *Reducer) waitBound(s *service) fleet.Cost {
	each := max(r.maxCost(s), s.largestCost)
	reach := fleet.Cost(r.gapBound(s)/counterScale) + 1
	return fleet.Cost(s.totalWeight)*reach + fleet.Cost(len(s.customers)+max(s.peakAttempts, int(s.peakSlots)))*each
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
		invariant.Check(false, slotsAddUp, "target %s has %d more attempts on standing grants than the grants count", t.id, inUse)
	}
}
