package overload_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

// TestLimitFollowsDelay guards against a router without processor time that accepts as many
// connections as its memory allows and then reads their requests seconds late.
func TestLimitFollowsDelay(t *testing.T) {
	convey.Convey("With 384 connections and a wait of half a second, fewer than 100 are left after 1.5 s, never fewer than 48, and all again 5 s after the wait has ended", t, func() {
		a, open := new(overload.AdaptiveLimit), 384
		for range 15 {
			open = min(open, a.Update(500*time.Millisecond, open, 384))
		}
		convey.So(open, convey.ShouldBeLessThan, 100)
		for range 100 {
			open = min(open, a.Update(500*time.Millisecond, open, 384))
		}
		convey.So(open, convey.ShouldEqual, 48)
		limit := 0
		for range 50 {
			limit = a.Update(time.Millisecond, open, 384)
		}
		convey.So(limit, convey.ShouldEqual, 384)
	})
	convey.Convey("A router that is not delayed keeps its limit, and one without a limit has none", t, func() {
		a := new(overload.AdaptiveLimit)
		convey.So(a.Update(0, 384, 384), convey.ShouldEqual, 384)
		convey.So(a.Update(50*time.Millisecond, 10, 384), convey.ShouldEqual, 384)
		convey.So(new(overload.AdaptiveLimit).Update(time.Second, 5000, 0), convey.ShouldEqual, 0)
	})
}

// TestCrowdIsDetected guards against routers whose callers move for a short burst.
func TestCrowdIsDetected(t *testing.T) {
	convey.Convey("A crowd is three samples in a row with a fifth of the connections rejected", t, func() {
		d := new(overload.CrowdDetector)
		convey.So(d.Update(10, 50), convey.ShouldBeFalse)
		convey.So(d.Update(10, 50), convey.ShouldBeFalse)
		convey.So(d.Update(10, 50), convey.ShouldBeTrue)
		convey.So(d.Update(100, 20), convey.ShouldBeFalse)
		for range 5 {
			convey.So(d.Update(0, 9), convey.ShouldBeFalse)
		}
	})
}
