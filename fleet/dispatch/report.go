package dispatch

import (
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// applyReport applies a router's report if it is full or the next one of its incarnation.
// Announcements and heartbeats in it are applied in any case.
func (r *Reducer) applyReport(m *fleet.RouterReport) {
	rt := r.reportingRouter(m)
	if rt == nil {
		return
	}
	rt.heardAt = r.now
	for i := range m.Targets {
		r.applyAnnouncement(rt, &m.Targets[i], !m.Full)
	}
	for i := range m.Alive {
		r.applyAlive(rt, &m.Alive[i])
	}
	if m.Sequence <= rt.applied {
		return
	}
	if !m.Full && (!rt.connected || m.Sequence != rt.applied+1) {
		r.loseRouter(rt)
		r.requestFullReport(rt)
		return
	}
	rt.applied, rt.connected = m.Sequence, true
	rt.dataCentre, rt.version, rt.stopping = m.DataCentre, m.Version, m.Stopping
	r.applyRetained(m)
	r.applyEnds(rt, m)
	if m.Full {
		r.applyFull(rt, m)
	} else {
		r.applyRunning(rt, m.Running)
	}
	r.applyStanding(rt, m.Standing)
	for i := range m.Tickets {
		r.acceptTicket(rt, &m.Tickets[i])
	}
	r.finishReconciling()
	if m.Full {
		r.queueAllContents(rt)
	}
	if r.now.Sub(rt.sentAt) >= answerInterval {
		r.outboxOf(rt).answer = true
	}
}

// reportingRouter returns the router of a report, or nil if the report is of an older
// incarnation. A newer incarnation puts the attempts of the earlier one in doubt.
func (r *Reducer) reportingRouter(m *fleet.RouterReport) *router {
	rt, ok := r.routers[m.Router]
	if ok && m.Incarnation < rt.incarnation {
		return nil
	}
	if ok && m.Incarnation > rt.incarnation {
		r.routerRestarted(rt)
		ok = false
	}
	if !ok {
		rt = newRouter(m.Router)
		rt.incarnation = m.Incarnation
		r.addRouter(rt)
	}
	return rt
}

func (r *Reducer) addRouter(rt *router) {
	r.routers[rt.id] = rt
	i, found := slices.BinarySearchFunc(r.routerList, rt.id, func(a *router, id fleet.HostID) int {
		return compare(a.id, id)
	})
	if found {
		r.routerList[i] = rt
		return
	}
	r.routerList = slices.Insert(r.routerList, i, rt)
}

// requestFullReport asks a router for a full report, at most once every resyncInterval.
func (r *Reducer) requestFullReport(rt *router) {
	if r.phase == passive || r.now.Sub(rt.resyncRequestedAt) < resyncInterval {
		return
	}
	rt.resyncRequestedAt = r.now
	r.outboxOf(rt).resync = true
}

// needsFullReport reports whether a full report of the router under this lease is missing.
func (r *Reducer) needsFullReport(rt *router) bool {
	return !rt.reconciled
}

// routerRestarted puts the attempts of a router's earlier incarnation in doubt and revokes its
// standing grants; both keep their slots for now.
func (r *Reducer) routerRestarted(rt *router) {
	r.loseRouter(rt)
	for _, a := range sortedAttempts(rt.attempts) {
		r.detachFromRouter(a)
		a.router = nil
	}
	for _, s := range sortedStanding(rt.standing) {
		s.router, s.revoked = nil, true
	}
}

// loseRouter removes the tickets of an unreachable router, which sends them again, and puts
// its attempts in doubt.
func (r *Reducer) loseRouter(rt *router) {
	rt.connected = false
	for _, t := range sortedTickets(rt.tickets) {
		r.removeTicket(t)
	}
	for _, a := range sortedAttempts(rt.attempts) {
		r.markInDoubt(a)
	}
}

func (r *Reducer) disconnected(id fleet.HostID) {
	if rt, ok := r.routers[id]; ok {
		r.loseRouter(rt)
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

// applyEnds applies the progress and the ends of attempts and the withdrawn tickets that the
// router reports.
func (r *Reducer) applyEnds(rt *router, m *fleet.RouterReport) {
	for i := range m.Progress {
		if a := rt.attempts[m.Progress[i].Grant]; a != nil {
			r.applyProgress(a, &m.Progress[i])
		}
	}
	for i := range m.Ended {
		if a := rt.attempts[m.Ended[i].Grant]; a != nil {
			r.applyEnd(a, &m.Ended[i])
		}
		if t := rt.tickets[m.Ended[i].Ticket]; t != nil && r.phase == passive {
			// The lease holder granted the ticket.
			r.removeTicket(t)
		}
	}
	for _, id := range m.Withdrawn {
		if t := rt.tickets[id]; t != nil {
			r.removeTicket(t)
		}
	}
}

// applyFull reconciles the router's tickets and attempts with its full report.
func (r *Reducer) applyFull(rt *router, m *fleet.RouterReport) {
	if m.Epoch == r.lease.epoch {
		rt.reconciled = true
	}
	waiting := make(map[fleet.TicketID]*fleet.Ticket, len(m.Tickets))
	for i := range m.Tickets {
		waiting[m.Tickets[i].ID] = &m.Tickets[i]
	}
	for _, t := range sortedTickets(rt.tickets) {
		if waiting[t.ID] == nil {
			r.removeTicket(t)
		}
	}
	listed := make(map[fleet.GrantID]bool, len(m.Running))
	for i := range m.Running {
		listed[m.Running[i].Grant] = true
	}
	r.applyRunning(rt, m.Running)
	for _, a := range sortedAttempts(rt.attempts) {
		if !listed[a.id] {
			r.applyUnlisted(a, waiting[a.ticket.ID])
		}
	}
}

// applyUnlisted handles an attempt that a full report omits: its end was not reported, or its
// grant was still in flight. If its ticket waits, it is queued again once the attempt is
// known not to run.
func (r *Reducer) applyUnlisted(a *attempt, waiting *fleet.Ticket) {
	r.markInDoubt(a)
	if waiting != nil {
		t := *waiting
		a.requeue = &t
	}
}

// applyRunning applies the attempts that the router reports as running.
func (r *Reducer) applyRunning(rt *router, running []fleet.RunningAttempt) {
	for i := range running {
		r.adoptAttempt(rt, &running[i])
	}
}

// adoptAttempt applies one attempt that the router reports as running, and adds it if it is
// unknown.
func (r *Reducer) adoptAttempt(rt *router, m *fleet.RunningAttempt) {
	if a := r.attempts[m.Grant]; a != nil && (a.router == nil || a.router == rt) {
		if a.router == nil {
			a.router = rt
			rt.attempts[a.id] = a
			rt.byTicket[a.ticket.ID] = a
		}
		r.applyProgress(a, &fleet.Progress{Grant: m.Grant, Spent: m.Spent})
		return
	}
	if t := rt.tickets[m.Ticket.ID]; t != nil {
		r.removeTicket(t)
	}
	s := rt.standingOf(m)
	sv := r.service(m.Ticket.Service)
	c := r.customer(sv, m.Ticket.Customer)
	t := r.target(m.Target)
	a := &attempt{
		id: m.Grant, ticket: m.Ticket, router: rt, routerIncarnation: rt.incarnation, target: t, targetIncarnation: m.Incarnation,
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
		// The predecessor charged the attempt before it sent the counters to the routers.
		a.charged = a.estimate
	}
	if t.known && t.last.Incarnation > m.Incarnation {
		r.finish(a, a.spent)
		return
	}
	r.refresh(t)
}

// acceptTicket queues a ticket, or refuses it at once.
func (r *Reducer) acceptTicket(rt *router, m *fleet.Ticket) {
	if rt.tickets[m.ID] != nil || rt.byTicket[m.ID] != nil {
		return
	}
	if m.Attempt > 1 {
		r.suspectEarlierAttempts(rt, m.Request)
		r.applyBroken(m)
	}
	s := r.service(m.Service)
	r.nextTicket++
	t := &ticket{
		Ticket: *m, router: rt, customer: r.customer(s, m.Customer), number: r.nextTicket,
		arrived: r.now.Add(-m.Waited), deadline: r.now.Add(m.Patience), queueIndex: -1, deadlineIndex: -1,
	}
	rt.tickets[t.ID] = t
	rt.arrivals[s.name]++
	r.deadlines.Push(t)
	switch {
	case len(rt.tickets) > r.queueBound():
		r.refuse(t, fleet.ReasonHostQueueFull, "too many requests wait at this host")
		return
	case r.isQuarantined(t):
		r.refuse(t, fleet.ReasonQuarantined, quarantineDetail)
		return
	}
	t.customer.enqueue(r.now, t)
}

// suspectEarlierAttempts treats the earlier attempts of a retried request as broken, in case
// the report of their end was lost.
func (r *Reducer) suspectEarlierAttempts(rt *router, request fleet.RequestID) {
	for _, a := range sortedAttempts(rt.attempts) {
		if a.ticket.Request == request {
			r.suspectContent(a, false)
			r.markInDoubt(a)
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

// removeTicket removes a ticket without an answer.
func (r *Reducer) removeTicket(t *ticket) {
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
		t.customer.updateIdleSince(r.now)
	}
}

// refuse removes a ticket and sends a refusal to its router.
func (r *Reducer) refuse(t *ticket, reason fleet.Reason, detail string) {
	r.removeTicket(t)
	r.refusals[reason]++
	box := r.outboxOf(t.router)
	box.refusals = append(box.refusals, fleet.TicketRefusal{
		Ticket: t.ID, Reason: reason, Detail: detail, RetryAfter: r.retryAfter(t, reason),
	})
	r.emitDecision(t.Request, t.Customer, "Refused", reason, detail)
}
