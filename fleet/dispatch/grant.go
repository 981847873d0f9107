package dispatch

import (
	"strconv"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// placementCandidates is the number of customers looked at for a better placement.
const placementCandidates = 16

// Retry times told with refusals.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// dispatch grants free slots to waiting tickets, service by service.
func (r *Reducer) dispatch() {
	if !r.granting() {
		return
	}
	for _, s := range r.serviceList {
		if r.parkedMayRun && len(s.parked) > 0 {
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
	r.parkedMayRun = false
}

// granting says whether new work may be granted now.
func (r *Reducer) granting() bool {
	return r.phase == active && r.now.Before(r.lease.until) && r.now.Before(r.configUntil)
}

// unavailable returns why all tickets of a service are refused at once; no reason
// while it has a usable target and so has each service that it depends on.
func (r *Reducer) unavailable(s *service) (reason fleet.Reason, detail string) {
	if !s.known {
		return fleet.ReasonUnknownService, "service " + string(s.name) + " is not in the fleet text"
	}
	for _, name := range s.spec.DependsOn {
		if r.service(name).usable == 0 && r.waitedForTargets() {
			return fleet.ReasonDependencyDown, "service " + string(name) + " has no usable target"
		}
	}
	if s.usable == 0 && r.waitedForTargets() {
		return fleet.ReasonNoTarget, "service " + string(s.name) + " has no usable target"
	}
	return "", ""
}

// waitedForTargets says whether every target has had the time to announce itself to
// this lease holder.
func (r *Reducer) waitedForTargets() bool {
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

// dispatchOne grants one ticket of the customer with the least counter, or, within
// the policy's slack, of one whose ticket a free slot suits better.
func (r *Reducer) dispatchOne(s *service) {
	c := s.backlog.Min()
	t := c.queue.Min()
	if r.barred(t) {
		r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		return
	}
	if r.mustWait(t) {
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
		// It went missing since the last scan.
		r.refresh(best)
		return
	}
	r.grant(t, best)
}

// betterPlaced looks for a customer within the slack of the least counter whose next
// ticket finds a free slot in its own data centre.
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

// Scores of a placement, the best last.
const (
	placeRemote = iota
	placeRemotePrefix
	placeLocal
	placeLocalPrefix
)

// choose returns the free target that suits the ticket best: in the data centre of its
// router, then with its prompt prefix, then the emptiest.
func (r *Reducer) choose(s *service, t *ticket) (*target, int) {
	if r.isSuspect(t) {
		return r.chooseForSuspect(s, t)
	}
	local := s.freeIn(t.DataCentre)
	holder, remoteHolder := s.freeHolder(t.Prefix, t.DataCentre)
	switch {
	case holder != nil:
		return holder, placeLocalPrefix
	case local.Len() > 0:
		return local.Min(), placeLocal
	case remoteHolder != nil:
		return remoteHolder, placeRemotePrefix
	}
	return s.emptiest(), placeRemote
}

// freeHolder returns free targets that hold the prefix: one in dc, and one elsewhere.
func (s *service) freeHolder(p fleet.PrefixHash, dc fleet.DataCentreName) (here, elsewhere *target) {
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

// emptiest returns the free target with the least share of its limit in use.
func (s *service) emptiest() *target {
	var best *target
	for _, dc := range s.centres {
		if h := s.free[dc]; h.Len() > 0 && (best == nil || lessLoaded(h.Min(), best)) {
			best = h.Min()
		}
	}
	return best
}

// grant gives a slot of the target to the ticket.
func (r *Reducer) grant(t *ticket, to *target) {
	o, c := t.router, t.customer
	s := c.service
	if !r.mayGrant(t, to) {
		r.refuse(t, fleet.ReasonNoTarget, "no target may take the request now")
		r.refresh(to)
		return
	}
	r.checkWait(c)
	s.virtual = max(s.virtual, c.counter)
	r.nextGrant++
	a := &attempt{
		id:     fleet.GrantID(strconv.FormatUint(uint64(r.lease.epoch), 36) + "-" + strconv.FormatUint(r.nextGrant, 36)),
		ticket: t.Ticket, router: o, incarnation: o.incarnation, target: to, targetInc: to.last.Incarnation,
		customer: c, weight: c.weight, grantedAt: r.now, expires: r.now.Add(GrantValidity),
	}
	if r.isSuspect(t) {
		a.suspect = r.contents[t.Content]
	}
	a.estimate = r.estimate(c, t.Hint)
	r.addAttempt(a)
	r.drop(t)
	r.chargeGrant(a)
	r.refresh(to)
	o.touched[c] = true
	box := r.post(o)
	box.grants = append(box.grants, fleet.Grant{
		ID: a.id, Ticket: t.ID, Target: to.id, Incarnation: to.last.Incarnation, Address: to.last.Address,
	})
	r.decide(t.Request, t.Customer, "Granted", "", string(to.id))
}

// estimate predicts the cost of a customer's request.
func (r *Reducer) estimate(c *customer, hint fleet.Cost) fleet.Cost {
	if r.cfg.off.correction && hint > 0 {
		return min(hint, r.maxCost(c.service))
	}
	return c.estimator.estimate(hint, r.maxCost(c.service), c.service.cost)
}

// chargeGrant charges the estimate of an attempt that was just granted.
func (r *Reducer) chargeGrant(a *attempt) {
	if r.cfg.Charging == ChargeAtEnd {
		return
	}
	r.charge(a, a.estimate)
}

func (r *Reducer) maxCost(s *service) fleet.Cost { return max(1, s.spec.MaxCost) }

// retryAfter tells a refused caller when to come back.
func (r *Reducer) retryAfter(t *ticket, reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.ReasonQuarantined:
		return r.quarantinedFor(t.Content)
	case fleet.ReasonNoTarget, fleet.ReasonDependencyDown:
		return retryLater
	case fleet.ReasonUnknownService:
		return 0
	}
	return retrySoon
}
