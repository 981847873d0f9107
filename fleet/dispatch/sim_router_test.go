package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// simRequest is a caller's request at a fake router.
type simRequest struct {
	id       fleet.RequestID
	number   int
	hint     fleet.Cost
	customer fleet.CustomerName
	service  fleet.ServiceName
	cost     int
	// submitted is when the caller sent it.
	submitted time.Time
	content   fleet.ContentHash
	attempt   int
	since     time.Time
	ticket    fleet.TicketID
	broken    []fleet.TargetDeath
}

// simAttempt is an attempt that a fake router makes on a grant.
type simAttempt struct {
	grant       fleet.GrantID
	standing    fleet.GrantID
	epoch       fleet.Epoch
	request     *simRequest
	ticket      fleet.Ticket
	target      *simTarget
	incarnation fleet.Incarnation
	spent       fleet.Cost
}

func (a *simAttempt) running() fleet.RunningAttempt {
	return fleet.RunningAttempt{Grant: a.grant, Epoch: a.epoch, Ticket: a.ticket, Target: a.target.id, Incarnation: a.incarnation, Spent: a.spent}
}

// simRouter is a fake router.
type simRouter struct {
	s            *sim
	id           fleet.HostID
	dc           fleet.DataCentreName
	incarnation  fleet.Incarnation
	stopped      bool
	epoch        fleet.Epoch
	lastContact  time.Time
	waiting      []*simRequest
	attempts     []*simAttempt
	served       map[fleet.CustomerName]fleet.ServedTotal
	suspects     map[fleet.ContentHash]fleet.Suspect
	suspectUntil map[fleet.ContentHash]time.Time
	quarantines  map[fleet.ContentHash]time.Time
	limits       map[fleet.TargetID]fleet.TargetLimit
	targets      map[fleet.TargetID]fleet.Announcement

	standing      []fleet.StandingGrant
	standingUntil time.Time

	// The slices below are indexed by dispatcher.
	cut      []bool
	full     []bool
	sequence []fleet.Sequence
	sent     []map[fleet.Sequence]time.Time
	pending  []fleet.RouterReport
	relays   []routing.AnnouncementRelay
	sentAt   []time.Time
	arrives  []time.Time
}

func newSimRouter(s *sim, i int, incarnation fleet.Incarnation) *simRouter {
	n := s.cfg.dispatchers
	o := &simRouter{
		s: s, id: fleet.HostID(fmt.Sprintf("r%02d", i)), dc: s.config.Fleet.DataCentres[i%len(s.config.Fleet.DataCentres)], incarnation: incarnation,
		served: map[fleet.CustomerName]fleet.ServedTotal{}, suspects: map[fleet.ContentHash]fleet.Suspect{},
		suspectUntil: map[fleet.ContentHash]time.Time{},
		quarantines:  map[fleet.ContentHash]time.Time{}, limits: map[fleet.TargetID]fleet.TargetLimit{},
		targets: map[fleet.TargetID]fleet.Announcement{}, lastContact: s.now,
		cut: make([]bool, n), full: make([]bool, n), sequence: make([]fleet.Sequence, n),
		sent: make([]map[fleet.Sequence]time.Time, n), pending: make([]fleet.RouterReport, n), relays: make([]routing.AnnouncementRelay, n),
		sentAt: make([]time.Time, n), arrives: make([]time.Time, n),
	}
	for i := range n {
		o.full[i], o.sent[i] = true, map[fleet.Sequence]time.Time{}
	}
	return o
}

func (o *simRouter) reconnect(d int) { o.full[d] = true }

// setCut cuts or restores the link to a dispatcher, which detects a cut after a delay.
func (o *simRouter) setCut(d int, cut bool) {
	if o.cut[d] == cut {
		return
	}
	o.cut[d], o.full[d] = cut, true
	if cut {
		o.s.later(func() { o.s.post(o.s.dispatchers[d], RouterDisconnected{Router: o.id}) })
	}
}

// link delivers a message over the ordered connection between router and dispatcher.
func (o *simRouter) link(d int, deliver func()) {
	at := later(o.s.now.Add(stepInterval+time.Duration(o.s.rng.Int64N(int64(o.s.cfg.spread)+1))), o.arrives[d])
	o.arrives[d] = at
	o.s.inFlight = append(o.s.inFlight, simMessage{at: at, deliver: func() {
		if !o.stopped && !o.cut[d] {
			deliver()
		}
	}})
}

func (o *simRouter) report(change func(m *fleet.RouterReport)) {
	for d := range o.pending {
		change(&o.pending[d])
	}
}

func (o *simRouter) ticket(q *simRequest) fleet.Ticket {
	waited := o.s.now.Sub(q.since)
	return fleet.Ticket{
		ID: q.ticket, Request: q.id, Customer: q.customer, Service: q.service,
		DataCentre: o.dc, Hint: q.hint, Content: q.content, Broken: q.broken, Attempt: q.attempt, Waited: waited, Patience: max(0, 20*time.Second-waited),
	}
}

func (o *simRouter) add(q *simRequest) {
	q.attempt++
	q.ticket = fleet.TicketID(fmt.Sprintf("%s.%d", q.id, q.attempt))
	q.since = o.s.now
	o.waiting = append(o.waiting, q)
	t := o.ticket(q)
	o.report(func(m *fleet.RouterReport) { m.Tickets = append(m.Tickets, t) })
}

func (o *simRouter) relay(a fleet.Announcement) {
	if o.stopped {
		return
	}
	o.targets[a.Target] = a
	for d := range o.pending {
		o.relays[d].AddToReport(o.s.now, &a, len(o.targets), &o.pending[d])
	}
}

func (o *simRouter) step() {
	if o.s.now.Sub(o.lastContact) > 300*time.Millisecond {
		o.useStanding()
	}
	for d := range o.pending {
		p := &o.pending[d]
		news := len(p.Tickets)+len(p.Ended)+len(p.Progress)+len(p.Targets)+len(p.Alive)+len(p.Standing) > 0
		if o.cut[d] || !news && !o.full[d] && o.s.now.Sub(o.sentAt[d]) < 250*time.Millisecond {
			continue
		}
		o.send(d)
	}
}

// send sends the pending report to a dispatcher. With probability simConfig.loss it is lost,
// duplicated or sent out of order.
func (o *simRouter) send(d int) {
	m := o.pending[d]
	o.pending[d] = fleet.RouterReport{}
	if o.full[d] {
		m = o.fullReport()
	}
	o.sequence[d]++
	m.Router, m.Incarnation, m.DataCentre = o.id, o.incarnation, o.dc
	m.Sequence, m.Epoch, m.Version, m.Full = o.sequence[d], o.epoch, o.s.config.Version, o.full[d]
	o.full[d] = false
	o.sentAt[d] = o.s.now
	o.sent[d][m.Sequence] = o.s.now
	post := func() { o.s.post(o.s.dispatchers[d], ReportReceived{Report: m}) }
	switch x := o.s.rng.Float64(); {
	case x < o.s.cfg.loss/3:
	case x < o.s.cfg.loss*2/3:
		o.link(d, post)
		o.link(d, post)
	case x < o.s.cfg.loss:
		o.s.later(post)
	default:
		o.link(d, post)
	}
}

func (o *simRouter) fullReport() fleet.RouterReport {
	var m fleet.RouterReport
	for _, q := range o.waiting {
		m.Tickets = append(m.Tickets, o.ticket(q))
	}
	for _, a := range o.attempts {
		m.Running = append(m.Running, a.running())
	}
	for _, a := range o.targets {
		m.Targets = append(m.Targets, a)
	}
	for _, st := range o.served {
		m.Served = append(m.Served, st)
	}
	for _, c := range o.suspects {
		c.For = o.suspectUntil[c.Content].Sub(o.s.now)
		m.Suspects = append(m.Suspects, c)
	}
	for c, until := range o.quarantines {
		m.Quarantined = append(m.Quarantined, fleet.Quarantine{Content: c, For: until.Sub(o.s.now)})
	}
	for _, l := range o.limits {
		m.Limits = append(m.Limits, l)
	}
	slices.SortFunc(m.Targets, func(a, b fleet.Announcement) int { return compare(a.Target, b.Target) })
	slices.SortFunc(m.Served, func(a, b fleet.ServedTotal) int { return compare(a.Customer, b.Customer) })
	slices.SortFunc(m.Suspects, func(a, b fleet.Suspect) int { return compare(a.Content, b.Content) })
	slices.SortFunc(m.Quarantined, func(a, b fleet.Quarantine) int { return compare(a.Content, b.Content) })
	slices.SortFunc(m.Limits, func(a, b fleet.TargetLimit) int { return compare(a.Target, b.Target) })
	return m
}

func (o *simRouter) receive(d int, m fleet.DispatcherGrants) {
	if m.RouterIncarnation != o.incarnation || m.Epoch < o.epoch {
		return
	}
	if m.Epoch > o.epoch {
		o.epoch, o.standing = m.Epoch, nil
		for i := range o.full {
			o.full[i] = true
		}
	}
	o.lastContact = o.s.now
	o.full[d] = o.full[d] || m.Resync
	o.relays[d].RequestFull(m.AskTargets)
	o.retain(m)
	sent, known := o.sent[d][m.Ack]
	until := sent.Add(fleet.ShortenLease(m.Validity))
	current := known && o.s.now.Before(until) && m.Version >= o.s.config.Version
	for _, g := range m.Grants {
		o.granted(g, m.Epoch, current)
	}
	if m.StandingSet && current {
		o.standing, o.standingUntil = m.Standing, until
	}
	for _, ref := range m.Refusals {
		o.refused(ref)
	}
}

func (o *simRouter) retain(m fleet.DispatcherGrants) {
	for _, st := range m.Served {
		o.served[st.Customer] = st
	}
	for _, q := range m.Quarantined {
		o.quarantines[q.Content] = o.s.now.Add(q.For)
	}
	for _, c := range m.Suspects {
		if c.For == 0 {
			delete(o.suspects, c.Content)
			continue
		}
		o.suspects[c.Content], o.suspectUntil[c.Content] = c, o.s.now.Add(c.For)
	}
	for _, l := range m.Limits {
		o.limits[l.Target] = l
	}
}

// takeWaiting removes and returns the waiting request of a ticket; nil if there is none.
func (o *simRouter) takeWaiting(id fleet.TicketID) *simRequest {
	i := slices.IndexFunc(o.waiting, func(q *simRequest) bool { return q.ticket == id })
	if i < 0 {
		return nil
	}
	q := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	return q
}

func (o *simRouter) granted(g fleet.Grant, epoch fleet.Epoch, current bool) {
	q := o.takeWaiting(g.Ticket)
	if q == nil || !current {
		if !slices.ContainsFunc(o.attempts, func(a *simAttempt) bool { return a.grant == g.ID }) {
			o.end(g.ID, g.Ticket, fleet.OutcomeNotSent, 0, 0)
		}
		if q != nil {
			o.add(q)
		}
		return
	}
	o.start(&simAttempt{grant: g.ID, epoch: epoch, request: q, ticket: o.ticket(q), target: o.s.target(g.Target), incarnation: g.Incarnation})
}

func (s *sim) target(id fleet.TargetID) *simTarget {
	for _, t := range s.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (o *simRouter) start(a *simAttempt) bool {
	if !a.target.start(o, a) {
		o.end(a.grant, a.ticket.ID, fleet.OutcomeUnreached, 0, 0)
		o.retry(a.request)
		return false
	}
	o.attempts = append(o.attempts, a)
	return true
}

// retry queues a request again, after a delay, that a target did not finish.
func (o *simRouter) retry(q *simRequest) {
	o.s.later(func() {
		if o.stopped {
			delete(o.s.openRequests, q.id)
			return
		}
		o.add(q)
	})
}

func (o *simRouter) end(g fleet.GrantID, t fleet.TicketID, outcome fleet.Outcome, spent fleet.Cost, first time.Duration) {
	e := fleet.GrantEnd{Grant: g, Ticket: t, Outcome: outcome, Spent: spent, FirstToken: first}
	o.report(func(m *fleet.RouterReport) { m.Ended = append(m.Ended, e) })
}

func (o *simRouter) progressed(run *simRun) {
	if o.stopped {
		return
	}
	run.attempt.spent = fleet.Cost(run.spent)
	p := fleet.Progress{Grant: run.attempt.grant, Spent: run.attempt.spent, FirstToken: run.firstToken}
	if run.first && run.spent%50 != 0 {
		return
	}
	run.first = true
	o.report(func(m *fleet.RouterReport) { m.Progress = append(m.Progress, p) })
}

func (o *simRouter) ended(run *simRun, outcome fleet.Outcome) {
	if o.stopped {
		return
	}
	o.attempts = slices.DeleteFunc(o.attempts, func(a *simAttempt) bool { return a == run.attempt })
	o.end(run.attempt.grant, run.attempt.ticket.ID, outcome, fleet.Cost(run.spent), 0)
	if outcome == fleet.OutcomeBroken {
		q := run.attempt.request
		q.broken = append(q.broken, fleet.TargetDeath{Target: run.attempt.target.id, Incarnation: run.attempt.incarnation})
		o.retry(q)
		return
	}
	o.s.completed++
	delete(o.s.openRequests, run.attempt.request.id)
	if o.s.cfg.reuse {
		o.reuse(run.attempt)
	}
}

func (o *simRouter) refused(ref fleet.TicketRefusal) {
	if q := o.takeWaiting(ref.Ticket); q != nil {
		o.s.refused[ref.Reason]++
		delete(o.s.openRequests, q.id)
	}
}

// restartRouter replaces a router by one without state. Its callers lose their requests; its
// attempts go on at the targets without being reported.
func (s *sim) restartRouter(i int) {
	old := s.routers[i]
	old.stopped = true
	for _, q := range old.waiting {
		delete(s.openRequests, q.id)
	}
	for _, a := range old.attempts {
		delete(s.openRequests, a.request.id)
	}
	s.routers[i] = newSimRouter(s, i, old.incarnation+1)
	for d := range s.dispatchers {
		s.later(func() { s.post(s.dispatchers[d], RouterDisconnected{Router: old.id}) })
	}
}
