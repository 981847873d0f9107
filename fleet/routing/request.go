package routing

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Events of decisions.
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

// state is where a request stands.
type state int

const (
	// stateLedger waits for the ledger.
	stateLedger state = iota + 1
	// stateQueued waits for a grant.
	stateQueued
	// stateSending has an attempt in hand.
	stateSending
	// stateReleasing waits for the target to confirm that a failed attempt ended.
	stateReleasing
	// stateBackingOff waits before the next ticket.
	stateBackingOff
	// stateRecording has an answer whose end is being recorded in the ledger.
	stateRecording
	// stateRefused has had its ticket refused by the dispatcher.
	stateRefused
)

// waits says whether a request in the state counts as waiting.
func (s state) waits() bool {
	return s != 0 && s != stateSending && s != stateRecording
}

// request is a request that has not ended yet.
type request struct {
	RequestAccepted
	accepted time.Time
	// deadline ends the request, queueUntil its wait for a grant.
	deadline   time.Time
	queueUntil time.Time
	patience   time.Duration
	idle       time.Duration
	// detach says that an attempt goes on for the ledger when the caller leaves.
	detach bool
	gone   bool
	state  state
	// wake is when the request has to be looked at next.
	wake time.Time

	ticket   fleet.Ticket
	attempt  *attempt
	attempts int
	// granted says that the ledger gave the key to this request, recorded that its end is
	// not on record yet.
	granted  bool
	recorded bool
	ledger   fleet.AttemptID
	// answered says that a part of an answer may have reached the caller.
	answered bool
	// mayHaveRun says that an earlier attempt may have run.
	mayHaveRun bool
	// broken lists the targets at which earlier attempts broke.
	broken     []fleet.TargetDeath
	retries    int
	retryCause fleet.Reason
	retryAfter time.Duration
}

// attempt is the use of one grant.
type attempt struct {
	number      int
	request     fleet.RequestID
	ticket      fleet.Ticket
	grant       fleet.GrantID
	epoch       fleet.Epoch
	standing    fleet.GrantID
	target      fleet.TargetID
	incarnation fleet.Incarnation
	address     netip.AddrPort
	until       time.Time
	spent       fleet.Cost
	firstToken  time.Duration
	told        ReportedProgress
	resumes     int
	offset      int64
	// interrupted says that the attempt broke off and is being resumed.
	interrupted bool
	// silentStart says that the target was silent before its first byte.
	silentStart bool
	// outcome is reported once the target confirmed that the attempt ended.
	outcome fleet.Outcome
}

func (a *attempt) running() fleet.RunningAttempt {
	return fleet.RunningAttempt{
		Grant: a.grant, Epoch: a.epoch, Ticket: a.ticket,
		Target: a.target, Incarnation: a.incarnation, Spent: a.spent,
	}
}

// waitingCount bounds what waits at the router.
type waitingCount struct {
	requests    int
	bytes       fleet.ByteSize
	perCustomer map[fleet.CustomerName]int
}

func (w *waitingCount) add(q *request) {
	w.requests++
	w.bytes += q.Bytes
	w.perCustomer[q.Customer]++
}

func (w *waitingCount) remove(q *request) {
	w.requests--
	w.bytes -= q.Bytes
	if w.perCustomer[q.Customer]--; w.perCustomer[q.Customer] == 0 {
		delete(w.perCustomer, q.Customer)
	}
}

// setState moves a request and keeps the counts of what waits.
func (r *Router) setState(q *request, s state, wake time.Time) {
	if q.state.waits() {
		r.waiting.remove(q)
	}
	q.state = s
	if s.waits() {
		r.waiting.add(q)
	}
	q.wake = wake
	if !wake.IsZero() {
		r.timers.add(wake, q.Request)
	}
}

// sendVerdict says whether what this request sent may have run.
func (q *request) sendVerdict() fleet.Verdict {
	if q.mayHaveRun {
		return fleet.MayHaveRun
	}
	return fleet.NotRun
}

// verdict returns the verdict of a request that ends without an answer. Until the ledger
// gives its key to this request, it may be the resend of a call that ran.
func (q *request) verdict() fleet.Verdict {
	if !q.Idempotent && q.Key != "" && !q.granted {
		return fleet.MayHaveRun
	}
	return q.sendVerdict()
}

// fail ends a request without an answer.
func (r *Router) fail(now time.Time, q *request, reason fleet.Reason, retryAfter time.Duration, format string, args ...any) {
	f := fleet.Failure{Verdict: q.verdict(), Reason: reason, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
	r.emit(AnswerFailure{Request: q.Request, Failure: f})
	r.decide(now, q, EventRefused, reason, f.Detail)
	if q.recorded || q.state == stateLedger {
		// A begin without a reply may be recorded all the same; its end frees the key.
		r.ledgerEnd(q, q.sendVerdict(), nil)
	}
	r.finish(q)
}

// finish forgets a request. Its ticket or attempt must have been dealt with.
func (r *Router) finish(q *request) {
	if q.state == stateQueued {
		r.withdraw(q.ticket.ID)
	}
	if !invariant.Check(r.requests[q.Request] == q, "EndsOnce", "request %s ends twice", q.Request) {
		return
	}
	r.setState(q, 0, time.Time{})
	delete(r.requests, q.Request)
}

func (r *Router) decide(now time.Time, q *request, event string, reason fleet.Reason, detail string) {
	r.emit(Decided{fleet.Decision{
		At: now, Host: r.cfg.Host, Request: q.Request, Customer: q.Customer,
		Event: event, Reason: reason, Detail: detail,
	}})
}
