package dispatch

import (
	"strconv"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// placementCandidates is the number of backlogged customers considered for a better
// placement.
const placementCandidates = 16

// RetryAfter values of refusals.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// dispatch grants free slots to waiting tickets, service by service.
func (r *Reducer) dispatch() {
	if !r.mayGrantNow() {
		return
	}
	for _, s := range r.serviceList {
		if r.recheckParked && len(s.parked) > 0 {
			r.unpark(s)
		}
		if s.backlog.Len() == 0 && len(s.parked) == 0 {
			continue
		}
		if reason, detail := r.unavailable(s); reason != "" {
			r.refuseAll(s, reason, detail)
			continue
		}
		for s.freeTargets > 0 && s.backlog.Len() > 0 {
			r.dispatchOne(s)
		}
		r.checkDispatched(s)
	}
	r.recheckParked = false
}

// mayGrantNow reports whether the phase, the lease and the configuration allow grants now.
func (r *Reducer) mayGrantNow() bool {
	return r.phase == active && r.now.Before(r.lease.until) && r.now.Before(r.configValidUntil)
}

// unavailable returns why all tickets of a service are refused at once. The reason is empty
// while the service and each service that it depends on have a usable target.
func (r *Reducer) unavailable(s *service) (reason fleet.Reason, detail string) {
	if !s.known {
		return fleet.ReasonUnknownService, "service " + string(s.name) + " is not in the fleet text"
	}
	for _, name := range s.spec.DependsOn {
		if r.service(name).usableTargets == 0 && r.announceTimePassed() {
			return fleet.ReasonDependencyDown, "service " + string(name) + " has no usable target"
		}
	}
	if s.usableTargets == 0 && r.announceTimePassed() {
		return fleet.ReasonNoTarget, "service " + string(s.name) + " has no usable target"
	}
	return "", ""
}

// announceTimePassed reports whether every live target has had the time to announce itself to
// this lease holder.
func (r *Reducer) announceTimePassed() bool {
	return r.now.Sub(r.lease.since) >= fleet.TargetMissingAfter
}

func (r *Reducer) refuseAll(s *service, reason fleet.Reason, detail string) {
	for s.backlog.Len() > 0 {
		r.refuse(s.backlog.Min().queue.Min(), reason, detail)
	}
	for _, t := range s.parked {
		if t.parked {
			r.refuse(t, reason, detail)
		}
	}
	s.parked = nil
}

// dispatchOne grants one ticket of the customer with the least counter or, within the
// policy's PlacementSlack, one of another customer for which a slot in its own data centre is
// free.
func (r *Reducer) dispatchOne(s *service) {
	c := s.backlog.Min()
	t := c.queue.Min()
	if r.isQuarantined(t) {
		r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		return
	}
	if r.mustPark(t) {
		r.park(t)
		return
	}
	best, score := r.choose(s, t)
	if best == nil {
		r.park(t)
		return
	}
	if score < placeLocal {
		if u, alternative := r.betterPlaced(s, c); u != nil {
			t, best = u, alternative
		}
	}
	if r.state(best) != string(fleet.TargetServing) {
		// The target went missing after the last scan.
		r.refresh(best)
		return
	}
	r.grant(t, best)
}

// betterPlaced looks for a customer within PlacementSlack of the least counter for whose next
// ticket a slot in its own data centre is free. It returns nil if there is none.
func (r *Reducer) betterPlaced(s *service, least *customer) (*ticket, *target) {
	slack := r.config.Fleet.Policy.PlacementSlack
	if slack <= 0 {
		return nil, nil
	}
	limit := least.counter + counter(slack)*counterScale
	for i, c := range s.backlog.items {
		if i >= placementCandidates {
			break
		}
		t := c.queue.Min()
		if c == least || c.counter > limit || r.isSuspect(t) {
			continue
		}
		if best, score := r.choose(s, t); best != nil && score >= placeLocal {
			return t, best
		}
	}
	return nil, nil
}

// Placement scores, from worst to best.
const (
	placeRemote = iota
	placeRemotePrefix
	placeLocal
	placeLocalPrefix
)

// choose returns the free target that suits the ticket best, and its placement score. It
// prefers the data centre of the ticket's router, then a target that caches the prompt
// prefix, then the least loaded one.
func (r *Reducer) choose(s *service, t *ticket) (*target, int) {
	if r.isSuspect(t) {
		return r.chooseForSuspect(s, t)
	}
	local := s.freeTargetsIn(t.DataCentre)
	holder, remoteHolder := s.freePrefixHolders(t.Prefix, t.DataCentre)
	switch {
	case holder != nil:
		return holder, placeLocalPrefix
	case local.Len() > 0:
		return local.Min(), placeLocal
	case remoteHolder != nil:
		return remoteHolder, placeRemotePrefix
	}
	return s.leastLoaded(), placeRemote
}

// freePrefixHolders returns the least loaded free targets that cache the prefix, one in dc
// and one elsewhere; nil where there is none.
func (s *service) freePrefixHolders(p fleet.PrefixHash, dc fleet.DataCentreName) (here, elsewhere *target) {
	if p == 0 {
		return nil, nil
	}
	for _, t := range s.prefixes[p] {
		switch {
		case t.freeIndex < 0:
		case t.last.DataCentre == dc:
			if here == nil || lessLoaded(t, here) {
				here = t
			}
		case elsewhere == nil || lessLoaded(t, elsewhere):
			elsewhere = t
		}
	}
	return here, elsewhere
}

// leastLoaded returns the free target with the least share of its limit in use.
func (s *service) leastLoaded() *target {
	var best *target
	for _, dc := range s.dataCentres {
		if h := s.free[dc]; h.Len() > 0 && (best == nil || lessLoaded(h.Min(), best)) {
			best = h.Min()
		}
	}
	return best
}

// grant assigns a slot of the target to the ticket.
func (r *Reducer) grant(t *ticket, to *target) {
	rt, c := t.router, t.customer
	s := c.service
	if !r.mayGrant(t, to) {
		r.refuse(t, fleet.ReasonNoTarget, "no target may take the request now")
		r.refresh(to)
		return
	}
	r.checkWait(c)
	s.virtualTime = max(s.virtualTime, c.counter)
	r.nextGrant++
	a := &attempt{
		id:     fleet.GrantID(strconv.FormatUint(uint64(r.lease.epoch), 36) + "-" + strconv.FormatUint(r.nextGrant, 36)),
		ticket: t.Ticket, router: rt, routerIncarnation: rt.incarnation, target: to, targetIncarnation: to.last.Incarnation,
		customer: c, weight: c.weight, grantedAt: r.now, expires: r.now.Add(GrantValidity),
	}
	if r.isSuspect(t) {
		a.suspect = r.contents[t.Content]
	}
	a.estimate = r.estimate(c, t.Hint)
	r.addAttempt(a)
	r.removeTicket(t)
	r.chargeGrant(a)
	r.refresh(to)
	rt.changedCustomers[c] = true
	box := r.outboxOf(rt)
	box.grants = append(box.grants, fleet.Grant{
		ID: a.id, Ticket: t.ID, Target: to.id, Incarnation: to.last.Incarnation, Address: to.last.Address,
	})
	r.emitDecision(t.Request, t.Customer, "Granted", "", string(to.id))
}

// estimate predicts the cost of a customer's request.
func (r *Reducer) estimate(c *customer, hint fleet.Cost) fleet.Cost {
	if r.cfg.disabled.correction && hint > 0 {
		return min(hint, r.maxCost(c.service))
	}
	return c.estimator.estimate(hint, r.maxCost(c.service), c.service.cost)
}

// chargeGrant charges the estimate of a new attempt, unless costs are charged at the end.
func (r *Reducer) chargeGrant(a *attempt) {
	if r.cfg.Charging == ChargeAtEnd {
		return
	}
	r.charge(a, a.estimate)
}

func (r *Reducer) maxCost(s *service) fleet.Cost { return max(1, s.spec.MaxCost) }

// retryAfter returns how long a refused caller should wait before it retries; 0 if a retry
// would not help.
func (r *Reducer) retryAfter(t *ticket, reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.ReasonQuarantined:
		return r.quarantineLeft(t.Content)
	case fleet.ReasonNoTarget, fleet.ReasonDependencyDown:
		return longRetryAfter
	case fleet.ReasonUnknownService:
		return 0
	}
	return shortRetryAfter
}
