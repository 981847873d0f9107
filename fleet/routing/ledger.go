package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func (q *request) ledgerKey() fleet.LedgerKey {
	return fleet.LedgerKey{Customer: q.Customer, Service: q.Service, Key: q.Key}
}

// beginInLedger asks the ledger whether this request may run its call.
func (r *Router) beginInLedger(now time.Time, q *request) {
	r.ledgerAttempts++
	q.ledgerAttempt = fleet.AttemptID{Router: r.cfg.Host, Incarnation: r.cfg.Incarnation, Attempt: r.ledgerAttempts}
	until := earlier(now.Add(LedgerTimeout), q.deadline)
	r.setState(q, stateLedger, q.deadline)
	r.emit(LedgerBegin{
		Request: q.Request,
		Begin:   fleet.LedgerBeginRequest{LedgerKey: q.ledgerKey(), Body: q.Content, By: q.ledgerAttempt},
		Until:   until,
	})
}

// ledgerBegun queues or ends a request by the ledger's reply. Nothing has been sent before.
func (r *Router) ledgerBegun(now time.Time, ev LedgerBegun) {
	q := r.requests[ev.Request]
	if q == nil || q.state != stateLedger {
		return
	}
	if ev.Failed {
		r.fail(now, q, fleet.ReasonNoControl, retryAfterControl, "the ledger did not answer in time")
		return
	}
	switch ev.Reply.State {
	case fleet.LedgerGranted:
		q.ledgerGranted, q.ledgerEndDue = true, true
		if q.callerGone {
			r.abandon(q)
			return
		}
		r.enqueue(now, q)
	case fleet.LedgerDone:
		r.replayAnswer(now, q, ev.Reply.Answer)
	case fleet.LedgerRunning:
		r.failWithVerdict(now, q, fleet.MayHaveRun, fleet.ReasonStillRunning, retryAfterRunning, "an earlier request with this key is still running")
	case fleet.LedgerMismatch:
		r.failWithVerdict(now, q, fleet.NotRun, fleet.ReasonKeyMismatch, 0, "the key was used for another request")
	default:
		r.failWithVerdict(now, q, fleet.MayHaveRun, fleet.ReasonEarlierRunInDoubt, 0, "an earlier request with this key may have run; its answer is lost")
	}
}

// replayAnswer answers a resend with the recorded answer.
func (r *Router) replayAnswer(now time.Time, q *request, answer *fleet.RecordedAnswer) {
	if answer == nil || answer.Truncated {
		r.failWithVerdict(now, q, fleet.Ran, fleet.ReasonAlreadyRan, 0, "the call ran; its answer is too large to be kept")
		return
	}
	r.emit(AnswerRecorded{Request: q.Request, Answer: *answer})
	r.recordDecision(now, q, EventReplayed, fleet.ReasonAlreadyRan, "")
	r.finish(q)
}

// failWithVerdict ends a request with a verdict on the earlier request that used its key.
func (r *Router) failWithVerdict(now time.Time, q *request, v fleet.Verdict, reason fleet.Reason, after time.Duration, detail string) {
	r.emit(AnswerFailure{Request: q.Request, Failure: fleet.Failure{Verdict: v, Reason: reason, Detail: detail, RetryAfter: after}})
	r.recordDecision(now, q, EventRefused, reason, detail)
	r.finish(q)
}

// endInLedger records the end of a call that the ledger granted.
func (r *Router) endInLedger(q *request, v fleet.Verdict, answer *fleet.RecordedAnswer) {
	q.ledgerEndDue = false
	r.emit(LedgerEnd{
		Request: q.Request,
		End:     fleet.LedgerEndRequest{LedgerKey: q.ledgerKey(), By: q.ledgerAttempt, Verdict: v, Answer: answer},
	})
}
