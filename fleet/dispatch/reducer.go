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

	config      fleet.Confirmed
	configUntil time.Time
	// returned tells since when data centres that came back are in service.
	returned map[fleet.DataCentreName]time.Time

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

	posts      []*router
	nextGrant  uint64
	nextTicket uint64
	revisions  uint64
	scannedAt  time.Time
	// parkedMayRun says that a parked ticket may have become eligible.
	parkedMayRun bool
	news         news
	refusals     map[fleet.Reason]int64
	overMaxCost  int64
}

// New makes a dispatcher that holds no lease.
func New(cfg Config) *Reducer {
	if cfg.Charging == "" {
		cfg.Charging = ChargeProgressively
	}
	return &Reducer{
		cfg:      cfg,
		config:   fleet.Confirmed{Fleet: &fleet.Fleet{}},
		returned: map[fleet.DataCentreName]time.Time{},
		services: map[fleet.ServiceName]*service{},
		routers:  map[fleet.HostID]*router{},
		targets:  map[fleet.TargetID]*target{},
		attempts: map[fleet.GrantID]*attempt{},
		contents: map[fleet.ContentHash]*content{},
		refusals: map[fleet.Reason]int64{},
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
		r.report(&e.Report)
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
		r.expired(e.Effect)
	}
	r.dispatch()
	r.tellContents()
	r.flush()
	return r.effects
}

func (r *Reducer) emit(e fleet.Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) decide(request fleet.RequestID, customer fleet.CustomerName, event string, reason fleet.Reason, detail string) {
	r.emit(Decided{Decision: fleet.Decision{
		At: r.now, Host: r.cfg.Host, Request: request, Customer: customer, Event: event, Reason: reason, Detail: detail,
	}})
}

// service returns the state of a service, new if it was not heard of before.
func (r *Reducer) service(name fleet.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = newService(name, r.cfg.off)
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

// customer returns the state of a customer of a service.
func (r *Reducer) customer(s *service, name fleet.CustomerName) *customer {
	c, ok := s.customers[name]
	if !ok {
		c = newCustomer(s, name, r.weight(name))
		c.counter = s.leastCounter()
		c.floor = c.counter
		s.noteWeight(0, c.weight)
		s.customers[name] = c
	}
	return c
}

func (r *Reducer) weight(name fleet.CustomerName) fleet.Weight {
	return max(1, r.config.Fleet.Customers[name].Weight)
}

// configure takes over a confirmed configuration.
func (r *Reducer) configure(e ConfigConfirmed) {
	if e.Config.Version < r.config.Version || e.Config.Fleet == nil {
		return
	}
	r.configUntil = e.NotAfter
	if e.Config.Version == r.config.Version {
		return
	}
	for _, dc := range e.Config.Fleet.DataCentres {
		if r.config.DataCentresOut[dc] && !e.Config.DataCentresOut[dc] {
			r.returned[dc] = r.now
		}
	}
	r.config = e.Config
	r.parkedMayRun = true
	for _, s := range r.serviceList {
		s.spec, s.known = fleet.Service{}, false
		if spec, ok := e.Config.Fleet.Services[s.name]; ok {
			s.spec, s.known = spec, true
		}
		for _, c := range s.customers {
			earlier := c.weight
			c.weight = r.weight(c.name)
			s.noteWeight(earlier, c.weight)
		}
	}
	for _, t := range r.targetList {
		r.refresh(t)
	}
}

// tick passes the time: deadlines, missing targets, silent routers.
func (r *Reducer) tick() {
	for r.deadlines.Len() > 0 && !r.now.Before(r.deadlines.Min().deadline) {
		r.timeOut(r.deadlines.Min())
	}
	if r.now.Sub(r.scannedAt) < scanInterval {
		return
	}
	r.scannedAt = r.now
	r.scanTargets()
	r.giveStanding()
	r.scanRouters()
	r.expireContents()
	r.parkedMayRun = true
	r.settle()
	r.tellLimits()
	for _, s := range r.serviceList {
		r.checkCounters(s)
	}
}

// timeOut ends a ticket whose patience is over. Without the lease it is only dropped;
// the lease holder refuses it.
func (r *Reducer) timeOut(t *ticket) {
	if r.phase == passive {
		r.drop(t)
		return
	}
	r.refuse(t, fleet.ReasonQueueTimeout, "no slot became free in time")
}

// expired takes back the grants of a message that was not sent.
func (r *Reducer) expired(e fleet.Expiring) {
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
			r.forgetTarget(t)
			continue
		}
		kept = append(kept, t)
		if !t.missing && t.known && r.now.Sub(t.heardAt) >= fleet.TargetMissingAfter {
			t.missing = true
			r.targetMissing(t)
		}
		r.observeOverdue(t)
		r.countStreaming(t)
		r.expireDoubt(t)
		r.askRunning(t)
		r.expireStanding(t)
		r.refresh(t)
		r.checkTarget(t)
	}
	clear(r.targetList[len(kept):])
	r.targetList = kept
}

func (r *Reducer) forgetTarget(t *target) {
	if t.service != nil {
		r.withdraw(t)
		t.service.addSlots(-t.last.Slots)
	}
	delete(r.targets, t.id)
}

func (r *Reducer) scanRouters() {
	kept := r.routerList[:0]
	for _, o := range r.routerList {
		silent := r.now.Sub(o.heardAt)
		if o.connected && silent >= RouterSilentAfter {
			r.loseRouter(o)
		}
		if silent >= RouterForgottenAfter && len(o.attempts) == 0 {
			delete(r.routers, o.id)
			continue
		}
		kept = append(kept, o)
		for name := range o.arrivals {
			o.arrivals[name] *= arrivalsDecay
		}
		r.remind(o)
	}
	clear(r.routerList[len(kept):])
	r.routerList = kept
}

// remind sends a router what it has to know from time to time.
func (r *Reducer) remind(o *router) {
	if !o.connected || r.phase == passive {
		return
	}
	if r.wantsResync(o) && r.now.Sub(o.resyncAt) >= resyncInterval {
		o.resyncAt = r.now
		r.post(o).resync = true
	}
	if len(o.standing) > 0 && r.now.Sub(o.standingAt) >= standingInterval {
		r.post(o).standing = true
	}
	if r.now.Sub(o.servedAt) >= servedInterval && len(o.touched) > 0 {
		o.servedAt = r.now
		r.post(o).served = r.servedTotals(o)
	}
}

func (r *Reducer) servedTotals(o *router) []fleet.ServedTotal {
	totals := make([]fleet.ServedTotal, 0, len(o.touched))
	for c := range o.touched {
		totals = append(totals, fleet.ServedTotal{
			Customer: c.name, Service: c.service.name, Counter: fleet.Cost(c.counter / counterScale),
		})
	}
	clear(o.touched)
	for _, s := range r.serviceList {
		totals = append(totals, fleet.ServedTotal{Service: s.name, Counter: fleet.Cost(s.virtual / counterScale)})
	}
	slices.SortFunc(totals, func(a, b fleet.ServedTotal) int {
		return cmp.Or(compare(a.Service, b.Service), compare(a.Customer, b.Customer))
	})
	return totals
}
