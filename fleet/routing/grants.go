package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// grantsReceived applies a message of a dispatcher. Messages for another incarnation of the
// router and of older lease epochs are ignored.
func (r *Router) grantsReceived(now time.Time, ev GrantsReceived) {
	m := ev.Message
	p := r.peer(ev.Peer)
	if p == nil || m.Router != r.cfg.Host || m.RouterIncarnation != r.cfg.Incarnation || m.Epoch < r.epoch {
		return
	}
	if m.Epoch > r.epoch {
		r.newEpoch(m.Epoch)
	}
	r.lastReply, r.leaseHolder, r.activePeer = now, m.Dispatcher, p
	p.acked = max(p.acked, min(m.Ack, p.sequence))
	if m.Version > r.config.Version {
		r.emit(VersionSeen{Version: m.Version})
	}
	if m.Resync {
		p.needsFull, p.dirty = true, true
	}
	p.relay.RequestFull(m.AskTargets)
	sent, known := p.sentAt(m.Ack)
	until := sent.Add(fleet.ShortenLease(m.Validity))
	current := known && m.Version >= r.config.Version && now.Before(until)
	for _, g := range m.Grants {
		r.grantReceived(now, m.Epoch, g, until, current)
	}
	r.setStanding(m, until, current)
	r.retained.update(now, &m)
	for _, refusal := range m.Refusals {
		r.ticketRefused(now, refusal)
	}
	for _, id := range m.Cancel {
		r.cancelGrant(now, id)
	}
}

// newEpoch drops the standing grants and makes the next reports full, since a new lease holder
// has no state.
func (r *Router) newEpoch(e fleet.Epoch) {
	r.epoch = e
	r.standing.clear()
	for _, p := range r.peers {
		p.needsFull, p.dirty = true, true
		p.relay.Reset()
	}
}

// queuedRequest returns the request that is queued with a ticket, or nil.
func (r *Router) queuedRequest(id fleet.TicketID) *request {
	q := r.requests[requestOfTicket(id)]
	if q == nil || q.state != stateQueued || q.ticket.ID != id {
		return nil
	}
	return q
}

// requestOfTicket returns the request part of a ticket id, REQUEST.ATTEMPT.
func requestOfTicket(id fleet.TicketID) fleet.RequestID {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '.' {
			return fleet.RequestID(id[:i])
		}
	}
	return ""
}

// grantReceived sends the request of a ticket under its grant. A grant that cannot be used is
// returned.
func (r *Router) grantReceived(now time.Time, epoch fleet.Epoch, g fleet.Grant, until time.Time, current bool) {
	q := r.queuedRequest(g.Ticket)
	if q == nil {
		if !r.grantInUse(g.ID) {
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

// grantInUse reports whether an attempt already uses a grant, so that the message with it is a
// duplicate.
func (r *Router) grantInUse(id fleet.GrantID) bool {
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

// requeue requests another grant in place of one that could not be used.
func (r *Router) requeue(now time.Time, q *request, reason fleet.Reason) {
	r.recordDecision(now, q, EventRetried, reason, "the grant expired before the request was sent")
	r.enqueue(now, q)
}

// send starts an attempt under a grant. It returns false if an invariant does not hold.
func (r *Router) send(now time.Time, q *request, a *attempt) bool {
	if !invariant.Check(q.state == stateQueued && q.attempt == nil, "SentWhileQueued", "request %s is sent while it is not queued", q.Request) {
		return false
	}
	if !invariant.Check(now.Before(a.until), "SentUnderGrant", "request %s is sent under an expired grant", q.Request) {
		return false
	}
	if !invariant.Check(q.Idempotent || q.ledgerEndDue && !q.mayHaveRun, "SentAsRecorded", "request %s is sent without a grant of the ledger", q.Request) {
		return false
	}
	a.number, a.request, a.ticket = q.attempts, q.Request, q.ticket
	q.attempt = a
	r.setState(q, stateSending, q.deadline.Add(attemptEndGrace))
	r.recordDecision(now, q, EventSent, "", string(a.target))
	r.emit(StartSend{
		Request: q.Request, Attempt: a.number, Grant: a.grant, Target: a.target, Address: a.address,
		Until: a.until, Deadline: q.deadline, IdleTimeout: q.idleTimeout, Once: !q.Idempotent, Detach: q.detach,
	})
	return true
}

// ticketRefused ends a request whose ticket the dispatcher refused.
func (r *Router) ticketRefused(now time.Time, ref fleet.TicketRefusal) {
	q := r.queuedRequest(ref.Ticket)
	if q == nil {
		return
	}
	q.state = stateRefused
	r.fail(now, q, ref.Reason, ref.RetryAfter, "%s", ref.Detail)
}

// withdrawAttempt stops an attempt at the dispatcher's request; a call that may be repeated is
// then retried.
func (r *Router) withdrawAttempt(now time.Time, q *request) {
	q.mayHaveRun = true
	r.release(q, fleet.OutcomeCancelled)
	if !q.Idempotent || q.answerStarted {
		r.fail(now, q, fleet.ReasonSuspectWithdrawn, retryAfterTarget, "the dispatcher withdrew the request from its target")
		return
	}
	q.retryReason, q.retryAfter = fleet.ReasonSuspectWithdrawn, 0
	r.setState(q, stateReleasing, q.deadline)
}

// cancelGrant withdraws the attempt that uses a grant.
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
