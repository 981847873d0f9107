package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// attemptEnded completes, retries, resumes or ends the request of an attempt that ended.
func (r *Router) attemptEnded(now time.Time, ev AttemptEnded) {
	q := r.requests[ev.Request]
	if q == nil || q.attempt == nil || q.attempt.number != ev.Attempt {
		return
	}
	a := q.attempt
	a.spent, a.firstToken = max(a.spent, ev.Spent), ev.FirstToken
	q.answerStarted = q.answerStarted || ev.Answered
	if ev.Cause == CauseCompleted {
		r.attemptCompleted(now, q, ev)
		return
	}
	if a.interrupted && ev.Cause.notRun() {
		// Only the resumption did not run; the attempt that it resumes may have run.
		ev.Cause = CauseReset
	}
	if !now.Before(q.deadline) && !ev.Cause.notRun() {
		r.deadlineReached(now, q)
		return
	}
	switch ev.Cause {
	case CauseGrantExpired, CauseConnectFailed, CauseNotRun:
		r.attemptNotRun(now, q, ev)
	case CauseCallerGone:
		r.recordDecision(now, q, EventCallerGone, fleet.ReasonCallerGone, ev.Detail)
		r.abandon(q)
	default:
		r.attemptInterrupted(now, q, ev)
	}
}

// answerBegun records that the caller may have part of the answer, after which no other attempt
// is made.
func (r *Router) answerBegun(ev AnswerBegun) {
	if q := r.requests[ev.Request]; q != nil {
		q.answerStarted = true
	}
}

// attemptCompleted ends a request whose whole answer was passed on, or first records the end of
// its call.
func (r *Router) attemptCompleted(now time.Time, q *request, ev AttemptEnded) {
	a := q.attempt
	q.attempt = nil
	r.freeStandingSlot(a)
	r.reportEnd(a, fleet.OutcomeCompleted)
	r.budget.addSuccess(r.config.Fleet)
	if !q.ledgerEndDue {
		r.answerDone(now, q)
		return
	}
	r.endInLedger(q, fleet.Ran, ev.Answer)
	r.setState(q, stateRecording, now.Add(RecordTimeout))
}

// ledgerEnded passes the end of an answer to the caller now that it is recorded, so that a
// later resend gets the same answer.
func (r *Router) ledgerEnded(now time.Time, ev LedgerEnded) {
	if q := r.requests[ev.Request]; q != nil && q.state == stateRecording {
		r.answerDone(now, q)
	}
}

// answerDone ends a request whose answer is complete.
func (r *Router) answerDone(now time.Time, q *request) {
	r.emit(AnswerDone{Request: q.Request})
	r.recordDecision(now, q, EventCompleted, "", "")
	r.finish(q)
}

// attemptNotRun handles an attempt of which no target ran any part.
func (r *Router) attemptNotRun(now time.Time, q *request, ev AttemptEnded) {
	if !invariant.Check(ev.Cause == CauseNotRun || !ev.Wrote, "NotRunIsTrue", "request %s is reported as not run after a byte was sent", q.Request) {
		r.attemptInterrupted(now, q, ev)
		return
	}
	a := q.attempt
	q.attempt = nil
	r.freeStandingSlot(a)
	switch ev.Cause {
	case CauseGrantExpired:
		r.reportEnd(a, fleet.OutcomeNotSent)
		r.setState(q, stateQueued, q.wakeAt)
		r.requeue(now, q, fleet.ReasonStaleGrant)
	case CauseConnectFailed:
		r.reportEnd(a, fleet.OutcomeUnreached)
		r.retry(now, q, fleet.ReasonTargetConnect, ev)
	default:
		r.reportEnd(a, fleet.OutcomeOverloaded)
		r.retry(now, q, fleet.ReasonTargetRefused, ev)
	}
}

// effectExpired handles a StartSend that was not performed because its grant expired.
func (r *Router) effectExpired(now time.Time, ev fleet.Expired) {
	s, ok := ev.Effect.(StartSend)
	if !ok {
		return
	}
	r.attemptEnded(now, AttemptEnded{Request: s.Request, Attempt: s.Attempt, Cause: CauseGrantExpired})
}

// interruptReasons maps the cause of an interrupted attempt to the reason that is reported.
var interruptReasons = map[Cause]fleet.Reason{
	CauseUnavailable:   fleet.ReasonTargetRefused,
	CauseReset:         fleet.ReasonTargetReset,
	CauseIdleTimeout:   fleet.ReasonTargetSilent,
	CauseTruncated:     fleet.ReasonTargetShortAnswer,
	CauseWrongAnswer:   fleet.ReasonTargetWrongAnswer,
	CauseUnknownStream: fleet.ReasonTargetReset,
}

// attemptInterrupted handles an attempt that a target may have run in whole or in part.
func (r *Router) attemptInterrupted(now time.Time, q *request, ev AttemptEnded) {
	reason := interruptReasons[ev.Cause]
	q.attempt.interrupted = true
	if r.resume(now, q, ev, reason) {
		return
	}
	q.mayHaveRun = true
	q.brokenTargets = append(q.brokenTargets, fleet.TargetDeath{Target: q.attempt.target, Incarnation: q.attempt.incarnation})
	if q.answerStarted || !q.Idempotent {
		r.release(q, fleet.OutcomeBroken)
		r.fail(now, q, reason, 0, "%s", ev.Detail)
		return
	}
	r.release(q, fleet.OutcomeBroken)
	q.retryReason, q.retryAfter = reason, ev.RetryAfter
	r.setState(q, stateReleasing, q.deadline)
}

// resume continues an interrupted answer at the same target. It returns false if the answer
// cannot be resumed.
func (r *Router) resume(now time.Time, q *request, ev AttemptEnded, reason fleet.Reason) bool {
	a := q.attempt
	if ev.Cause == CauseUnavailable || ev.Cause == CauseWrongAnswer {
		return false
	}
	if ev.Cause == CauseUnknownStream {
		if ev.Offset > 0 || ev.Answered || !a.noFirstByte {
			return false
		}
		// A target that does not support resumption may only be slow with its first byte.
		r.emit(WaitOn{Request: q.Request, Attempt: a.number})
		return true
	}
	a.noFirstByte = ev.Cause == CauseIdleTimeout && ev.Offset == 0 && !ev.Answered
	if ev.Offset > a.offset {
		a.offset, a.resumes = ev.Offset, 0
	}
	if a.resumes >= ResumeLimit {
		return false
	}
	delay := backOff(a.resumes, q.Random)
	if a.resumes == 0 {
		delay = 0
	}
	a.resumes++
	if !now.Add(delay).Before(q.deadline) {
		return false
	}
	r.recordDecision(now, q, EventResumed, reason, ev.Detail)
	r.emit(ResumeSend{Request: q.Request, Attempt: a.number, Offset: ev.Offset, Delay: delay})
	return true
}

// release takes an attempt from its request and cancels it at the target, which may still run
// it.
func (r *Router) release(q *request, outcome fleet.Outcome) {
	a := q.attempt
	q.attempt = nil
	a.outcome = outcome
	r.releasing[a.grant] = a
	r.emit(ReleaseSend{Request: q.Request, Attempt: a.number, Grant: a.grant, Address: a.address})
}

// attemptReleased reports the end of a released attempt, and retries its request if that waits
// for it.
func (r *Router) attemptReleased(now time.Time, ev AttemptReleased) {
	a := r.releasing[ev.Grant]
	if a == nil {
		return
	}
	delete(r.releasing, ev.Grant)
	r.freeStandingSlot(a)
	if !ev.Confirmed {
		a.outcome = fleet.OutcomeUnknown
	}
	r.reportEnd(a, a.outcome)
	q := r.requests[ev.Request]
	if q != nil && q.state == stateReleasing && q.attempts == a.number {
		r.retry(now, q, q.retryReason, AttemptEnded{RetryAfter: q.retryAfter})
	}
}
