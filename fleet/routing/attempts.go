package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// attemptEnded decides what follows the end of an attempt.
func (r *Router) attemptEnded(now time.Time, ev AttemptEnded) {
	q := r.requests[ev.Request]
	if q == nil || q.attempt == nil || q.attempt.number != ev.Attempt {
		return
	}
	a := q.attempt
	a.spent, a.firstToken = max(a.spent, ev.Spent), ev.FirstToken
	q.answered = q.answered || ev.Answered
	if ev.Cause == CauseCompleted {
		r.completed(now, q, ev)
		return
	}
	if a.interrupted && ev.Cause.notRun() {
		// Only the resumption failed; what it resumes may have run.
		ev.Cause = CauseReset
	}
	if !now.Before(q.deadline) && !ev.Cause.notRun() {
		r.deadlineReached(now, q)
		return
	}
	switch ev.Cause {
	case CauseGrantExpired, CauseConnectFailed, CauseNotRun:
		r.notRun(now, q, ev)
	case CauseCallerGone:
		r.decide(now, q, EventCallerGone, fleet.ReasonCallerGone, ev.Detail)
		r.abandon(q)
	default:
		r.interrupted(now, q, ev)
	}
}

func (r *Router) answerBegun(ev AnswerBegun) {
	if q := r.requests[ev.Request]; q != nil {
		q.answered = true
	}
}

// completed ends a request whose whole answer was passed on.
func (r *Router) completed(now time.Time, q *request, ev AttemptEnded) {
	a := q.attempt
	q.attempt = nil
	r.freeAttempt(a)
	r.reportEnd(a, fleet.OutcomeCompleted)
	r.budget.success(r.config.Fleet)
	if !q.recorded {
		r.done(now, q)
		return
	}
	r.ledgerEnd(q, fleet.Ran, ev.Answer)
	r.setState(q, stateRecording, now.Add(RecordTimeout))
}

// ledgerEnded lets the caller have the end of an answer that is recorded now, so that
// a resend after it gets the same answer.
func (r *Router) ledgerEnded(now time.Time, ev LedgerEnded) {
	if q := r.requests[ev.Request]; q != nil && q.state == stateRecording {
		r.done(now, q)
	}
}

// done ends a request that has its whole answer.
func (r *Router) done(now time.Time, q *request) {
	r.emit(AnswerDone{Request: q.Request})
	r.decide(now, q, EventCompleted, "", "")
	r.finish(q)
}

// notRun deals with an attempt of which no target ran anything.
func (r *Router) notRun(now time.Time, q *request, ev AttemptEnded) {
	if !invariant.Check(ev.Cause == CauseNotRun || !ev.Wrote, "NotRunIsTrue", "request %s is called not run after a byte was sent", q.Request) {
		r.interrupted(now, q, ev)
		return
	}
	a := q.attempt
	q.attempt = nil
	r.freeAttempt(a)
	switch ev.Cause {
	case CauseGrantExpired:
		r.reportEnd(a, fleet.OutcomeNotSent)
		r.setState(q, stateQueued, q.wake)
		r.requeue(now, q, fleet.ReasonStaleGrant)
	case CauseConnectFailed:
		r.reportEnd(a, fleet.OutcomeUnreached)
		r.retry(now, q, fleet.ReasonTargetConnect, ev)
	default:
		r.reportEnd(a, fleet.OutcomeOverloaded)
		r.retry(now, q, fleet.ReasonTargetRefused, ev)
	}
}

// expired reports that an effect came too late to be performed.
func (r *Router) expired(now time.Time, ev fleet.Expired) {
	s, ok := ev.Effect.(StartSend)
	if !ok {
		return
	}
	r.attemptEnded(now, AttemptEnded{Request: s.Request, Attempt: s.Attempt, Cause: CauseGrantExpired})
}

var interruptReasons = map[Cause]fleet.Reason{
	CauseUnavailable:   fleet.ReasonTargetRefused,
	CauseReset:         fleet.ReasonTargetReset,
	CauseIdleTimeout:   fleet.ReasonTargetSilent,
	CauseTruncated:     fleet.ReasonTargetShortAnswer,
	CauseWrongAnswer:   fleet.ReasonTargetWrongAnswer,
	CauseUnknownStream: fleet.ReasonTargetReset,
}

// interrupted deals with an attempt that a target may have run, wholly or in part.
func (r *Router) interrupted(now time.Time, q *request, ev AttemptEnded) {
	reason := interruptReasons[ev.Cause]
	q.attempt.interrupted = true
	if r.resume(now, q, ev, reason) {
		return
	}
	q.mayHaveRun = true
	q.broken = append(q.broken, fleet.TargetDeath{Target: q.attempt.target, Incarnation: q.attempt.incarnation})
	if q.answered || !q.Idempotent {
		r.release(q, fleet.OutcomeBroken)
		r.fail(now, q, reason, 0, "%s", ev.Detail)
		return
	}
	r.release(q, fleet.OutcomeBroken)
	q.retryCause, q.retryAfter = reason, ev.RetryAfter
	r.setState(q, stateReleasing, q.deadline)
}

// resume continues an interrupted answer at the same target, and says whether it does.
func (r *Router) resume(now time.Time, q *request, ev AttemptEnded, reason fleet.Reason) bool {
	a := q.attempt
	if ev.Cause == CauseUnavailable || ev.Cause == CauseWrongAnswer {
		return false
	}
	if ev.Cause == CauseUnknownStream {
		if ev.Offset > 0 || ev.Answered || !a.silentStart {
			return false
		}
		// A target that cannot resume may just be slow with its first byte.
		r.emit(WaitOn{Request: q.Request, Attempt: a.number})
		return true
	}
	a.silentStart = ev.Cause == CauseIdleTimeout && ev.Offset == 0 && !ev.Answered
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
	r.decide(now, q, EventResumed, reason, ev.Detail)
	r.emit(ResumeSend{Request: q.Request, Attempt: a.number, Offset: ev.Offset, Delay: delay})
	return true
}

// release ends an attempt that its target may still run.
func (r *Router) release(q *request, outcome fleet.Outcome) {
	a := q.attempt
	q.attempt = nil
	a.outcome = outcome
	r.releasing[a.grant] = a
	r.emit(ReleaseSend{Request: q.Request, Attempt: a.number, Grant: a.grant, Address: a.address})
}

// attemptReleased reports the end of an attempt, and goes on with a retry.
func (r *Router) attemptReleased(now time.Time, ev AttemptReleased) {
	a := r.releasing[ev.Grant]
	if a == nil {
		return
	}
	delete(r.releasing, ev.Grant)
	r.freeAttempt(a)
	if !ev.Confirmed {
		a.outcome = fleet.OutcomeUnknown
	}
	r.reportEnd(a, a.outcome)
	q := r.requests[ev.Request]
	if q != nil && q.state == stateReleasing && q.attempts == a.number {
		r.retry(now, q, q.retryCause, AttemptEnded{RetryAfter: q.retryAfter})
	}
}
