package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

func contains[T comparable](list []T, x T) bool { return slices.Contains(list, x) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reducer is the state of a dispatcher and implements fleet.Reducer.
type Reducer struct {
	cfg     Config
	now     time.Time
	effects []fleet.Effect

	config           fleet.Confirmed
	configValidUntil time.Time
	// returnedAt maps data centres to when they came back into service.
	returnedAt map[fleet.DataCentreName]time.Time

	phase phase
	lease lease

	services    map[fleet.ServiceName]*service
	serviceList []*service
	routers     map[fleet.HostID]*router
	routerList  []*router
	targets     map[fleet.TargetID]*target
	targetList  []*target
	attempts    map[fleet.GrantID]*attempt
	contents    map[fleet.ContentHash]*content
	deadlines   indexedHeap[*ticket]

	// queuedRouters lists the routers whose outbox is sent at the end of the event.
	queuedRouters  []*router
	nextGrant      uint64
	nextTicket     uint64
	limitRevisions uint64
	scannedAt      time.Time
	// recheckParked reports whether a parked ticket may have become eligible.
	recheckParked bool
	toReplicate   replicationQueue
	refusals      map[fleet.Reason]int64
	overMaxCost   int64
}

// New returns a dispatcher without a lease and without a configuration.
func New(cfg Config) *Reducer {
	if cfg.Charging == "" {
		cfg.Charging = ChargeProgressively
	}
	return &Reducer{
		cfg:        cfg,
		config:     fleet.Confirmed{Fleet: &fleet.Fleet{}},
		returnedAt: map[fleet.DataCentreName]time.Time{},
		services:   map[fleet.ServiceName]*service{},
		routers:    map[fleet.HostID]*router{},
		targets:    map[fleet.TargetID]*target{},
		attempts:   map[fleet.GrantID]*attempt{},
		contents:   map[fleet.ContentHash]*content{},
		refusals:   map[fleet.Reason]int64{},
		deadlines: indexedHeap[*ticket]{
			less:  func(a, b *ticket) bool { return a.deadline.Before(b.deadline) },
			place: func(t *ticket, i int) { t.deadlineIndex = i },
		},
	}
}

// Reduce implements fleet.Reducer.
func (r *Reducer) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.now, r.effects = now, nil
	switch e := ev.(type) {
	case ReportReceived:
		r.applyReport(&e.Report)
	case RouterDisconnected:
		r.disconnected(e.Router)
	case ConfigConfirmed:
		r.configure(e)
	case LeaseHeld:
		r.leaseHeld(e)
	case LeaseLost:
		r.phase = passive
	case Tick:
		r.tick()
	case fleet.Expired:
		r.undoExpired(e.Effect)
	}
	r.dispatch()
	r.sendContents()
	r.flush()
	return r.effects
}

func (r *Reducer) emit(e fleet.Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) emitDecision(request fleet.RequestID, customer fleet.CustomerName, event string, reason fleet.Reason, detail string) {
	r.emit(Decided{Decision: fleet.Decision{
		At: r.now, Host: r.cfg.Host, Request: request, Customer: customer, Event: event, Reason: reason, Detail: detail,
	}})
}

// service returns the state of a service, which it adds if there is none.
func (r *Reducer) service(name fleet.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = newService(name, r.cfg.disabled)
		r.services[name] = s
		s.spec, s.known = r.config.Fleet.Services[name], false
		if _, listed := r.config.Fleet.Services[name]; listed {
			s.known = true
		}
		r.serviceList = append(r.serviceList, s)
		slices.SortFunc(r.serviceList, func(a, b *service) int { return compare(a.name, b.name) })
	}
	return s
}

// customer returns the state of a customer of a service, which it adds if there is none.
func (r *Reducer) customer(s *service, name fleet.CustomerName) *customer {
	c, ok := s.customers[name]
	if !ok {
		c = newCustomer(s, name, r.weight(name))
		c.counter = s.joiningCounter()
		c.refundFloor = c.counter
		s.updateWeight(0, c.weight)
		s.customers[name] = c
	}
	return c
}

func (r *Reducer) weight(name fleet.CustomerName) fleet.Weight {
	return max(1, r.config.Fleet.Customers[name].Weight)
}

// configure applies a confirmed configuration unless a newer one is known.
func (r *Reducer) configure(e ConfigConfirmed) {
	if e.Config.Version < r.config.Version || e.Config.Fleet == nil {
		return
	}
	r.configValidUntil = e.NotAfter
	if e.Config.Version == r.config.Version {
		return
	}
	for _, dc := range e.Config.Fleet.DataCentres {
		if r.config.DataCentresOut[dc] && !e.Config.DataCentresOut[dc] {
			r.returnedAt[dc] = r.now
		}
	}
	r.config = e.Config
	r.recheckParked = true
	for _, s := range r.serviceList {
		s.spec, s.known = fleet.Service{}, false
		if spec, ok := e.Config.Fleet.Services[s.name]; ok {
			s.spec, s.known = spec, true
		}
		for _, c := range s.customers {
			earlier := c.weight
			c.weight = r.weight(c.name)
			s.updateWeight(earlier, c.weight)
		}
	}
	for _, t := range r.targetList {
		r.refresh(t)
	}
}

// tick ends the tickets whose deadline has passed and, every scanInterval, scans targets,
// routers and contents.
func (r *Reducer) tick() {
	for r.deadlines.Len() > 0 && !r.now.Before(r.deadlines.Min().deadline) {
		r.timeOut(r.deadlines.Min())
	}
	if r.now.Sub(r.scannedAt) < scanInterval {
		return
	}
	r.scannedAt = r.now
	r.scanTargets()
	r.grantSpareSlots()
	r.scanRouters()
	r.expireContents()
	r.recheckParked = true
	r.finishReconciling()
	r.sendLimits()
	for _, s := range r.serviceList {
		r.checkCounters(s)
	}
}

// timeOut ends a ticket whose deadline has passed. Without the lease it is only removed; the
// lease holder refuses it.
func (r *Reducer) timeOut(t *ticket) {
	if r.phase == passive {
		r.removeTicket(t)
		return
	}
	r.refuse(t, fleet.ReasonQueueTimeout, "no slot became free in time")
}

// undoExpired frees the slots that were granted in a message that was not sent before it
// expired, and treats its router as disconnected.
func (r *Reducer) undoExpired(e fleet.Expiring) {
	m, ok := e.(SendGrants)
	if !ok {
		return
	}
	for i := range m.Message.Grants {
		if a := r.attempts[m.Message.Grants[i].ID]; a != nil {
			r.finish(a, 0)
		}
	}
	r.disconnected(m.To)
}

func (r *Reducer) scanTargets() {
	kept := r.targetList[:0]
	for _, t := range r.targetList {
		if r.now.Sub(t.heardAt) >= TargetForgottenAfter && len(t.attempts)+len(t.standing) == 0 {
			r.removeTarget(t)
			continue
		}
		kept = append(kept, t)
		if !t.missing && t.known && r.now.Sub(t.heardAt) >= fleet.TargetMissingAfter {
			t.missing = true
			r.targetMissing(t)
		}
		r.observeOverdueFirstTokens(t)
		r.countStreaming(t)
		r.expireDoubts(t)
		r.requestRunning(t)
		r.expireStanding(t)
		r.refresh(t)
		r.checkTarget(t)
	}
	clear(r.targetList[len(kept):])
	r.targetList = kept
}

func (r *Reducer) removeTarget(t *target) {
	if t.service != nil {
		r.removeFromIndices(t)
		t.service.addSlots(-t.last.Slots)
	}
	delete(r.targets, t.id)
}

func (r *Reducer) scanRouters() {
	kept := r.routerList[:0]
	for _, rt := range r.routerList {
		silent := r.now.Sub(rt.heardAt)
		if rt.connected && silent >= RouterSilentAfter {
			r.loseRouter(rt)
		}
		if silent >= RouterForgottenAfter && len(rt.attempts) == 0 {
			delete(r.routers, rt.id)
			continue
		}
		kept = append(kept, rt)
		for name := range rt.arrivals {
			rt.arrivals[name] *= arrivalsDecay
		}
		r.sendPeriodic(rt)
	}
	clear(r.routerList[len(kept):])
	r.routerList = kept
}

// sendPeriodic queues what is sent to a router periodically: requests for a full report,
// standing grants and counters.
func (r *Reducer) sendPeriodic(rt *router) {
	if !rt.connected || r.phase == passive {
		return
	}
	if r.needsFullReport(rt) && r.now.Sub(rt.resyncRequestedAt) >= resyncInterval {
		rt.resyncRequestedAt = r.now
		r.outboxOf(rt).resync = true
	}
	if len(rt.standing) > 0 && r.now.Sub(rt.standingSentAt) >= standingInterval {
		r.outboxOf(rt).standing = true
	}
	if r.now.Sub(rt.countersSentAt) >= countersInterval && len(rt.changedCustomers) > 0 {
		rt.countersSentAt = r.now
		r.outboxOf(rt).served = r.servedTotals(rt)
	}
}

// servedTotals returns the counters of the router's changed customers and, without a
// customer, the virtual time of each service.
func (r *Reducer) servedTotals(rt *router) []fleet.ServedTotal {
	totals := make([]fleet.ServedTotal, 0, len(rt.changedCustomers))
	for c := range rt.changedCustomers {
		totals = append(totals, fleet.ServedTotal{
			Customer: c.name, Service: c.service.name, Counter: fleet.Cost(c.counter / counterScale),
		})
	}
	clear(rt.changedCustomers)
	for _, s := range r.serviceList {
		totals = append(totals, fleet.ServedTotal{Service: s.name, Counter: fleet.Cost(s.virtualTime / counterScale)})
	}
	slices.SortFunc(totals, func(a, b fleet.ServedTotal) int {
		return cmp.Or(compare(a.Service, b.Service), compare(a.Customer, b.Customer))
	})
	return totals
}
