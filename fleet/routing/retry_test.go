package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// retriedAfterFailure accepts a request, fails its first attempt, and reports whether it is
// retried.
func (b *fixture) retriedAfterFailure(id fleet.RequestID) bool {
	b.accept(id)
	b.advance(ReportInterval)
	b.sendGrants(fleet.TicketID(id + ".1"))
	b.reduce(AttemptEnded{Request: id, Attempt: 1, Cause: CauseConnectFailed})
	retried := false
	for _, e := range b.lastEffects {
		d, ok := e.(Decided)
		retried = retried || ok && d.Decision.Event == EventRetried
	}
	b.reduce(CallerGone{Request: id})
	return retried
}

func TestRetryBudget(t *testing.T) {
	convey.Convey("While every connection fails, retries stay within the budget", t, func() {
		b := newFixture()
		retried := 0
		for i := range 100 {
			if b.retriedAfterFailure(fleet.RequestID(fmt.Sprint("r-", i))) {
				retried++
			}
		}
		convey.So(retried, convey.ShouldEqual, 10)
	})
	convey.Convey("Successes add to the retry budget", t, func() {
		b := newFixture()
		b.r.budget = retryBudget{started: true}
		for i := range 20 {
			id := fleet.RequestID(fmt.Sprint("s-", i))
			b.accept(id)
			b.advance(ReportInterval)
			b.sendGrants(fleet.TicketID(id + ".1"))
			b.reduce(AttemptEnded{Request: id, Attempt: 1, Cause: CauseCompleted})
		}
		convey.So(b.retriedAfterFailure("a"), convey.ShouldBeTrue)
		convey.So(b.retriedAfterFailure("b"), convey.ShouldBeTrue)
		convey.So(b.retriedAfterFailure("c"), convey.ShouldBeFalse)
	})
}

func TestBackOff(t *testing.T) {
	convey.Convey("Delays grow, are jittered and are bounded", t, func() {
		seen := map[time.Duration]bool{}
		for n := range 12 {
			for seed := range uint64(50) {
				d := backOff(n, seed)
				full := min(backOffBase<<n, backOffMax)
				convey.So(d, convey.ShouldBeBetweenOrEqual, full/2, full)
				seen[d] = true
			}
		}
		convey.So(len(seen), convey.ShouldBeGreaterThan, 500)
	})
	convey.Convey("No retry is begun past the deadline", t, func() {
		b := newFixture()
		b.reduce(RequestAccepted{Request: "r", Customer: "x", Service: "model", Idempotent: true, Content: "c", Deadline: b.now.Add(5 * time.Millisecond)})
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed, RetryAfter: time.Second})
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonTargetConnect)
		convey.So(f.Failure.Verdict, convey.ShouldEqual, fleet.NotRun)
	})
}

func TestFrozenBeforeSending(t *testing.T) {
	convey.Convey("A send whose grant expired while the process was frozen gets a new ticket", t, func() {
		b := newFixture()
		b.accept("r")
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		s, ok := findEffect[StartSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		b.now = b.now.Add(2 * time.Second)
		b.reduce(fleet.Expired{Effect: s})
		rep, ok := findEffect[SendReport](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(rep.Report.Ended, convey.ShouldHaveLength, 1)
		convey.So(string(rep.Report.Ended[0].Outcome), convey.ShouldEqual, string(fleet.OutcomeNotSent))
		convey.So(rep.Report.Tickets, convey.ShouldHaveLength, 1)
		convey.So(string(rep.Report.Tickets[0].ID), convey.ShouldEqual, "r.2")
	})
}

// TestDeadlineAfterAFailedAttempt guards against a failure response that names the deadline
// where a target failed and the request was waiting for another attempt (KNOWN-RED,
// TestUnreachableTarget).
func TestDeadlineAfterAFailedAttempt(t *testing.T) {
	convey.Convey("A deadline that passes before the next attempt fails the request with the failure of the last one", t, func() {
		b := newFixture()
		b.reduce(RequestAccepted{Request: "r", Customer: "x", Service: "model", Idempotent: true, Content: "c", Deadline: b.now.Add(500 * time.Millisecond)})
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed, Detail: "refused"})
		b.advance(600 * time.Millisecond)
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonTargetConnect)
		convey.So(f.Failure.Verdict, convey.ShouldEqual, fleet.NotRun)
		convey.So(f.Failure.RetryAfter, convey.ShouldEqual, retryAfterTarget)
		convey.So(f.Failure.Detail, convey.ShouldContainSubstring, "refused")
	})
	convey.Convey("A deadline that passes before the first attempt is named", t, func() {
		b := newFixture()
		b.reduce(RequestAccepted{Request: "r", Customer: "x", Service: "model", Idempotent: true, Content: "c", Deadline: b.now.Add(500 * time.Millisecond)})
		b.advance(600 * time.Millisecond)
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonDeadline)
	})
}

// TestDeadlineWhileConnecting guards against the verdict MayHaveRun for a request whose last
// attempt fails to connect at the deadline (KNOWN-RED, TestUnreachableTarget).
func TestDeadlineWhileConnecting(t *testing.T) {
	send := func() *fixture {
		b := newFixture()
		b.reduce(RequestAccepted{Request: "r", Customer: "x", Service: "model", Idempotent: true, Content: "c", Deadline: b.now.Add(500 * time.Millisecond)})
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		b.advance(500*time.Millisecond - ReportInterval)
		return b
	}
	convey.Convey("An attempt that fails to connect just after the deadline has not run", t, func() {
		b := send()
		_, failed := findEffect[AnswerFailure](b)
		convey.So(failed, convey.ShouldBeFalse)
		b.now = b.now.Add(5 * time.Millisecond)
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed})
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonTargetConnect)
		convey.So(f.Failure.Verdict, convey.ShouldEqual, fleet.NotRun)
	})
	convey.Convey("An attempt that does not end at the deadline may have run", t, func() {
		b := send()
		b.advance(attemptEndGrace)
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonDeadline)
		convey.So(f.Failure.Verdict, convey.ShouldEqual, fleet.MayHaveRun)
	})
}
