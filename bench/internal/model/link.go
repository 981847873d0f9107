package model

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// link is a router's connection to one dispatcher.
type link struct {
	r         *router
	d         *dispatcher
	pending   fleet.RouterReport
	sequence  fleet.Sequence
	sent      map[fleet.Sequence]time.Time
	lastSent  time.Time
	planned   bool
	full      bool
	connected bool
	// behind says that changes were left out while another dispatcher was active.
	behind bool
	epoch  fleet.Epoch
	relay  routing.AnnouncementRelay
	// heard is when the dispatcher last sent something.
	heard time.Time
}

func newLink(r *router, d *dispatcher) *link {
	return &link{r: r, d: d, full: true, connected: true, sent: map[fleet.Sequence]time.Time{}}
}

func (l *link) run() {
	l.r.f.queue.After(routing.ReportInterval*time.Duration(l.r.index)/time.Duration(l.r.f.cfg.Trace.Routers), l.flush)
	l.r.f.queue.Every(routing.HeartbeatInterval/5, func() {
		l.catchUp()
		if l.r.f.queue.Now().Sub(l.lastSent) >= routing.HeartbeatInterval {
			l.flush()
		}
	})
}

// passive says whether the dispatcher gets heartbeats with announcements only, because
// another one is active and answers.
func (l *link) passive() bool {
	for _, other := range l.r.links {
		if other != l && other.epoch > 0 && other.epoch >= l.epoch && other.connected &&
			l.r.f.queue.Now().Sub(other.heard) < routing.DispatcherTimeout {
			return true
		}
	}
	return false
}

// change adds to the next report; a passive dispatcher gets a full one later instead.
func (l *link) change(add func(report *fleet.RouterReport)) {
	if l.passive() {
		l.behind = true
		return
	}
	add(&l.pending)
	l.soon()
}

// catchUp makes the next report complete when the dispatcher was passive until now.
func (l *link) catchUp() {
	if l.behind && !l.passive() {
		l.behind, l.full = false, true
		l.soon()
	}
}

// soon plans a report within the batching interval.
func (l *link) soon() {
	if l.planned {
		return
	}
	l.planned = true
	wait := routing.ReportInterval
	if l.r.f.cfg.PerRouter {
		wait = 0
	}
	l.r.f.queue.After(wait, l.flush)
}

func (l *link) flush() {
	l.planned = false
	if !l.connected {
		l.pending = fleet.RouterReport{}
		return
	}
	now := l.r.f.queue.Now()
	l.sequence++
	l.sent[l.sequence] = now
	l.lastSent = now
	report := l.pending
	l.pending = fleet.RouterReport{}
	if l.full {
		report = l.fullReport()
	}
	l.full = false
	report.Router, report.Incarnation, report.DataCentre = l.r.id, 1, l.r.dc
	report.Sequence, report.Epoch, report.Version = l.sequence, l.epoch, l.r.version
	l.r.f.queue.After(l.r.f.delay(), func() { l.d.report(report) })
}

// fullReport lists all that the router has.
func (l *link) fullReport() fleet.RouterReport {
	report := fleet.RouterReport{Full: true, Targets: slices.Clone(l.r.announced)}
	for _, req := range l.r.waiting {
		t := req.ticket
		t.Waited = l.r.f.queue.Now().Sub(req.arrived)
		report.Tickets = append(report.Tickets, t)
	}
	slices.SortFunc(report.Tickets, func(a, b fleet.Ticket) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, a := range l.r.attempts() {
		report.Running = append(report.Running, a.describe())
	}
	for _, name := range l.r.f.cfg.Trace.Fleet.CustomerNames() {
		for _, service := range l.r.f.cfg.Trace.Fleet.ServiceNames() {
			if c, ok := l.r.counters[customerService{name, service}]; ok {
				report.Served = append(report.Served, fleet.ServedTotal{Customer: name, Service: service, Counter: c})
			}
		}
	}
	return report
}

func (a *attempt) describe() fleet.RunningAttempt {
	run := fleet.RunningAttempt{
		Grant: a.grant, Epoch: a.epoch, Ticket: a.req.ticket, Target: a.target, Incarnation: a.incarnation,
	}
	if a.job != nil {
		run.Spent = a.job.Spent()
	}
	return run
}

// grants takes a message of the dispatcher.
func (l *link) grants(m *fleet.DispatcherGrants) {
	if !l.connected || m.Epoch < l.r.newestEpoch() {
		return
	}
	now := l.r.f.queue.Now()
	l.relay.RequestFull(m.AskTargets)
	if m.Epoch > l.epoch {
		l.relay.Reset()
		l.epoch = m.Epoch
		l.full = true
	}
	l.heard = now
	if m.Resync {
		l.full = true
		l.soon()
	}
	sentAt, known := l.sent[m.Ack]
	usable := known && now.Before(sentAt.Add(fleet.ShortenLease(m.Validity))) && m.Version >= l.r.version
	l.forget(m.Ack)
	if m.Version > l.r.version {
		l.r.f.queue.After(fetchDelay, func() { l.r.version = l.r.f.config.Version })
	}
	for _, refusal := range m.Refusals {
		l.r.refused(refusal)
	}
	for _, g := range m.Grants {
		l.use(m.Epoch, g, usable)
	}
	if m.StandingSet {
		l.r.setStanding(m, sentAt)
	}
	for _, s := range m.Served {
		l.r.counters[customerService{s.Customer, s.Service}] = s.Counter
	}
	for _, id := range m.Cancel {
		if a := l.r.running[id]; a != nil {
			l.r.f.byTarget[a.target].Cancel(a.req.id)
		}
	}
}

// use starts the request of a grant, or gives the grant back.
func (l *link) use(epoch fleet.Epoch, g fleet.Grant, usable bool) {
	req := l.r.waiting[g.Ticket]
	if req == nil || !usable {
		l.r.f.result.Unused++
		l.pending.Ended = append(l.pending.Ended, fleet.GrantEnd{Grant: g.ID, Ticket: g.Ticket, Outcome: fleet.OutcomeNotSent})
		if req != nil {
			l.r.dequeue(req)
			l.r.f.queue.After(retryPause, func() { l.r.enqueue(req) })
		}
		l.soon()
		return
	}
	l.r.start(&attempt{grant: g.ID, epoch: epoch, req: req, target: g.Target, incarnation: g.Incarnation})
}

// forget drops the send times of reports older than the acknowledged one.
func (l *link) forget(ack fleet.Sequence) {
	for s := range l.sent {
		if s < ack {
			delete(l.sent, s)
		}
	}
}

func (r *router) newestEpoch() fleet.Epoch {
	var newest fleet.Epoch
	for _, l := range r.links {
		newest = max(newest, l.epoch)
	}
	return newest
}
