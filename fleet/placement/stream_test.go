package placement_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestStreamStaysAtItsVersion guards against a stream that breaks off and goes on at a target of
// another software version, whose events do not continue it (issue 26).
func TestStreamStaysAtItsVersion(t *testing.T) {
	convey.Convey("A stream that has begun is resumed at a target of the version that began it", t, func() {
		for key := placement.PartID(1); key <= 50; key++ {
			f := newFixture(t, "router-0", 1, mixedVersions(6, 3)...)
			s := sendOf(f.ask("/summary/1", prompt(key, 500)))
			f.begin(s)
			resumed := sendOf(f.end(s, placement.Broken))
			convey.So(resumed.SoftwareVersion, convey.ShouldEqual, s.SoftwareVersion)
		}
	})
	convey.Convey("A stream that has not begun may be sent to any version, even after a failure response", t, func() {
		for _, outcome := range []placement.Outcome{placement.Broken, placement.FailedAnswer} {
			f := newFixture(t, "router-0", 1, mixedVersions(2, 1)...)
			s := sendOf(f.ask("/summary/1", prompt(1, 500)))
			if outcome == placement.FailedAnswer {
				f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			}
			convey.So(sendOf(f.end(s, outcome)).SoftwareVersion, convey.ShouldNotEqual, s.SoftwareVersion)
		}
	})
	convey.Convey("A stream ends if no other target has its version, even if a new one has its id", t, func() {
		f := newFixture(t, "router-0", 1, mixedVersions(4, 1)...)
		var s placement.Send
		for key := placement.PartID(1); s.SoftwareVersion != "v1"; key++ {
			s = sendOf(f.ask("/summary/1", prompt(key, 500)))
		}
		restarted := mixedVersions(1, 0)[0]
		restarted.Incarnation = 2
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{restarted}}})
		f.begin(s)
		giveUp, ok := f.end(s, placement.Broken).(placement.GiveUp)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(giveUp.Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
	})
}
