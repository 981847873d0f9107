package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// sentKept is how many reports' send times a router remembers for each dispatcher.
const sentKept = 4096

// peer is one dispatcher that the router reports to.
type peer struct {
	name      Peer
	connected bool
	// full says that the next report has to be complete.
	full  bool
	dirty bool
	// behind says that changes were left out while another dispatcher was active.
	behind bool
	// credit is how many reports may be sent at once; one is earned each BatchInterval.
	credit   int
	credited time.Time
	sequence fleet.Sequence
	lastSent time.Time
	// acked is the newest report that the dispatcher answered.
	acked fleet.Sequence
	// sent holds the times of the newest reports, by sequence modulo sentKept.
	sent    []time.Time
	pending fleet.RouterReport
	relay   AnnouncementRelay
}

func newPeer(name Peer) *peer { return &peer{name: name} }

// sentAt returns when a report was sent, if that is still known.
func (p *peer) sentAt(seq fleet.Sequence) (time.Time, bool) {
	if seq == 0 || seq > p.sequence || p.sequence-seq >= fleet.Sequence(len(p.sent)) {
		return time.Time{}, false
	}
	return p.sent[seq%sentKept], true
}

func (p *peer) recordSent(now time.Time) {
	p.sequence++
	if p.sent == nil {
		p.sent = make([]time.Time, sentKept)
	}
	p.sent[p.sequence%sentKept] = now
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
		p.connected, p.full, p.dirty = true, true, true
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
		p.full, p.dirty = true, true
	}
}

// passive says whether a dispatcher needs no details, because another one is active
// and answers. It gets the targets' announcements with its heartbeats, and a full
// report as soon as the active one is silent or another one takes over.
func (r *Router) passive(p *peer) bool {
	return r.active != nil && p != r.active && r.silence(r.now) < DispatcherTimeout
}

// report adds a change to the next report of the dispatchers.
func (r *Router) report(change func(rep *fleet.RouterReport)) {
	for _, p := range r.peers {
		switch {
		case !p.connected:
		case r.passive(p):
			p.behind = true
		default:
			change(&p.pending)
			p.dirty = true
		}
	}
}

// catchUp makes the reports of dispatchers complete that were passive until now.
func (r *Router) catchUp() {
	for _, p := range r.peers {
		if p.behind && !r.passive(p) {
			p.behind, p.full, p.dirty = false, true, true
		}
	}
}

func (r *Router) reportTicket(t fleet.Ticket) {
	r.report(func(rep *fleet.RouterReport) { rep.Tickets = append(rep.Tickets, t) })
}

// withdraw takes a ticket back, from the pending reports too.
func (r *Router) withdraw(id fleet.TicketID) {
	r.report(func(rep *fleet.RouterReport) {
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
	r.report(func(rep *fleet.RouterReport) { rep.Ended = append(rep.Ended, end) })
}

// returnGrant gives back a grant that is not used.
func (r *Router) returnGrant(g fleet.Grant) {
	end := fleet.GrantEnd{Grant: g.ID, Ticket: g.Ticket, Outcome: fleet.OutcomeNotSent}
	r.report(func(rep *fleet.RouterReport) { rep.Ended = append(rep.Ended, end) })
}

func (r *Router) attemptProgressed(ev AttemptProgressed) {
	q := r.requests[ev.Request]
	if q == nil || q.attempt == nil || q.attempt.number != ev.Attempt {
		return
	}
	a := q.attempt
	a.spent = max(a.spent, ev.Spent)
	a.firstToken = ev.FirstToken
	if !a.told.MarkIfDue(a.spent, a.firstToken) {
		return
	}
	p := fleet.Progress{Grant: a.grant, Spent: a.spent, FirstToken: a.firstToken}
	r.report(func(rep *fleet.RouterReport) { rep.Progress = append(rep.Progress, p) })
}

// knownTarget is the newest announcement of a target and when it arrived.
type knownTarget struct {
	fleet.Announcement
	heard time.Time
}

func (r *Router) targetAnnounced(now time.Time, a fleet.Announcement) {
	old, known := r.targets[a.Target]
	if known && (old.Incarnation > a.Incarnation || old.Incarnation == a.Incarnation && old.Sequence >= a.Sequence) {
		return
	}
	r.targets[a.Target] = knownTarget{Announcement: a, heard: now}
	for _, p := range r.peers {
		if p.connected {
			p.relay.AddToReport(now, &a, len(r.targets), &p.pending)
			p.dirty = p.dirty || !r.passive(p)
		}
	}
}

// flush sends the reports that are due.
func (r *Router) flush(now time.Time) {
	r.catchUp()
	for _, p := range r.peers {
		if !p.connected {
			continue
		}
		if p.dirty && p.earnCredit(now) || now.Sub(p.lastSent) >= p.heartbeat() {
			r.sendReport(now, p)
		} else if p.dirty && !r.waking {
			r.waking = true
			r.emit(WakeAfter{Delay: ReportInterval})
		}
	}
}

// heartbeat returns the most time between two reports. It is shorter while a report is
// not answered, since dispatchers do not answer each of several that follow closely.
func (p *peer) heartbeat() time.Duration {
	if p.acked > 0 && p.acked < p.sequence {
		return unansweredHeartbeat
	}
	return HeartbeatInterval
}

// earnCredit says whether a report may be sent now.
func (p *peer) earnCredit(now time.Time) bool {
	if n := int(now.Sub(p.credited) / ReportInterval); n > 0 {
		p.credit = min(p.credit+n, reportCredit)
		p.credited = now
	}
	return p.credit > 0
}

func (r *Router) sendReport(now time.Time, p *peer) {
	rep := p.pending
	if p.full {
		rep = r.fullReport(now)
		rep.Ended = p.pending.Ended
	}
	p.recordSent(now)
	p.credit = max(0, p.credit-1)
	rep.Router, rep.Incarnation, rep.DataCentre = r.cfg.Host, r.cfg.Incarnation, r.cfg.DataCentre
	rep.Sequence, rep.Epoch, rep.Version = p.sequence, r.epoch, r.config.Version
	rep.Full, rep.Stopping = p.full, r.stopping
	p.pending, p.dirty, p.full = fleet.RouterReport{}, false, false
	r.emit(SendReport{To: p.name, Report: rep})
}

// fullReport lists everything that a dispatcher has to know.
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
		if now.Sub(t.heard) <= 2*fleet.AnnounceInterval {
			rep.Targets = append(rep.Targets, t.Announcement)
		}
	}
	r.forgetTargets(now)
	sort.Slice(rep.Targets, func(i, j int) bool { return rep.Targets[i].Target < rep.Targets[j].Target })
	r.retained.forget(now)
	r.retained.report(now, &rep)
	return rep
}

// targetForgottenAfter is how long a silent target is remembered.
const targetForgottenAfter = time.Minute

func (r *Router) forgetTargets(now time.Time) {
	for id, t := range r.targets {
		if now.Sub(t.heard) > targetForgottenAfter {
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
