package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// router models a router: it queues requests, reports to the dispatchers and uses grants.
type router struct {
	f       *Fleet
	index   int
	id      fleet.HostID
	dc      fleet.DataCentreName
	version fleet.Version
	links   []*link
	// announced holds the newest announcements of the targets, in order of their names.
	announced []fleet.Announcement
	waiting   map[fleet.TicketID]*request
	// order lists the waiting requests of each service, oldest first; those that no
	// longer wait are skipped.
	order       map[fleet.ServiceName][]*request
	perCustomer map[fleet.CustomerName]int
	running     map[fleet.GrantID]*attempt
	standing    []standing
	counters    map[customerService]fleet.Cost
	started     int
}

type customerService struct {
	customer fleet.CustomerName
	service  fleet.ServiceName
}

// request is a caller's request at its router.
type request struct {
	*workload.Arrival
	id      fleet.RequestID
	arrived time.Time
	ticket  fleet.Ticket
	waits   bool
	// served says that a target admitted it; its wait has been recorded.
	served bool
	broken int
}

// attempt is a request that was sent to a target.
type attempt struct {
	grant       fleet.GrantID
	epoch       fleet.Epoch
	req         *request
	target      fleet.TargetID
	incarnation fleet.Incarnation
	job         *engine.Job
	firstToken  time.Duration
	told        routing.ReportedProgress
	standing    fleet.GrantID
}

func newRouter(f *Fleet, index int, dc fleet.DataCentreName) *router {
	r := &router{
		f: f, index: index, dc: dc, version: 1,
		id:      fleet.HostID(fmt.Sprintf("router-%d", index+1)),
		waiting: map[fleet.TicketID]*request{}, order: map[fleet.ServiceName][]*request{},
		perCustomer: map[fleet.CustomerName]int{}, running: map[fleet.GrantID]*attempt{},
		counters: map[customerService]fleet.Cost{},
	}
	dispatchers := f.dispatchers
	if f.cfg.PerRouter {
		dispatchers = dispatchers[index : index+1]
	}
	for _, d := range dispatchers {
		r.links = append(r.links, newLink(r, d))
	}
	return r
}

func (r *router) run() {
	for _, l := range r.links {
		l.run()
	}
	offset := configInterval * time.Duration(r.index+1) / time.Duration(len(r.f.cfg.Trace.Fleet.DataCentres)+r.f.cfg.Trace.Routers)
	r.f.queue.After(offset, func() {
		r.f.queue.Every(configInterval, func() { r.version = r.f.config.Version })
	})
	r.f.queue.After(r.f.cfg.ProgressInterval*time.Duration(r.index)/time.Duration(r.f.cfg.Trace.Routers), func() {
		r.f.queue.Every(r.f.cfg.ProgressInterval, r.progress)
	})
	if r.f.cfg.Standing {
		r.f.queue.Every(routing.TickInterval, r.useStanding)
	}
}

// arrive takes a request of a caller.
func (r *router) arrive(a *workload.Arrival, id fleet.RequestID) {
	if r.perCustomer[a.Customer] >= r.f.cfg.Trace.Fleet.Policy.QueuePerCustomer {
		r.f.result.refuse(fleet.ReasonCustomerQueueFull)
		return
	}
	r.enqueue(&request{Arrival: a, id: id, arrived: r.f.queue.Now()})
}

// enqueue sends a new ticket for the request.
func (r *router) enqueue(req *request) {
	now := r.f.queue.Now()
	n := req.ticket.Attempt + 1
	req.ticket = fleet.Ticket{
		ID: fleet.TicketID(fmt.Sprintf("%s.%d", req.id, n)), Request: req.id,
		Customer: req.Customer, Service: req.Service, DataCentre: r.dc,
		Hint: req.Hint, Prefix: req.Prefix, Content: req.content(),
		Attempt: n, Waited: now.Sub(req.arrived), Patience: time.Hour,
	}
	req.waits = true
	r.waiting[req.ticket.ID] = req
	r.order[req.Service] = append(r.order[req.Service], req)
	r.perCustomer[req.Customer]++
	r.f.meter.wait(req.Service, req.Customer, 1)
	for _, l := range r.links {
		l.change(func(report *fleet.RouterReport) { report.Tickets = append(report.Tickets, req.ticket) })
	}
}

func (q *request) content() fleet.ContentHash {
	if q.Crashes {
		return "crashing"
	}
	return fleet.ContentHash(fmt.Sprintf("%032s", q.id))
}

// dequeue ends the wait of a request.
func (r *router) dequeue(req *request) {
	req.waits = false
	delete(r.waiting, req.ticket.ID)
	r.perCustomer[req.Customer]--
	r.f.meter.wait(req.Service, req.Customer, -1)
}

// refused ends a request whose ticket the dispatcher refused.
func (r *router) refused(refusal fleet.TicketRefusal) {
	if req := r.waiting[refusal.Ticket]; req != nil {
		r.dequeue(req)
		r.f.result.refuse(refusal.Reason)
	}
}

// start sends a request to a target.
func (r *router) start(a *attempt) {
	r.dequeue(a.req)
	r.running[a.grant] = a
	r.f.queue.After(r.f.cfg.Trace.OneWay, func() { r.admit(a) })
}

func (r *router) admit(a *attempt) {
	e := r.f.byTarget[a.target]
	if !e.Up() {
		r.end(a, fleet.OutcomeNotSent, 0)
		return
	}
	a.job = &engine.Job{
		Request: a.req.id, Customer: a.req.Customer, Cost: a.req.Cost, Prefix: a.req.Prefix,
		Crashes:    a.req.Crashes,
		FirstToken: func(d time.Duration) { a.firstToken = d + 2*r.f.cfg.Trace.OneWay },
		Ended: func(spent fleet.Cost, completed bool) {
			outcome := fleet.OutcomeBroken
			if completed {
				outcome = fleet.OutcomeCompleted
			}
			r.f.queue.After(r.f.cfg.Trace.OneWay, func() { r.end(a, outcome, spent) })
		},
	}
	if !e.Admit(a.job) {
		a.job = nil
		r.f.queue.After(r.f.cfg.Trace.OneWay, func() { r.end(a, fleet.OutcomeOverloaded, 0) })
		return
	}
	r.f.meter.started(a.req)
	a.req.served = true
}

// end reports the end of an attempt and tries the request again unless it completed.
func (r *router) end(a *attempt, outcome fleet.Outcome, spent fleet.Cost) {
	delete(r.running, a.grant)
	ended := fleet.GrantEnd{Grant: a.grant, Ticket: a.req.ticket.ID, Outcome: outcome, Spent: spent, FirstToken: a.firstToken}
	for _, l := range r.links {
		l.change(func(report *fleet.RouterReport) { report.Ended = append(report.Ended, ended) })
	}
	s := r.f.result.service(a.req.Service)
	if outcome == fleet.OutcomeCompleted {
		s.Completed++
		return
	}
	s.Failed[outcome]++
	if outcome == fleet.OutcomeBroken {
		a.req.broken++
		if a.req.broken > mostBroken {
			r.f.result.refuse(fleet.ReasonRetryBudget)
			return
		}
	}
	r.f.queue.After(retryPause, func() { r.enqueue(a.req) })
}

// progress reports what the running requests have spent, as far as it is due.
func (r *router) progress() {
	if len(r.running) == 0 {
		return
	}
	for _, a := range r.attempts() {
		if a.job == nil || !a.told.MarkIfDue(a.job.Spent(), a.firstToken) {
			continue
		}
		p := fleet.Progress{Grant: a.grant, Spent: a.job.Spent(), FirstToken: a.firstToken}
		for _, l := range r.links {
			l.change(func(report *fleet.RouterReport) { report.Progress = append(report.Progress, p) })
		}
	}
}

// attempts returns the running attempts in the order of their grants.
func (r *router) attempts() []*attempt {
	ids := make([]fleet.GrantID, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	all := make([]*attempt, 0, len(ids))
	for _, id := range ids {
		all = append(all, r.running[id])
	}
	return all
}

// relay takes a target's announcement and passes it on.
func (r *router) relay(a fleet.Announcement) {
	i, known := slices.BinarySearchFunc(r.announced, a.Target, func(b fleet.Announcement, id fleet.TargetID) int {
		return strings.Compare(string(b.Target), string(id))
	})
	if !known {
		r.announced = slices.Insert(r.announced, i, a)
	}
	r.announced[i] = a
	for _, l := range r.links {
		l.relay.AddToReport(r.f.queue.Now(), &a, len(r.announced), &l.pending)
		if !l.passive() {
			l.soon()
		}
	}
}

// finish records the waits that have not ended.
func (r *router) finish() {
	for _, req := range r.waiting {
		if !req.served {
			r.f.meter.recordWait(req)
		}
	}
}
