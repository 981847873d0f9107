package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestLeavingTargetThatWasForgotten guards against requests to a target that left during a
// partition, was dropped because it was silent, and announces itself again.
func TestLeavingTargetThatWasForgotten(t *testing.T) {
	convey.Convey("A target that left is not used when it announces itself again in the same incarnation", t, func() {
		a := announcement(deskService, 0)
		f := newFixture(t, "router-0", 1, a)
		s := sendOf(f.ask("/file/1", placement.Prompt{}))
		f.apply(placement.ResponseReceived{Target: s.Target, Incarnation: s.Incarnation, Leaving: true})
		f.end(s, placement.Answered)
		f.now = f.now.Add(10 * time.Second)
		f.apply(placement.Tick{})
		convey.So(f.TargetCounts(f.now), convey.ShouldResemble, map[string]int{"Gone": 1})
		a.Sequence++
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{a}}})
		convey.So(f.TargetCounts(f.now), convey.ShouldResemble, map[string]int{"Leaving": 1})
		convey.So(f.ask("/file/2", placement.Prompt{}).(placement.Refuse).Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
		a.Incarnation++
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{a}}})
		sendOf(f.ask("/file/3", placement.Prompt{}))
	})
}
