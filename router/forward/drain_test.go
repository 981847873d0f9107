package forward_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/forward"
)

func TestDrain(t *testing.T) {
	convey.Convey("A stopping router admits no late request whose deadline is beyond the stop", t, func() {
		start := time.Unix(1_700_000_000, 0)
		d := &forward.Drain{AdmitAllFor: 2800 * time.Millisecond, Limit: 7 * time.Second}
		takes := func(at, limit time.Duration) bool { return d.Admits(start.Add(at), start.Add(at+limit)) }
		convey.So(takes(time.Hour, time.Hour), convey.ShouldBeTrue)
		convey.So(d.Begun(), convey.ShouldBeFalse)
		d.Begin(start)
		convey.So(d.Begun(), convey.ShouldBeTrue)
		convey.So(takes(2700*time.Millisecond, 8*time.Second), convey.ShouldBeTrue)
		convey.So(takes(3242*time.Millisecond, 8*time.Second), convey.ShouldBeFalse)
		convey.So(takes(3242*time.Millisecond, 800*time.Millisecond), convey.ShouldBeTrue)
	})
	// Guards against a request that is taken late in a stop and cut off with no answer at its end.
	convey.Convey("nor one whose deadline leaves no time for an answer", t, func() {
		start := time.Unix(1_700_000_000, 0)
		d := &forward.Drain{AdmitAllFor: time.Second, Limit: 7 * time.Second}
		d.Begin(start)
		at := start.Add(5 * time.Second)
		convey.So(d.Admits(at, start.Add(7*time.Second)), convey.ShouldBeFalse)
		convey.So(d.Admits(at, start.Add(6*time.Second)), convey.ShouldBeTrue)
	})
}
