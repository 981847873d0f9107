package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// sentTimesKept is how many send times of reports a router keeps for each dispatcher.
const sentTimesKept = 4096

// peer is a dispatcher that the router reports to.
type peer struct {
	name      Peer
	connected bool
	// needsFull is set if the next report must be a full one.
	needsFull bool
	// dirty reports whether there is something to report before the next heartbeat.
	dirty bool
	// missedChanges reports whether changes were left out while another dispatcher was active.
	missedChanges bool
	// reportTokens is how many reports may be sent at once; one is added each ReportInterval.
	reportTokens int
	refilledAt   time.Time
	sequence     fleet.Sequence
	lastSent     time.Time
	// acked is the newest report that the dispatcher answered.
	acked fleet.Sequence
	// sentTimes holds the send times of the newest reports, by sequence modulo sentTimesKept.
	sentTimes []time.Time
	// pending collects the changes for the next report.
	pending fleet.RouterReport
	relay   AnnouncementRelay
}

func newPeer(name Peer) *peer { return &peer{name: name} }

// sentAt returns when a report was sent; false if it was not sent or its time is no longer
// kept.
func (p *peer) sentAt(seq fleet.Sequence) (time.Time, bool) {
	if seq == 0 || seq > p.sequence || p.sequence-seq >= fleet.Sequence(len(p.sentTimes)) {
		return time.Time{}, false
	}
	return p.sentTimes[seq%sentTimesKept], true
}

func (p *peer) recordSent(now time.Time) {
	p.sequence++
	if p.sentTimes == nil {
		p.sentTimes = make([]time.Time, sentTimesKept)
	}
	p.sentTimes[p.sequence%sentTimesKept] = now
	p.lastSent = now
}

func (r *Router) peer(name Peer) *peer {
	for _, p := range r.peers {
		if p.name == name {
			return p
		}
	}
	invariant.Check(false, "KnownDispatcher", "dispatcher %s is not configured", name)
	return nil
}

func (r *Router) dispatcherUp(name Peer) {
	if p := r.peer(name); p != nil {
		p.connected, p.needsFull, p.dirty = true, true, true
		p.relay.Reset()
	}
}

func (r *Router) dispatcherDown(name Peer) {
	if p := r.peer(name); p != nil {
		p.connected = false
		p.pending = fleet.RouterReport{}
	}
}

func (r *Router) reportLost(name Peer) {
	if p := r.peer(name); p != nil {
		p.needsFull, p.dirty = true, true
	}
}

// passive reports whether a dispatcher needs no details, because another one is active and
// answers. A passive dispatcher gets only the targets' announcements with its heartbeats, and
// a full report as soon as the active dispatcher stops answering or another one takes over.
func (r *Router) passive(p *peer) bool {
	return r.activePeer != nil && p != r.activePeer && r.unansweredFor(r.now) < DispatcherTimeout
}

// addToReports adds a change to the next report to each dispatcher that is not passive.
func (r *Router) addToReports(change func(rep *fleet.RouterReport)) {
	for _, p := range r.peers {
		switch {
		case !p.connected:
		case r.passive(p):
			p.missedChanges = true
		default:
			change(&p.pending)
			p.dirty = true
		}
	}
}

// requestFullReports makes the next report full for dispatchers that missed changes and are no
// longer passive.
func (r *Router) requestFullReports() {
	for _, p := range r.peers {
		if p.missedChanges && !r.passive(p) {
			p.missedChanges, p.needsFull, p.dirty = false, true, true
		}
	}
}

func (r *Router) reportTicket(t fleet.Ticket) {
	r.addToReports(func(rep *fleet.RouterReport) { rep.Tickets = append(rep.Tickets, t) })
}

// withdrawTicket takes a ticket out of the pending reports, or reports its withdrawal if it was
// sent.
func (r *Router) withdrawTicket(id fleet.TicketID) {
	r.addToReports(func(rep *fleet.RouterReport) {
		i := slices.IndexFunc(rep.Tickets, func(t fleet.Ticket) bool { return t.ID == id })
		if i >= 0 {
			rep.Tickets = slices.Delete(rep.Tickets, i, i+1)
			return
		}
		rep.Withdrawn = append(rep.Withdrawn, id)
	})
}

func (r *Router) reportEnd(a *attempt, outcome fleet.Outcome) {
	end := fleet.GrantEnd{Grant: a.grant, Ticket: a.ticket.ID, Outcome: outcome, Spent: a.spent, FirstToken: a.firstToken}
	r.addToReports(func(rep *fleet.RouterReport) { rep.Ended = append(rep.Ended, end) })
}

// returnGrant reports a grant as not used.
func (r *Router) returnGrant(g fleet.Grant) {
	end := fleet.GrantEnd{Grant: g.ID, Ticket: g.Ticket, Outcome: fleet.OutcomeNotSent}
	r.addToReports(func(rep *fleet.RouterReport) { rep.Ended = append(rep.Ended, end) })
}

func (r *Router) attemptProgressed(ev AttemptProgressed) {
	q := r.requests[ev.Request]
	if q == nil || q.attempt == nil || q.attempt.number != ev.Attempt {
		return
	}
	a := q.attempt
	a.spent = max(a.spent, ev.Spent)
	a.firstToken = ev.FirstToken
	if !a.reported.MarkIfDue(a.spent, a.firstToken) {
		return
	}
	p := fleet.Progress{Grant: a.grant, Spent: a.spent, FirstToken: a.firstToken}
	r.addToReports(func(rep *fleet.RouterReport) { rep.Progress = append(rep.Progress, p) })
}

// knownTarget is the newest announcement of a target and when it arrived.
type knownTarget struct {
	fleet.Announcement
	receivedAt time.Time
}

// targetAnnounced keeps the newest announcement of a target and passes it on to the
// dispatchers.
func (r *Router) targetAnnounced(now time.Time, a fleet.Announcement) {
	old, known := r.targets[a.Target]
	if known && (old.Incarnation > a.Incarnation || old.Incarnation == a.Incarnation && old.Sequence >= a.Sequence) {
		return
	}
	r.targets[a.Target] = knownTarget{Announcement: a, receivedAt: now}
	for _, p := range r.peers {
		if p.connected {
			p.relay.AddToReport(now, &a, len(r.targets), &p.pending)
			p.dirty = p.dirty || !r.passive(p)
		}
	}
}

// flush sends the reports that are due.
func (r *Router) flush(now time.Time) {
	r.requestFullReports()
	for _, p := range r.peers {
		if !p.connected {
			continue
		}
		if p.dirty && p.hasReportToken(now) || now.Sub(p.lastSent) >= p.heartbeatInterval() {
			r.sendReport(now, p)
		} else if p.dirty && !r.tickRequested {
			r.tickRequested = true
			r.emit(WakeAfter{Delay: ReportInterval})
		}
	}
}

// heartbeatInterval returns the longest time between two reports. It is shorter while a report
// is unanswered, since a dispatcher does not answer each of several reports in close
// succession.
func (p *peer) heartbeatInterval() time.Duration {
	if p.acked > 0 && p.acked < p.sequence {
		return unansweredHeartbeatInterval
	}
	return HeartbeatInterval
}

// hasReportToken adds the tokens that are due, and reports whether a report may be sent now.
func (p *peer) hasReportToken(now time.Time) bool {
	if n := int(now.Sub(p.refilledAt) / ReportInterval); n > 0 {
		p.reportTokens = min(p.reportTokens+n, maxReportBurst)
		p.refilledAt = now
	}
	return p.reportTokens > 0
}

func (r *Router) sendReport(now time.Time, p *peer) {
	rep := p.pending
	if p.needsFull {
		rep = r.fullReport(now)
		rep.Ended = p.pending.Ended
	}
	p.recordSent(now)
	p.reportTokens = max(0, p.reportTokens-1)
	rep.Router, rep.Incarnation, rep.DataCentre = r.cfg.Host, r.cfg.Incarnation, r.cfg.DataCentre
	rep.Sequence, rep.Epoch, rep.Version = p.sequence, r.epoch, r.config.Version
	rep.Full, rep.Stopping = p.needsFull, r.stopping
	p.pending, p.dirty, p.needsFull = fleet.RouterReport{}, false, false
	r.emit(SendReport{To: p.name, Report: rep})
}

// fullReport returns a report of all the state that a dispatcher needs: tickets, running
// attempts, targets and retained state. It also removes what has expired.
func (r *Router) fullReport(now time.Time) fleet.RouterReport {
	var rep fleet.RouterReport
	for _, id := range r.requestIDs() {
		q := r.requests[id]
		if q.state == stateQueued {
			rep.Tickets = append(rep.Tickets, q.ticket)
		}
		if q.attempt != nil {
			rep.Running = append(rep.Running, q.attempt.running())
		}
	}
	for _, a := range r.releasing {
		rep.Running = append(rep.Running, a.running())
	}
	sort.Slice(rep.Running, func(i, j int) bool { return rep.Running[i].Grant < rep.Running[j].Grant })
	for _, t := range r.targets {
		if now.Sub(t.receivedAt) <= 2*fleet.AnnounceInterval {
			rep.Targets = append(rep.Targets, t.Announcement)
		}
	}
	r.expireTargets(now)
	sort.Slice(rep.Targets, func(i, j int) bool { return rep.Targets[i].Target < rep.Targets[j].Target })
	r.retained.removeExpired(now)
	r.retained.report(now, &rep)
	return rep
}

// targetRetention is how long a target is kept after its last announcement.
const targetRetention = time.Minute

func (r *Router) expireTargets(now time.Time) {
	for id, t := range r.targets {
		if now.Sub(t.receivedAt) > targetRetention {
			delete(r.targets, id)
			for _, p := range r.peers {
				p.relay.Forget(id)
			}
		}
	}
}

func (r *Router) requestIDs() []fleet.RequestID {
	ids := make([]fleet.RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
