package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func (q *request) ledgerKey() fleet.LedgerKey {
	return fleet.LedgerKey{Customer: q.Customer, Service: q.Service, Key: q.Key}
}

// ledgerBegin asks the ledger whether this request may send its call.
func (r *Router) ledgerBegin(now time.Time, q *request) {
	r.attempts++
	q.ledger = fleet.AttemptID{Router: r.cfg.Host, Incarnation: r.cfg.Incarnation, Attempt: r.attempts}
	until := earlier(now.Add(LedgerTimeout), q.deadline)
	r.setState(q, stateLedger, q.deadline)
	r.emit(LedgerBegin{
		Request: q.Request,
		Begin:   fleet.LedgerBeginRequest{LedgerKey: q.ledgerKey(), Body: q.Content, By: q.ledger},
		Until:   until,
	})
}

// ledgerBegun goes on with a call as the ledger allows. Until then nothing was sent.
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
		q.granted, q.recorded = true, true
		if q.gone {
			r.abandon(q)
			return
		}
		r.queue(now, q)
	case fleet.LedgerDone:
		r.replay(now, q, ev.Reply.Answer)
	case fleet.LedgerRunning:
		r.failAs(now, q, fleet.MayHaveRun, fleet.ReasonStillRunning, retryAfterRunning, "an earlier request with this key is still running")
	case fleet.LedgerMismatch:
		r.failAs(now, q, fleet.NotRun, fleet.ReasonKeyMismatch, 0, "the key was used for another request")
	default:
		r.failAs(now, q, fleet.MayHaveRun, fleet.ReasonEarlierRunInDoubt, 0, "an earlier request with this key may have run; its answer is lost")
	}
}

// replay answers a resend with the recorded answer.
func (r *Router) replay(now time.Time, q *request, answer *fleet.RecordedAnswer) {
	if answer == nil || answer.Truncated {
		r.failAs(now, q, fleet.Ran, fleet.ReasonAlreadyRan, 0, "the call ran; its answer is too large to be kept")
		return
	}
	r.emit(AnswerRecorded{Request: q.Request, Answer: *answer})
	r.decide(now, q, EventReplayed, fleet.ReasonAlreadyRan, "")
	r.finish(q)
}

// failAs ends a request with the verdict of an earlier request with the same key.
func (r *Router) failAs(now time.Time, q *request, v fleet.Verdict, reason fleet.Reason, after time.Duration, detail string) {
	r.emit(AnswerFailure{Request: q.Request, Failure: fleet.Failure{Verdict: v, Reason: reason, Detail: detail, RetryAfter: after}})
	r.decide(now, q, EventRefused, reason, detail)
	r.finish(q)
}

// ledgerEnd records how a call that the ledger granted ended.
func (r *Router) ledgerEnd(q *request, v fleet.Verdict, answer *fleet.RecordedAnswer) {
	q.recorded = false
	r.emit(LedgerEnd{
		Request: q.Request,
		End:     fleet.LedgerEndRequest{LedgerKey: q.ledgerKey(), By: q.ledger, Verdict: v, Answer: answer},
	})
}
