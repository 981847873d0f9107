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

// router models a router: it queues requests, reports to the dispatchers and sends requests
// to the targets that they grant.
type router struct {
	sim           *Simulation
	index         int
	id            fleet.HostID
	dc            fleet.DataCentreName
	configVersion fleet.Version
	links         []*link
	// announcements holds the newest announcement of each target, sorted by name.
	announcements []fleet.Announcement
	waiting       map[fleet.TicketID]*request
	// queues lists the requests of each service, oldest first. Requests that no longer wait
	// are removed only when they reach the head.
	queues map[fleet.ServiceName][]*request
	// waitingByCustomer counts the waiting requests of each customer.
	waitingByCustomer map[fleet.CustomerName]int
	running           map[fleet.GrantID]*attempt
	standingGrants    []standingGrant
	// servedCounters holds the service of each customer as the dispatcher counts it.
	servedCounters map[customerService]fleet.Cost
	// standingStarts counts the starts on standing grants, for the IDs of their attempts.
	standingStarts int
}

type customerService struct {
	customer fleet.CustomerName
	service  fleet.ServiceName
}

// request is a caller's request at a router.
type request struct {
	*workload.Arrival
	id      fleet.RequestID
	arrived time.Time
	ticket  fleet.Ticket
	// queued is set while the request waits for a grant.
	queued bool
	// admitted is set once a target has admitted the request, so that its wait is recorded once.
	admitted       bool
	brokenAttempts int
}

// attempt is one attempt of a request at a target.
type attempt struct {
	grant            fleet.GrantID
	epoch            fleet.Epoch
	req              *request
	target           fleet.TargetID
	incarnation      fleet.Incarnation
	job              *engine.Job
	firstToken       time.Duration
	reportedProgress routing.ReportedProgress
	// standingGrant is the standing grant on which the attempt was started; empty if none.
	standingGrant fleet.GrantID
}

func newRouter(sim *Simulation, index int, dc fleet.DataCentreName) *router {
	r := &router{
		sim: sim, index: index, dc: dc, configVersion: 1,
		id:      fleet.HostID(fmt.Sprintf("router-%d", index+1)),
		waiting: map[fleet.TicketID]*request{}, queues: map[fleet.ServiceName][]*request{},
		waitingByCustomer: map[fleet.CustomerName]int{}, running: map[fleet.GrantID]*attempt{},
		servedCounters: map[customerService]fleet.Cost{},
	}
	dispatchers := sim.dispatchers
	if sim.cfg.DispatcherPerRouter {
		dispatchers = dispatchers[index : index+1]
	}
	for _, d := range dispatchers {
		r.links = append(r.links, newLink(r, d))
	}
	return r
}

func (r *router) start() {
	for _, l := range r.links {
		l.start()
	}
	offset := confirmInterval * time.Duration(r.index+1) / time.Duration(len(r.sim.cfg.Trace.Fleet.DataCentres)+r.sim.cfg.Trace.Routers)
	r.sim.queue.After(offset, func() {
		r.sim.queue.Every(confirmInterval, func() { r.configVersion = r.sim.config.Version })
	})
	r.sim.queue.After(r.sim.cfg.ProgressInterval*time.Duration(r.index)/time.Duration(r.sim.cfg.Trace.Routers), func() {
		r.sim.queue.Every(r.sim.cfg.ProgressInterval, r.reportProgress)
	})
	if r.sim.cfg.StandingGrants {
		r.sim.queue.Every(routing.TickInterval, r.useStandingGrants)
	}
}

// receiveRequest queues a request of a caller, or refuses it if too many requests of the
// customer wait.
func (r *router) receiveRequest(arrival *workload.Arrival, id fleet.RequestID) {
	if r.waitingByCustomer[arrival.Customer] >= r.sim.cfg.Trace.Fleet.Policy.QueuePerCustomer {
		r.sim.result.countRefusal(fleet.ReasonCustomerQueueFull)
		return
	}
	r.enqueue(&request{Arrival: arrival, id: id, arrived: r.sim.queue.Now()})
}

// enqueue queues the request with a new ticket and reports the ticket to the dispatchers.
func (r *router) enqueue(req *request) {
	now := r.sim.queue.Now()
	attempt := req.ticket.Attempt + 1
	req.ticket = fleet.Ticket{
		ID: fleet.TicketID(fmt.Sprintf("%s.%d", req.id, attempt)), Request: req.id,
		Customer: req.Customer, Service: req.Service, DataCentre: r.dc,
		Hint: req.Hint, Prefix: req.Prefix, Content: req.contentHash(),
		Attempt: attempt, Waited: now.Sub(req.arrived), Patience: time.Hour,
	}
	req.queued = true
	r.waiting[req.ticket.ID] = req
	r.queues[req.Service] = append(r.queues[req.Service], req)
	r.waitingByCustomer[req.Customer]++
	r.sim.meter.addWaiting(req.Service, req.Customer, 1)
	for _, l := range r.links {
		l.addChange(func(report *fleet.RouterReport) { report.Tickets = append(report.Tickets, req.ticket) })
	}
}

// contentHash returns the same hash for all crashing requests and a unique one for others.
func (req *request) contentHash() fleet.ContentHash {
	if req.Crashes {
		return "crashing"
	}
	return fleet.ContentHash(fmt.Sprintf("%032s", req.id))
}

// dequeue removes a request from the waiting ones.
func (r *router) dequeue(req *request) {
	req.queued = false
	delete(r.waiting, req.ticket.ID)
	r.waitingByCustomer[req.Customer]--
	r.sim.meter.addWaiting(req.Service, req.Customer, -1)
}

// receiveRefusal ends a request whose ticket the dispatcher refused.
func (r *router) receiveRefusal(refusal fleet.TicketRefusal) {
	if req := r.waiting[refusal.Ticket]; req != nil {
		r.dequeue(req)
		r.sim.result.countRefusal(refusal.Reason)
	}
}

// startAttempt sends a request to a target.
func (r *router) startAttempt(a *attempt) {
	r.dequeue(a.req)
	r.running[a.grant] = a
	r.sim.queue.After(r.sim.cfg.Trace.OneWayDelay, func() { r.admitToTarget(a) })
}

// admitToTarget handles the arrival of a request at its target.
func (r *router) admitToTarget(a *attempt) {
	e := r.sim.engineByTarget[a.target]
	if !e.Up() {
		r.endAttempt(a, fleet.OutcomeNotSent, 0)
		return
	}
	a.job = &engine.Job{
		Request: a.req.id, Customer: a.req.Customer, Cost: a.req.Cost, Prefix: a.req.Prefix,
		Crashes:      a.req.Crashes,
		OnFirstToken: func(d time.Duration) { a.firstToken = d + 2*r.sim.cfg.Trace.OneWayDelay },
		OnEnd: func(spent fleet.Cost, completed bool) {
			outcome := fleet.OutcomeBroken
			if completed {
				outcome = fleet.OutcomeCompleted
			}
			r.sim.queue.After(r.sim.cfg.Trace.OneWayDelay, func() { r.endAttempt(a, outcome, spent) })
		},
	}
	if !e.Admit(a.job) {
		a.job = nil
		r.sim.queue.After(r.sim.cfg.Trace.OneWayDelay, func() { r.endAttempt(a, fleet.OutcomeOverloaded, 0) })
		return
	}
	r.sim.meter.recordStart(a.req)
	a.req.admitted = true
}

// endAttempt reports the end of an attempt. Unless it completed, the request is retried, but
// after a broken attempt only maxBrokenRetries times.
func (r *router) endAttempt(a *attempt, outcome fleet.Outcome, spent fleet.Cost) {
	delete(r.running, a.grant)
	ended := fleet.GrantEnd{Grant: a.grant, Ticket: a.req.ticket.ID, Outcome: outcome, Spent: spent, FirstToken: a.firstToken}
	for _, l := range r.links {
		l.addChange(func(report *fleet.RouterReport) { report.Ended = append(report.Ended, ended) })
	}
	s := r.sim.result.service(a.req.Service)
	if outcome == fleet.OutcomeCompleted {
		s.Completed++
		return
	}
	s.Failed[outcome]++
	if outcome == fleet.OutcomeBroken {
		a.req.brokenAttempts++
		if a.req.brokenAttempts > maxBrokenRetries {
			r.sim.result.countRefusal(fleet.ReasonRetryBudget)
			return
		}
	}
	r.sim.queue.After(retryDelay, func() { r.enqueue(a.req) })
}

// reportProgress reports what the running requests have spent, if a report is due for them.
func (r *router) reportProgress() {
	if len(r.running) == 0 {
		return
	}
	for _, a := range r.sortedAttempts() {
		if a.job == nil || !a.reportedProgress.MarkIfDue(a.job.Spent(), a.firstToken) {
			continue
		}
		progress := fleet.Progress{Grant: a.grant, Spent: a.job.Spent(), FirstToken: a.firstToken}
		for _, l := range r.links {
			l.addChange(func(report *fleet.RouterReport) { report.Progress = append(report.Progress, progress) })
		}
	}
}

// sortedAttempts returns the running attempts, sorted by grant ID.
func (r *router) sortedAttempts() []*attempt {
	ids := make([]fleet.GrantID, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	attempts := make([]*attempt, 0, len(ids))
	for _, id := range ids {
		attempts = append(attempts, r.running[id])
	}
	return attempts
}

// relayAnnouncement stores a target's announcement and adds it to the reports.
func (r *router) relayAnnouncement(announcement fleet.Announcement) {
	i, known := slices.BinarySearchFunc(r.announcements, announcement.Target, func(b fleet.Announcement, id fleet.TargetID) int {
		return strings.Compare(string(b.Target), string(id))
	})
	if !known {
		r.announcements = slices.Insert(r.announcements, i, announcement)
	}
	r.announcements[i] = announcement
	for _, l := range r.links {
		l.relay.AddToReport(r.sim.queue.Now(), &announcement, len(r.announcements), &l.pendingReport)
		if !l.passive() {
			l.scheduleFlush()
		}
	}
}

// recordUnfinishedWaits records the waits of requests that still wait for their first start.
func (r *router) recordUnfinishedWaits() {
	for _, req := range r.waiting {
		if !req.admitted {
			r.sim.meter.recordWait(req)
		}
	}
}
