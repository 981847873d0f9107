package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestTargetFailuresAreReported(t *testing.T) {
	convey.Convey("A failed connection is reported as unreached, so that the request is not suspected", t, func() {
		b := newFixture()
		b.accept("r")
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseConnectFailed})
		ended := b.lastReport().Ended
		convey.So(ended, convey.ShouldHaveLength, 1)
		convey.So(ended[0].Outcome, convey.ShouldEqual, fleet.OutcomeUnreached)
	})
	convey.Convey("A ticket lists the targets at which earlier attempts were interrupted", t, func() {
		b := newFixture()
		b.accept("r")
		b.advance(ReportInterval)
		b.sendGrants("r.1")
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseReset})
		b.reduce(AttemptEnded{Request: "r", Attempt: 1, Cause: CauseUnknownStream})
		released, ok := findEffect[ReleaseSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		b.reduce(AttemptReleased{Request: "r", Grant: released.Grant, Confirmed: true})
		b.advance(200 * time.Millisecond)
		tickets := b.lastReport().Tickets
		convey.So(tickets, convey.ShouldHaveLength, 1)
		convey.So(tickets[0].Broken, convey.ShouldResemble, []fleet.TargetDeath{{Target: "t"}})
	})
}
