package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// grantsReceived applies a message of a dispatcher, unless it is out of date.
func (r *Router) grantsReceived(now time.Time, ev GrantsReceived) {
	m := ev.Message
	p := r.peer(ev.Peer)
	if p == nil || m.Router != r.cfg.Host || m.RouterIncarnation != r.cfg.Incarnation || m.Epoch < r.epoch {
		return
	}
	if m.Epoch > r.epoch {
		r.newEpoch(m.Epoch)
	}
	r.contact, r.holder, r.active = now, m.Dispatcher, p
	p.acked = max(p.acked, min(m.Ack, p.sequence))
	if m.Version > r.config.Version {
		r.emit(VersionSeen{Version: m.Version})
	}
	if m.Resync {
		p.full, p.dirty = true, true
	}
	p.relay.RequestFull(m.AskTargets)
	sent, known := p.sentAt(m.Ack)
	until := sent.Add(fleet.ShortenLease(m.Validity))
	current := known && m.Version >= r.config.Version && now.Before(until)
	for _, g := range m.Grants {
		r.grantReceived(now, m.Epoch, g, until, current)
	}
	r.setStanding(m, until, current)
	r.retained.learn(now, &m)
	for _, refused := range m.Refusals {
		r.refused(now, refused)
	}
	for _, id := range m.Cancel {
		r.cancelGrant(now, id)
	}
}

// newEpoch makes every report complete, for the new lease holder knows nothing.
func (r *Router) newEpoch(e fleet.Epoch) {
	r.epoch = e
	r.standing.clear()
	for _, p := range r.peers {
		p.full, p.dirty = true, true
		p.relay.Reset()
	}
}

// ticketOf returns the queued request of a ticket.
func (r *Router) ticketOf(id fleet.TicketID) *request {
	q := r.requests[requestOf(id)]
	if q == nil || q.state != stateQueued || q.ticket.ID != id {
		return nil
	}
	return q
}

// requestOf cuts the attempt off a ticket id.
func requestOf(id fleet.TicketID) fleet.RequestID {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '.' {
			return fleet.RequestID(id[:i])
		}
	}
	return ""
}

func (r *Router) grantReceived(now time.Time, epoch fleet.Epoch, g fleet.Grant, until time.Time, current bool) {
	q := r.ticketOf(g.Ticket)
	if q == nil {
		if !r.holds(g.ID) {
			r.returnGrant(g)
		}
		return
	}
	if !current {
		r.returnGrant(g)
		r.requeue(now, q, fleet.ReasonStaleGrant)
		return
	}
	r.send(now, q, &attempt{
		grant: g.ID, epoch: epoch, target: g.Target, incarnation: g.Incarnation,
		address: g.Address, until: until,
	})
}

// holds says whether a grant is in use, which makes its message a duplicate.
func (r *Router) holds(id fleet.GrantID) bool {
	if r.releasing[id] != nil {
		return true
	}
	for _, q := range r.requests {
		if q.attempt != nil && q.attempt.grant == id {
			return true
		}
	}
	return false
}

// requeue asks for another grant in place of one that could not be used.
func (r *Router) requeue(now time.Time, q *request, reason fleet.Reason) {
	r.decide(now, q, EventRetried, reason, "the grant lapsed before the request was sent")
	r.queue(now, q)
}

// send starts an attempt under a grant, and says whether it did.
func (r *Router) send(now time.Time, q *request, a *attempt) bool {
	if !invariant.Check(q.state == stateQueued && q.attempt == nil, "SentWhileQueued", "request %s is sent while it does not wait", q.Request) {
		return false
	}
	if !invariant.Check(now.Before(a.until), "SentUnderGrant", "request %s is sent under a grant that lapsed", q.Request) {
		return false
	}
	if !invariant.Check(q.Idempotent || q.recorded && !q.mayHaveRun, "SentAsRecorded", "request %s is sent without leave of the ledger", q.Request) {
		return false
	}
	a.number, a.request, a.ticket = q.attempts, q.Request, q.ticket
	q.attempt = a
	r.setState(q, stateSending, q.deadline)
	r.decide(now, q, EventSent, "", string(a.target))
	r.emit(StartSend{
		Request: q.Request, Attempt: a.number, Grant: a.grant, Target: a.target, Address: a.address,
		Until: a.until, Deadline: q.deadline, IdleTimeout: q.idle, Once: !q.Idempotent, Detach: q.detach,
	})
	return true
}

// refused ends a request that the dispatcher will not serve.
func (r *Router) refused(now time.Time, ref fleet.TicketRefusal) {
	q := r.ticketOf(ref.Ticket)
	if q == nil {
		return
	}
	q.state = stateRefused
	r.fail(now, q, ref.Reason, ref.RetryAfter, "%s", ref.Detail)
}

// withdrawAttempt stops an attempt; a call that may be repeated gets another one.
func (r *Router) withdrawAttempt(now time.Time, q *request) {
	q.mayHaveRun = true
	r.release(q, fleet.OutcomeCancelled)
	if !q.Idempotent || q.answered {
		r.fail(now, q, fleet.ReasonSuspectWithdrawn, retryAfterTarget, "the dispatcher withdrew the request from its target")
		return
	}
	q.retryCause, q.retryAfter = fleet.ReasonSuspectWithdrawn, 0
	r.setState(q, stateReleasing, q.deadline)
}

// cancelGrant ends an attempt that the dispatcher wants stopped.
func (r *Router) cancelGrant(now time.Time, id fleet.GrantID) {
	for _, rid := range r.requestIDs() {
		q := r.requests[rid]
		if q.attempt == nil || q.attempt.grant != id {
			continue
		}
		r.withdrawAttempt(now, q)
		return
	}
}
