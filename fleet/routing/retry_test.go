package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// bench is a Router in contact with a dispatcher, whose effects tests inspect.
type bench struct {
	r   *Router
	now time.Time
	n   int
	// last holds the effects of the last event.
	last []fleet.Effect
}

func newBench() *bench {
	b := &bench{r: New(Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers[:1]}), now: testStart}
	b.do(ConfigConfirmed{Config: testConfig(1), NotAfter: b.now.Add(time.Hour)})
	b.do(DispatcherUp{Peer: testPeers[0]})
	b.grant()
	return b
}

func (b *bench) do(ev fleet.Event) {
	b.last = b.r.Reduce(b.now, ev)
}

func (b *bench) message() fleet.DispatcherGrants {
	return fleet.DispatcherGrants{
		Dispatcher: "d", Epoch: 1, Version: 1, Router: "router-1", RouterIncarnation: 7,
		Ack: b.r.peers[0].sequence, Validity: time.Second,
	}
}

// grant answers the last report and grants the tickets named.
func (b *bench) grant(tickets ...fleet.TicketID) {
	m := b.message()
	for _, t := range tickets {
		b.n++
		m.Grants = append(m.Grants, fleet.Grant{ID: fleet.GrantID(fmt.Sprint("g", b.n)), Ticket: t, Target: "t", Address: testAddress})
	}
	b.do(GrantsReceived{Peer: testPeers[0], Message: m})
}

// accept takes a request that may be repeated.
func (b *bench) accept(id fleet.RequestID) {
	b.do(RequestAccepted{Request: id, Customer: "x", Service: "model", Idempotent: true, Content: "c", Random: uint64(b.n)})
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.do(Tick{})
}

// found returns the first effect of a kind among those of the last event.
func found[T fleet.Effect](b *bench) (T, bool) {
	for _, e := range b.last {
		if e, ok := e.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

// failOnce accepts a request and fails its first attempt, and says whether it is retried.
func (b *bench) failOnce(id fleet.RequestID) bool {
	b.accept(id)
	b.pass(ReportInterval)
	b.grant(fleet.TicketID(id + ".1"))
	b.do(AttemptEnded{Request: id, Attempt: 1, Cause: CauseConnectFailed})
	retried := false
	for _, e := range b.last {
		d, ok := e.(Decided)
		retried = retried || ok && d.Decision.Event == EventRetried
	}
	b.do(CallerGone{Request: id})
	return retried
}

func TestRetryBudget(t *testing.T) {
	convey.Convey("While a data centre is away, retries stay within the budget", t, func() {
		b := newBench()
		retried := 0
		for i := range 100 {
			if b.failOnce(fleet.RequestID(fmt.Sprint("r-", i))) {
				retried++
			}
		}
		convey.So(retried, convey.ShouldEqual, 10)
	})
	convey.Convey("Successes earn retries", t, func() {
		b := newBench()
		b.r.budget = retryBudget{started: true}
		for i := range 20 {
			id := fleet.RequestID(fmt.Sprint("s-", i))
			b.accept(id)
			b.pass(ReportInterval)
			b.grant(fleet.TicketID(id + ".1"))
			b.do(AttemptEnded{Request: id, Attempt: 1, Cause: CauseCompleted})
		}
		convey.So(b.failOnce("a"), convey.ShouldBeTrue)
		convey.So(b.failOnce("b"), convey.ShouldBeTrue)
		convey.So(b.failOnce("c"), convey.ShouldBeFalse)
	})
}

func TestBackOff(t *testing.T) {
	convey.Convey("Waits grow, differ and are bounded", t, func() {
		seen := map[time.Duration]bool{}
		for n := range 12 {
			for seed := range uint64(50) {
				d := backOff(n, seed)
				full := min(backOffBase<<n, backOffMost)
				convey.So(d, convey.ShouldBeBetweenOrEqual, full/2, full)
				seen[d] = true
			}
		}
		convey.So(len(seen), convey.ShouldBeGreaterThan, 500)
	})
	convey.Convey("No retry is begun past the deadline", t, func() {
		b := newBench()
		b.do(RequestAccepted{Request: "r", Customer: "x", Service: "model", Idempotent: true, Content: "c", Deadline: b.now.Add(5 * time.Millisecond)})
		b.pass(ReportInterval)
		b.grant("r.1")
		b.do(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed, RetryAfter: time.Second})
		f, ok := found[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonTargetConnect)
		convey.So(f.Failure.Verdict, convey.ShouldEqual, fleet.NotRun)
	})
}

func TestFrozenBeforeSending(t *testing.T) {
	convey.Convey("A send that was decided before a freeze becomes another ticket", t, func() {
		b := newBench()
		b.accept("r")
		b.pass(ReportInterval)
		b.grant("r.1")
		s, ok := found[StartSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		b.now = b.now.Add(2 * time.Second)
		b.do(fleet.Expired{Effect: s})
		rep, ok := found[SendReport](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(rep.Report.Ended, convey.ShouldHaveLength, 1)
		convey.So(string(rep.Report.Ended[0].Outcome), convey.ShouldEqual, string(fleet.OutcomeNotSent))
		convey.So(rep.Report.Tickets, convey.ShouldHaveLength, 1)
		convey.So(string(rep.Report.Tickets[0].ID), convey.ShouldEqual, "r.2")
	})
}
