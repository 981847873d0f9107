package routing

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Retry-After of refusals, by what the caller has to wait for.
const (
	retryAfterQueue   = 2 * time.Second
	retryAfterConfig  = 2 * time.Second
	retryAfterControl = 2 * time.Second
	retryAfterRunning = time.Second
	retryAfterTarget  = time.Second
)

// accept admits or refuses a new request.
func (r *Router) accept(now time.Time, ev RequestAccepted) {
	if !invariant.Check(r.requests[ev.Request] == nil, "AcceptedOnce", "request %s was accepted twice", ev.Request) {
		return
	}
	q := &request{RequestAccepted: ev, accepted: now}
	r.requests[ev.Request] = q
	if reason, after, detail := r.admissionRefusal(now, q); reason != "" {
		r.fail(now, q, reason, after, "%s", detail)
		return
	}
	r.setDeadlines(now, q)
	if !ev.Idempotent {
		r.beginInLedger(now, q)
		return
	}
	r.enqueue(now, q)
}

// admissionRefusal returns why a request is not admitted; the reason is empty if it is.
func (r *Router) admissionRefusal(now time.Time, q *request) (reason fleet.Reason, after time.Duration, detail string) {
	if r.drained || r.stopping && !now.Before(r.drainNotBefore) {
		return fleet.ReasonStopping, retryAfterQueue, "the host is stopping; ask for other hosts"
	}
	if !r.confirmed(now) {
		return fleet.ReasonConfigUnconfirmed, retryAfterConfig, "control has not confirmed the configuration in time; use another host"
	}
	if _, ok := r.config.Fleet.Services[q.Service]; !ok {
		return fleet.ReasonUnknownService, 0, fmt.Sprintf("service %q does not exist", q.Service)
	}
	if !q.Idempotent && q.Key == "" {
		return fleet.ReasonKeyRequired, 0, "the call may not be repeated; give it an Idempotency-Key"
	}
	if !q.Deadline.IsZero() && !now.Before(q.Deadline) {
		return fleet.ReasonDeadline, 0, "the deadline passed before the request was read"
	}
	if left := r.retained.quarantinedFor(now, q.Content); left > 0 {
		return fleet.ReasonQuarantined, left, "the request crashed targets before and is barred for a time"
	}
	if r.DispatcherUnreachable(now) && !r.standing.usable(now, q.Service, r) {
		return fleet.ReasonNoDispatcher, retryAfterQueue, "no dispatcher answers; use another host"
	}
	return r.backlogRefusal(q)
}

func (r *Router) backlogRefusal(q *request) (reason fleet.Reason, after time.Duration, detail string) {
	p := r.config.Fleet.Policy
	if n := r.waiting.perCustomer[q.Customer]; n >= p.QueuePerCustomer {
		return fleet.ReasonCustomerQueueFull, retryAfterQueue, fmt.Sprintf("%d requests of customer %s wait here already", n, q.Customer)
	}
	if r.waiting.requests >= p.QueuePerRouter || r.waiting.bytes+q.Bytes > p.QueueBytesPerRouter {
		return fleet.ReasonHostQueueFull, retryAfterQueue, fmt.Sprintf("%d requests of %d bytes wait here already", r.waiting.requests, r.waiting.bytes)
	}
	return "", 0, ""
}

func (r *Router) setDeadlines(now time.Time, q *request) {
	s := r.config.Fleet.Services[q.Service]
	q.deadline = now.Add(s.RequestTimeout)
	if !q.Deadline.IsZero() && q.Deadline.Before(q.deadline) {
		q.deadline = q.Deadline
	}
	q.queueTimeout = s.QueueTimeout
	q.queueUntil = now.Add(q.queueTimeout)
	q.idleTimeout = s.IdleTimeout
	q.detach = !q.Idempotent && s.Protocol == fleet.ProtocolPlain
}

// enqueue gives a request a new ticket and reports it to the dispatcher, or ends the request if
// its queue timeout has passed.
func (r *Router) enqueue(now time.Time, q *request) {
	q.attempts++
	q.ticket = fleet.Ticket{
		ID:         fleet.TicketID(fmt.Sprintf("%s.%d", q.Request, q.attempts)),
		Request:    q.Request,
		Customer:   q.Customer,
		Service:    q.Service,
		DataCentre: r.cfg.DataCentre,
		Hint:       q.Hint,
		Prefix:     q.Prefix,
		Content:    q.Content,
		Attempt:    q.attempts,
		Broken:     q.brokenTargets,
		Waited:     now.Sub(q.accepted),
		Patience:   earlier(q.queueUntil, q.deadline).Sub(now),
	}
	if q.ticket.Patience <= 0 {
		r.fail(now, q, fleet.ReasonQueueTimeout, retryAfterQueue, "no target was free in time")
		return
	}
	r.setState(q, stateQueued, earlier(q.queueUntil, q.deadline))
	r.queued = append(r.queued, q.Request)
	r.reportTicket(q.ticket)
	r.recordDecision(now, q, EventQueued, "", "")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// callerGone ends a request whose caller disconnected, unless the ledger still needs its
// outcome.
func (r *Router) callerGone(now time.Time, id fleet.RequestID) {
	q := r.requests[id]
	if q == nil || q.callerGone {
		return
	}
	r.recordDecision(now, q, EventCallerGone, fleet.ReasonCallerGone, "")
	q.callerGone = true
	if q.state == stateLedger || q.state == stateRecording || q.attempt != nil && q.detach {
		return
	}
	r.abandon(q)
}

// abandon ends a request whose caller has disconnected, and releases its attempt.
func (r *Router) abandon(q *request) {
	if q.attempt != nil {
		q.mayHaveRun = true
		r.release(q, fleet.OutcomeCancelled)
	}
	if q.ledgerEndDue {
		r.endInLedger(q, q.attemptsVerdict(), nil)
	}
	r.emit(AnswerDone{Request: q.Request})
	r.finish(q)
}
