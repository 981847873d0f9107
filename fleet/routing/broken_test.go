package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// reported returns the report that the last event made.
func (b *bench) reported() fleet.RouterReport {
	s, _ := found[SendReport](b)
	return s.Report
}

func TestFailuresOfTargetsAreTold(t *testing.T) {
	convey.Convey("A target that no connection reached is not blamed on the request", t, func() {
		b := newBench()
		b.accept("r")
		b.pass(ReportInterval)
		b.grant("r.1")
		b.do(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed})
		ended := b.reported().Ended
		convey.So(ended, convey.ShouldHaveLength, 1)
		convey.So(ended[0].Outcome, convey.ShouldEqual, fleet.OutcomeUnreached)
	})
	convey.Convey("A ticket names the targets at which earlier attempts broke", t, func() {
		b := newBench()
		b.accept("r")
		b.pass(ReportInterval)
		b.grant("r.1")
		b.do(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseReset})
		b.do(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseUnknownStream})
		released, ok := found[ReleaseSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		b.do(AttemptReleased{Request: "r", Grant: released.Grant, Confirmed: true})
		b.pass(200 * time.Millisecond)
		tickets := b.reported().Tickets
		convey.So(tickets, convey.ShouldHaveLength, 1)
		convey.So(tickets[0].Broken, convey.ShouldResemble, []fleet.TargetDeath{{Target: "t"}})
	})
}
