package model

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// link is a router's connection to one dispatcher.
type link struct {
	router     *router
	dispatcher *dispatcher
	// pendingReport collects changes for the next report.
	pendingReport fleet.RouterReport
	sequence      fleet.Sequence
	// sentAt holds the times at which reports were sent, by sequence.
	sentAt         map[fleet.Sequence]time.Time
	lastSent       time.Time
	flushScheduled bool
	sendFullReport bool
	connected      bool
	// missedChanges is set if changes were not reported while another dispatcher was active.
	missedChanges bool
	epoch         fleet.Epoch
	relay         routing.AnnouncementRelay
	// lastHeard is when the last message of the dispatcher arrived.
	lastHeard time.Time
}

func newLink(router *router, dispatcher *dispatcher) *link {
	return &link{router: router, dispatcher: dispatcher, sendFullReport: true, connected: true, sentAt: map[fleet.Sequence]time.Time{}}
}

func (l *link) start() {
	l.router.sim.queue.After(routing.ReportInterval*time.Duration(l.router.index)/time.Duration(l.router.sim.cfg.Trace.Routers), l.flush)
	l.router.sim.queue.Every(routing.HeartbeatInterval/5, func() {
		l.resyncIfActive()
		if l.router.sim.queue.Now().Sub(l.lastSent) >= routing.HeartbeatInterval {
			l.flush()
		}
	})
}

// passive reports whether another dispatcher is active and answers. This dispatcher then
// gets only announcements and heartbeats.
func (l *link) passive() bool {
	for _, other := range l.router.links {
		if other != l && other.epoch > 0 && other.epoch >= l.epoch && other.connected &&
			l.router.sim.queue.Now().Sub(other.lastHeard) < routing.DispatcherTimeout {
			return true
		}
	}
	return false
}

// addChange adds a change to the next report. A passive dispatcher gets a full report
// instead, once it is no longer passive.
func (l *link) addChange(add func(report *fleet.RouterReport)) {
	if l.passive() {
		l.missedChanges = true
		return
	}
	add(&l.pendingReport)
	l.scheduleFlush()
}

// resyncIfActive sends a full report if the dispatcher missed changes and is no longer
// passive.
func (l *link) resyncIfActive() {
	if l.missedChanges && !l.passive() {
		l.missedChanges, l.sendFullReport = false, true
		l.scheduleFlush()
	}
}

// scheduleFlush schedules a report at the end of the batching interval, unless one is
// scheduled.
func (l *link) scheduleFlush() {
	if l.flushScheduled {
		return
	}
	l.flushScheduled = true
	delay := routing.ReportInterval
	if l.router.sim.cfg.DispatcherPerRouter {
		delay = 0
	}
	l.router.sim.queue.After(delay, l.flush)
}

// flush sends the pending report, or a full one if one is due. Changes for a dispatcher
// without connection are discarded.
func (l *link) flush() {
	l.flushScheduled = false
	if !l.connected {
		l.pendingReport = fleet.RouterReport{}
		return
	}
	now := l.router.sim.queue.Now()
	l.sequence++
	l.sentAt[l.sequence] = now
	l.lastSent = now
	report := l.pendingReport
	l.pendingReport = fleet.RouterReport{}
	if l.sendFullReport {
		report = l.buildFullReport()
	}
	l.sendFullReport = false
	report.Router, report.Incarnation, report.DataCentre = l.router.id, 1, l.router.dc
	report.Sequence, report.Epoch, report.Version = l.sequence, l.epoch, l.router.configVersion
	l.router.sim.queue.After(l.router.sim.routerDispatcherDelay(), func() { l.dispatcher.receiveReport(report) })
}

// buildFullReport returns a report of everything that the router holds.
func (l *link) buildFullReport() fleet.RouterReport {
	report := fleet.RouterReport{Full: true, Targets: slices.Clone(l.router.announcements)}
	for _, req := range l.router.waiting {
		ticket := req.ticket
		ticket.Waited = l.router.sim.queue.Now().Sub(req.arrived)
		report.Tickets = append(report.Tickets, ticket)
	}
	slices.SortFunc(report.Tickets, func(a, b fleet.Ticket) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, a := range l.router.sortedAttempts() {
		report.Running = append(report.Running, a.runningAttempt())
	}
	for _, name := range l.router.sim.cfg.Trace.Fleet.CustomerNames() {
		for _, service := range l.router.sim.cfg.Trace.Fleet.ServiceNames() {
			if counter, ok := l.router.servedCounters[customerService{name, service}]; ok {
				report.Served = append(report.Served, fleet.ServedTotal{Customer: name, Service: service, Counter: counter})
			}
		}
	}
	return report
}

// runningAttempt returns the entry of the attempt in a report.
func (a *attempt) runningAttempt() fleet.RunningAttempt {
	running := fleet.RunningAttempt{
		Grant: a.grant, Epoch: a.epoch, Ticket: a.req.ticket, Target: a.target, Incarnation: a.incarnation,
	}
	if a.job != nil {
		running.Spent = a.job.Spent()
	}
	return running
}

// receiveGrants handles a message of the dispatcher. Messages of an older epoch are ignored.
func (l *link) receiveGrants(message *fleet.DispatcherGrants) {
	if !l.connected || message.Epoch < l.router.newestEpoch() {
		return
	}
	now := l.router.sim.queue.Now()
	l.relay.RequestFull(message.AskTargets)
	if message.Epoch > l.epoch {
		l.relay.Reset()
		l.epoch = message.Epoch
		l.sendFullReport = true
	}
	l.lastHeard = now
	if message.Resync {
		l.sendFullReport = true
		l.scheduleFlush()
	}
	reportSentAt, known := l.sentAt[message.Ack]
	usable := known && now.Before(reportSentAt.Add(fleet.ShortenLease(message.Validity))) && message.Version >= l.router.configVersion
	l.discardSentBefore(message.Ack)
	if message.Version > l.router.configVersion {
		l.router.sim.queue.After(configFetchDelay, func() { l.router.configVersion = l.router.sim.config.Version })
	}
	for _, refusal := range message.Refusals {
		l.router.receiveRefusal(refusal)
	}
	for _, grant := range message.Grants {
		l.useGrant(message.Epoch, grant, usable)
	}
	if message.StandingSet {
		l.router.setStandingGrants(message, reportSentAt)
	}
	for _, served := range message.Served {
		l.router.servedCounters[customerService{served.Customer, served.Service}] = served.Counter
	}
	for _, id := range message.Cancel {
		if a := l.router.running[id]; a != nil {
			l.router.sim.engineByTarget[a.target].Cancel(a.req.id)
		}
	}
}

// useGrant starts the request of a grant. If the grant is not usable, or its request no
// longer waits, it returns the grant and requeues a request that still waits.
func (l *link) useGrant(epoch fleet.Epoch, grant fleet.Grant, usable bool) {
	req := l.router.waiting[grant.Ticket]
	if req == nil || !usable {
		l.router.sim.result.UnusedGrants++
		l.pendingReport.Ended = append(l.pendingReport.Ended, fleet.GrantEnd{Grant: grant.ID, Ticket: grant.Ticket, Outcome: fleet.OutcomeNotSent})
		if req != nil {
			l.router.dequeue(req)
			l.router.sim.queue.After(retryDelay, func() { l.router.enqueue(req) })
		}
		l.scheduleFlush()
		return
	}
	l.router.startAttempt(&attempt{grant: grant.ID, epoch: epoch, req: req, target: grant.Target, incarnation: grant.Incarnation})
}

// discardSentBefore removes the send times of reports before the acknowledged one.
func (l *link) discardSentBefore(ack fleet.Sequence) {
	for sequence := range l.sentAt {
		if sequence < ack {
			delete(l.sentAt, sequence)
		}
	}
}

// newestEpoch returns the highest epoch that any dispatcher has sent.
func (r *router) newestEpoch() fleet.Epoch {
	var newest fleet.Epoch
	for _, l := range r.links {
		newest = max(newest, l.epoch)
	}
	return newest
}
