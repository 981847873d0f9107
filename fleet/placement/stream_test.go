package placement_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestStreamStaysAtItsVersion guards against an interrupted stream that is resumed at a target of
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

// resume returns a call for the rest of a stream with the given origin, which may be nil.
func (f *fixture) resume(key placement.PartID, origin *fleet.StreamOrigin) placement.Call {
	c := f.call("/summary/1", prompt(key, 500))
	c.Resuming, c.Resumes, c.Origin = true, "r-0", origin
	return c
}

// TestResumedStreamGoesToItsOrigin guards against a stream that a caller resumes and that is
// continued by another software version or service (issue 26).
func TestResumedStreamGoesToItsOrigin(t *testing.T) {
	origin := func(service fleet.ServiceName, version fleet.SoftwareVersion) *fleet.StreamOrigin {
		return &fleet.StreamOrigin{Stream: "r-0", Service: service, Version: version}
	}
	convey.Convey("Every attempt goes to a target of the version that began the stream", t, func() {
		for key := placement.PartID(1); key <= 50; key++ {
			f := newFixture(t, "router-0", 1, mixedVersions(6, 3)...)
			s := sendOf(f.apply(placement.CallArrived{Call: f.resume(key, origin(drafterService, "v1"))}))
			convey.So(s.SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
			convey.So(sendOf(f.end(s, placement.Broken)).SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
		}
	})
	convey.Convey("A stream is refused at once", t, func() {
		f := newFixture(t, "router-0", 1, mixedVersions(6, 3)...)
		for name, c := range map[string]struct {
			origin *fleet.StreamOrigin
			reason fleet.Reason
		}{
			"if its origin is unknown":                    {nil, fleet.ReasonStreamUnknown},
			"if its route leads to another service":       {origin(deskService, "v1"), fleet.ReasonStreamUnknown},
			"if no target runs the version that began it": {origin(drafterService, "v0"), fleet.ReasonNoTarget},
		} {
			convey.Convey(name, func() {
				refuse, ok := f.apply(placement.CallArrived{Call: f.resume(1, c.origin)}).(placement.Refuse)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(refuse.Reason, convey.ShouldEqual, c.reason)
				convey.So(refuse.RetryAfter, convey.ShouldBeGreaterThan, 0)
			})
		}
	})
	// A router that was restarted or cut off may know one version only while there are others.
	convey.Convey("A stream that its caller does not name is refused without an origin, though all known targets have one version", t, func() {
		for _, old := range []int{0, 3, 6} {
			f := newFixture(t, "router-0", 1, mixedVersions(6, old)...)
			c := f.resume(1, nil)
			c.Resumes = ""
			refuse, ok := f.apply(placement.CallArrived{Call: c}).(placement.Refuse)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(refuse.Reason, convey.ShouldEqual, fleet.ReasonStreamUnknown)
		}
	})
	convey.Convey("It is served at the version that its service has had alone", t, func() {
		for old, want := range map[int]string{0: "placement.Refuse", 3: "placement.Send", 6: "placement.Send"} {
			f := newFixture(t, "router-0", 1, mixedVersions(6, old)...)
			c := f.resume(1, &fleet.StreamOrigin{Service: drafterService, Version: "v1"})
			c.Resumes = ""
			effect := f.apply(placement.CallArrived{Call: c})
			convey.So(fmt.Sprintf("%T", effect), convey.ShouldEqual, want)
			if s, ok := effect.(placement.Send); ok {
				convey.So(s.SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
			}
		}
	})
	convey.Convey("The origin of a stream is shared once, at its first event", t, func() {
		f := newFixture(t, "router-0", 1, mixedVersions(6, 3)...)
		s := sendOf(f.ask("/summary/1", prompt(1, 500)))
		begun, ok := f.begin(s).(placement.StreamBegun)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(begun.StreamOrigin, convey.ShouldResemble, fleet.StreamOrigin{Stream: "r-1", Service: drafterService, Version: s.SoftwareVersion})
		convey.So(f.begin(sendOf(f.end(s, placement.Broken))), convey.ShouldBeNil)
		resumed := sendOf(f.apply(placement.CallArrived{Call: f.resume(1, origin(drafterService, "v1"))}))
		convey.So(f.begin(resumed), convey.ShouldBeNil)
	})
}
