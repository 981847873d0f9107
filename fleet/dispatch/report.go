package dispatch

import (
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// report applies a router's report: the next one of its incarnation, or a full one.
func (r *Reducer) report(m *fleet.RouterReport) {
	o := r.reporter(m)
	if o == nil {
		return
	}
	o.heardAt = r.now
	for i := range m.Targets {
		r.announce(o, &m.Targets[i], !m.Full)
	}
	for i := range m.Alive {
		r.alive(o, &m.Alive[i])
	}
	if m.Sequence <= o.applied {
		return
	}
	if !m.Full && (!o.connected || m.Sequence != o.applied+1) {
		r.loseRouter(o)
		r.askFull(o)
		return
	}
	o.applied, o.connected = m.Sequence, true
	o.dataCentre, o.version, o.stopping = m.DataCentre, m.Version, m.Stopping
	r.applyRemembered(m)
	r.applyEnds(o, m)
	if m.Full {
		r.applyFull(o, m)
	} else {
		r.applyRunning(o, m.Running)
	}
	r.applyStanding(o, m.Standing)
	for i := range m.Tickets {
		r.receive(o, &m.Tickets[i])
	}
	r.settle()
	if m.Full {
		r.tellAllContents(o)
	}
	if r.now.Sub(o.answeredAt) >= answerInterval {
		r.post(o).answer = true
	}
}

// reporter returns the router of a report, or nil when the report is of an older
// incarnation. What an earlier incarnation had becomes doubtful.
func (r *Reducer) reporter(m *fleet.RouterReport) *router {
	o, ok := r.routers[m.Router]
	if ok && m.Incarnation < o.incarnation {
		return nil
	}
	if ok && m.Incarnation > o.incarnation {
		r.routerDied(o)
		ok = false
	}
	if !ok {
		o = newRouter(m.Router)
		o.incarnation = m.Incarnation
		r.addRouter(o)
	}
	return o
}

func (r *Reducer) addRouter(o *router) {
	r.routers[o.id] = o
	i, found := slices.BinarySearchFunc(r.routerList, o.id, func(a *router, id fleet.HostID) int {
		return compare(a.id, id)
	})
	if found {
		r.routerList[i] = o
		return
	}
	r.routerList = slices.Insert(r.routerList, i, o)
}

// askFull asks a router for a full report.
func (r *Reducer) askFull(o *router) {
	if r.phase == passive || r.now.Sub(o.resyncAt) < resyncInterval {
		return
	}
	o.resyncAt = r.now
	r.post(o).resync = true
}

// wantsResync says whether a full report would settle something.
func (r *Reducer) wantsResync(o *router) bool {
	return !o.settled
}

// routerDied keeps everything that a router's earlier incarnation had started, or may
// have, as doubtful.
func (r *Reducer) routerDied(o *router) {
	r.loseRouter(o)
	for _, a := range sortedAttempts(o.attempts) {
		r.leaveRouter(a)
		a.router = nil
	}
	for _, s := range sortedStanding(o.standing) {
		s.router, s.revoked = nil, true
	}
}

// loseRouter drops the tickets of a router that can't be reached, which sends them
// again, and doubts what it has in hand.
func (r *Reducer) loseRouter(o *router) {
	o.connected = false
	for _, t := range sortedTickets(o.tickets) {
		r.drop(t)
	}
	for _, a := range sortedAttempts(o.attempts) {
		r.doubt(a)
	}
}

func (r *Reducer) disconnected(id fleet.HostID) {
	if o, ok := r.routers[id]; ok {
		r.loseRouter(o)
	}
}

func sortedAttempts(m map[fleet.GrantID]*attempt) []*attempt {
	list := make([]*attempt, 0, len(m))
	for _, a := range m {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return compare(a.id, b.id) })
	return list
}

func sortedTickets(m map[fleet.TicketID]*ticket) []*ticket {
	list := make([]*ticket, 0, len(m))
	for _, t := range m {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *ticket) int { return compare(a.number, b.number) })
	return list
}

// applyEnds takes in what ended and what progressed at the router.
func (r *Reducer) applyEnds(o *router, m *fleet.RouterReport) {
	for i := range m.Progress {
		if a := o.attempts[m.Progress[i].Grant]; a != nil {
			r.progress(a, &m.Progress[i])
		}
	}
	for i := range m.Ended {
		if a := o.attempts[m.Ended[i].Grant]; a != nil {
			r.ended(a, &m.Ended[i])
		}
		if t := o.tickets[m.Ended[i].Ticket]; t != nil && r.phase == passive {
			// The lease holder granted it.
			r.drop(t)
		}
	}
	for _, id := range m.Withdrawn {
		if t := o.tickets[id]; t != nil {
			r.drop(t)
		}
	}
}

// applyFull compares what the router has with what it should have.
func (r *Reducer) applyFull(o *router, m *fleet.RouterReport) {
	if m.Epoch == r.lease.epoch {
		o.settled = true
	}
	waiting := make(map[fleet.TicketID]*fleet.Ticket, len(m.Tickets))
	for i := range m.Tickets {
		waiting[m.Tickets[i].ID] = &m.Tickets[i]
	}
	for _, t := range sortedTickets(o.tickets) {
		if waiting[t.ID] == nil {
			r.drop(t)
		}
	}
	listed := make(map[fleet.GrantID]bool, len(m.Running))
	for i := range m.Running {
		listed[m.Running[i].Grant] = true
	}
	r.applyRunning(o, m.Running)
	for _, a := range sortedAttempts(o.attempts) {
		if !listed[a.id] {
			r.unlisted(a, waiting[a.ticket.ID])
		}
	}
}

// unlisted handles an attempt that a full report did not name: its end was not
// reported, or its grant was still on the way. Its ticket is queued again if it waits.
func (r *Reducer) unlisted(a *attempt, waiting *fleet.Ticket) {
	r.doubt(a)
	if waiting != nil {
		t := *waiting
		a.again = &t
	}
}

// applyRunning takes in the attempts that the router has in hand.
func (r *Reducer) applyRunning(o *router, running []fleet.RunningAttempt) {
	for i := range running {
		r.adopt(o, &running[i])
	}
}

// adopt takes in one attempt that the router has in hand.
func (r *Reducer) adopt(o *router, m *fleet.RunningAttempt) {
	if a := r.attempts[m.Grant]; a != nil && (a.router == nil || a.router == o) {
		if a.router == nil {
			a.router = o
			o.attempts[a.id] = a
			o.byTicket[a.ticket.ID] = a
		}
		r.progress(a, &fleet.Progress{Grant: m.Grant, Spent: m.Spent})
		return
	}
	if t := o.tickets[m.Ticket.ID]; t != nil {
		r.drop(t)
	}
	s := o.standingOf(m)
	sv := r.service(m.Ticket.Service)
	c := r.customer(sv, m.Ticket.Customer)
	t := r.target(m.Target)
	a := &attempt{
		id: m.Grant, ticket: m.Ticket, router: o, incarnation: o.incarnation, target: t, targetInc: m.Incarnation,
		customer: c, weight: c.weight, standing: s, spent: m.Spent, expires: r.now,
	}
	a.estimate = max(r.estimate(c, m.Ticket.Hint), m.Spent)
	r.replacePresumed(t, m.Ticket.Request)
	if suspect := r.contents[m.Ticket.Content]; suspect != nil && suspect.running == nil {
		a.suspect = suspect
	}
	r.addAttempt(a)
	if s != nil {
		r.chargeGrant(a)
	} else {
		// The predecessor charged it before it passed the counters on.
		a.charged = a.estimate
	}
	if t.known && t.last.Incarnation > m.Incarnation {
		r.finish(a, a.spent)
		return
	}
	r.refresh(t)
}

// receive queues a ticket, or refuses it at once.
func (r *Reducer) receive(o *router, m *fleet.Ticket) {
	if o.tickets[m.ID] != nil || o.byTicket[m.ID] != nil {
		return
	}
	if m.Attempt > 1 {
		r.blameEarlier(o, m.Request)
		r.applyBroken(m)
	}
	s := r.service(m.Service)
	r.nextTicket++
	t := &ticket{
		Ticket: *m, router: o, customer: r.customer(s, m.Customer), number: r.nextTicket,
		arrived: r.now.Add(-m.Waited), deadline: r.now.Add(m.Patience), queueIndex: -1, deadlineIndex: -1,
	}
	o.tickets[t.ID] = t
	o.arrivals[s.name]++
	r.deadlines.Push(t)
	switch {
	case len(o.tickets) > r.queueBound():
		r.refuse(t, fleet.ReasonHostQueueFull, "too many requests wait at this host")
		return
	case r.barred(t):
		r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		return
	}
	t.customer.enqueue(r.now, t)
}

// blameEarlier treats the earlier attempt of a request that is tried again as broken,
// in case the report of its end was lost.
func (r *Reducer) blameEarlier(o *router, request fleet.RequestID) {
	for _, a := range sortedAttempts(o.attempts) {
		if a.ticket.Request == request {
			r.blame(a, false)
			r.doubt(a)
		}
	}
}

// queueBound returns the most tickets that one router may have waiting.
func (r *Reducer) queueBound() int {
	if n := r.config.Fleet.Policy.QueuePerRouter; n > 0 {
		return n
	}
	return 1
}

// drop takes a ticket out without an answer.
func (r *Reducer) drop(t *ticket) {
	delete(t.router.tickets, t.ID)
	if t.deadlineIndex >= 0 {
		r.deadlines.Remove(t.deadlineIndex)
	}
	if t.queueIndex >= 0 {
		t.customer.dequeue(r.now, t)
	}
	if t.parked {
		t.parked = false
		t.customer.parked--
		t.customer.noteIdle(r.now)
	}
}

// refuse ends a ticket with a refusal.
func (r *Reducer) refuse(t *ticket, reason fleet.Reason, detail string) {
	r.drop(t)
	r.refusals[reason]++
	box := r.post(t.router)
	box.refusals = append(box.refusals, fleet.TicketRefusal{
		Ticket: t.ID, Reason: reason, Detail: detail, RetryAfter: r.retryAfter(t, reason),
	})
	r.decide(t.Request, t.Customer, "Refused", reason, detail)
}
