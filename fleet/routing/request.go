package routing

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Events of the decisions that the router records with Decided.
const (
	EventQueued     = "Queued"
	EventSent       = "Sent"
	EventResumed    = "Resumed"
	EventRetried    = "Retried"
	EventNotRetried = "NotRetried"
	EventRefused    = "Refused"
	EventReplayed   = "Replayed"
	EventCallerGone = "CallerGone"
	EventCompleted  = "Completed"
)

// state is the stage of an open request.
type state int

const (
	// stateLedger waits for the ledger's reply.
	stateLedger state = iota + 1
	// stateQueued waits for a grant.
	stateQueued
	// stateSending has a running attempt.
	stateSending
	// stateReleasing waits for the target to confirm that a failed attempt ended.
	stateReleasing
	// stateBackingOff waits before the next ticket.
	stateBackingOff
	// stateRecording has a complete answer; the ledger is recording the end of the call.
	stateRecording
	// stateRefused had its ticket refused by the dispatcher, so that there is no ticket to
	// withdraw.
	stateRefused
)

// countsAsWaiting reports whether a request in this state counts towards the bounds on waiting
// requests.
func (s state) countsAsWaiting() bool {
	return s != 0 && s != stateSending && s != stateRecording
}

// request is a request that has not ended yet.
type request struct {
	RequestAccepted
	accepted time.Time
	// deadline ends the request; queueUntil ends its wait for a grant.
	deadline     time.Time
	queueUntil   time.Time
	queueTimeout time.Duration
	idleTimeout  time.Duration
	// detach is set if an attempt goes on after the caller has disconnected, to get the answer
	// for the ledger.
	detach     bool
	callerGone bool
	state      state
	// wakeAt is when the request's timer is due; zero if it has none.
	wakeAt time.Time

	ticket  fleet.Ticket
	attempt *attempt
	// attempts counts the tickets of the request.
	attempts int
	// ledgerGranted is set once the ledger granted the key to this request, ledgerEndDue while
	// the end of the call must still be recorded.
	ledgerGranted bool
	ledgerEndDue  bool
	ledgerAttempt fleet.AttemptID
	// answerStarted reports whether part of an answer may have reached the caller.
	answerStarted bool
	// mayHaveRun reports whether an earlier attempt may have run.
	mayHaveRun bool
	// brokenTargets lists the targets at which earlier attempts were interrupted.
	brokenTargets []fleet.TargetDeath
	retries       int
	retryReason   fleet.Reason
	retryAfter    time.Duration
	// lastFailure is that of the last attempt at a target, while the request waits for another.
	lastFailure attemptFailure
}

// attemptFailure is the failure of an attempt that is retried; its reason is empty if there is
// none.
type attemptFailure struct {
	reason     fleet.Reason
	detail     string
	retryAfter time.Duration
}

// attempt is one use of a grant: a request sent to a target.
type attempt struct {
	number  int
	request fleet.RequestID
	ticket  fleet.Ticket
	grant   fleet.GrantID
	epoch   fleet.Epoch
	// standing is the standing grant that the attempt uses; empty for a grant of its own.
	standing    fleet.GrantID
	target      fleet.TargetID
	incarnation fleet.Incarnation
	address     netip.AddrPort
	// until is the expiry of the grant.
	until      time.Time
	spent      fleet.Cost
	firstToken time.Duration
	// reported is the progress that was last reported to the dispatcher.
	reported ReportedProgress
	// resumes counts the resumptions since the last new byte; offset is the number of bytes
	// received.
	resumes int
	offset  int64
	// interrupted reports whether the attempt was interrupted and is being resumed.
	interrupted bool
	// noFirstByte reports whether the idle timeout passed before the first byte of the answer.
	noFirstByte bool
	// outcome is reported once the target has confirmed that the attempt ended.
	outcome fleet.Outcome
}

func (a *attempt) running() fleet.RunningAttempt {
	return fleet.RunningAttempt{
		Grant: a.grant, Epoch: a.epoch, Ticket: a.ticket,
		Target: a.target, Incarnation: a.incarnation, Spent: a.spent,
	}
}

// waitingTotals totals the waiting requests, for the bounds on the router's queue.
type waitingTotals struct {
	requests    int
	bytes       fleet.ByteSize
	perCustomer map[fleet.CustomerName]int
}

func (w *waitingTotals) add(q *request) {
	w.requests++
	w.bytes += q.Bytes
	w.perCustomer[q.Customer]++
}

func (w *waitingTotals) remove(q *request) {
	w.requests--
	w.bytes -= q.Bytes
	if w.perCustomer[q.Customer]--; w.perCustomer[q.Customer] == 0 {
		delete(w.perCustomer, q.Customer)
	}
}

// setState changes the state of a request, updates the totals of waiting requests, and sets a
// timer unless wake is zero.
func (r *Router) setState(q *request, s state, wake time.Time) {
	if q.state.countsAsWaiting() {
		r.waiting.remove(q)
	}
	q.state = s
	if s.countsAsWaiting() {
		r.waiting.add(q)
	}
	q.wakeAt = wake
	if !wake.IsZero() {
		r.timers.add(wake, q.Request)
	}
}

// attemptsVerdict returns MayHaveRun if an attempt of this request may have run, and NotRun
// otherwise.
func (q *request) attemptsVerdict() fleet.Verdict {
	if q.mayHaveRun {
		return fleet.MayHaveRun
	}
	return fleet.NotRun
}

// verdict returns the verdict of a request that ends without an answer. Until the ledger grants
// the key, the request may be a resend of a call that has run.
func (q *request) verdict() fleet.Verdict {
	if !q.Idempotent && q.Key != "" && !q.ledgerGranted {
		return fleet.MayHaveRun
	}
	return q.attemptsVerdict()
}

// fail ends a request with a failure.
func (r *Router) fail(now time.Time, q *request, reason fleet.Reason, retryAfter time.Duration, format string, args ...any) {
	f := fleet.Failure{Verdict: q.verdict(), Reason: reason, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
	r.emit(AnswerFailure{Request: q.Request, Failure: f})
	r.recordDecision(now, q, EventRefused, reason, f.Detail)
	if q.ledgerEndDue || q.state == stateLedger {
		// A begin without a reply may have been recorded; recording the end frees the key.
		r.endInLedger(q, q.attemptsVerdict(), nil)
	}
	r.finish(q)
}

// finish removes a request and withdraws its ticket. Its attempt must have ended or been
// released.
func (r *Router) finish(q *request) {
	if q.state == stateQueued {
		r.withdrawTicket(q.ticket.ID)
	}
	if !invariant.Check(r.requests[q.Request] == q, "EndsOnce", "request %s ends twice", q.Request) {
		return
	}
	r.setState(q, 0, time.Time{})
	delete(r.requests, q.Request)
}

func (r *Router) recordDecision(now time.Time, q *request, event string, reason fleet.Reason, detail string) {
	r.emit(Decided{fleet.Decision{
		At: now, Host: r.cfg.Host, Request: q.Request, Customer: q.Customer,
		Event: event, Reason: reason, Detail: detail,
	}})
}
