package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestReturningTargetGetsNoBurst guards against a burst of requests to a target at the end of the
// time for which it wanted none.
func TestReturningTargetGetsNoBurst(t *testing.T) {
	convey.Convey("A target that returns gets one request at a time until it answers one", t, func() {
		f := newFixture(t, "router-0", 1, announcement(deskService, 0))
		earlier := sendOf(f.ask("/file/0", placement.Prompt{}))
		s := sendOf(f.ask("/file/1", placement.Prompt{}))
		f.apply(placement.ResponseReceived{Target: s.Target, Incarnation: s.Incarnation, RetryAfter: 4 * time.Second})
		gaveUp := f.end(s, placement.Declined).(placement.GiveUp)
		convey.So(gaveUp.Reason, convey.ShouldEqual, fleet.ReasonTargetRetryAfter)
		convey.So(gaveUp.RetryAfter, convey.ShouldBeBetweenOrEqual, 4*time.Second, 5*time.Second)
		f.apply(placement.AnswerBegun{Call: earlier.Call, Attempt: earlier.Attempt})
		convey.So(f.ask("/file/2", placement.Prompt{}).(placement.Refuse).Reason, convey.ShouldEqual, fleet.ReasonTargetRetryAfter)
		f.now = f.now.Add(4 * time.Second)
		first := sendOf(f.ask("/file/3", placement.Prompt{}))
		for range 10 {
			convey.So(f.ask("/file/4", placement.Prompt{}), convey.ShouldHaveSameTypeAs, placement.Refuse{})
		}
		f.end(first, placement.CallerGone)
		second := sendOf(f.ask("/file/5", placement.Prompt{}))
		f.apply(placement.AnswerBegun{Call: second.Call, Attempt: second.Attempt})
		for range 10 {
			sendOf(f.ask("/file/6", placement.Prompt{}))
		}
	})
}
