package forward_test

import (
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// announce passes on an announcement of a fixture's only target.
func (f *fixture) announce(target *fakeTarget, inc fleet.Incarnation, seq fleet.Sequence) {
	f.forwarder.Reduce(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: fleet.Announcement{
		Target: "t-0", Incarnation: inc, Sequence: seq, Service: "desk", DataCentre: "a", Address: target.address(), Slots: 4, State: fleet.TargetServing,
	}}}}})
}

// TestTargetThatStatesThatItLeaves guards against requests to a target that has said in a response
// that it leaves, by a router that has not learnt so from its announcements.
func TestTargetThatStatesThatItLeaves(t *testing.T) {
	leaving := map[string]string{
		"an answer":          "200 OK\r\nLeaving: 1\r\nStamp: s",
		"a failure":          "500 Internal Server Error\r\nLeaving: 1\r\nStamp: s",
		"a declined request": "503 Service Unavailable\r\nLeaving: 1\r\nNot-Run: 1",
	}
	for name, head := range leaving {
		convey.Convey("A target that says in "+name+" that it leaves gets nothing until its next incarnation", t, func() {
			target := newFakeTarget(respond(head, "Content-Length: 0\r\n", ""), respondOK("x"), respondOK("x"))
			f := newFixture(deployment.KindAtMostOnce, 1, false, target)
			_, _, err := f.post("id-1", "")
			convey.So(err, convey.ShouldBeNil)
			for seq := range fleet.Sequence(3) {
				status, _, err := f.post("id-2", "")
				convey.So(err, convey.ShouldBeNil)
				convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
				convey.So(target.count(), convey.ShouldEqual, 1)
				f.announce(target, 1, 2+seq)
			}
			f.announce(target, 2, 1)
			status, _, err := f.post("id-3", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
		})
	}
}
