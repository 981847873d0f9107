package forward_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// sharedPrompt is a prompt with a long part that other requests share.
var sharedPrompt = placement.Prompt{Tokens: 10_100, Parts: []placement.PromptPart{{ID: 1, Tokens: 10_000}, {ID: 2, Tokens: 100}}}

// copyFrom sends a request with sharedPrompt to one of two targets with the engine. It returns the
// source that the target was told, and the address of the other target.
func copyFrom(engine *deployment.Engine, afterChoice func(f *fixture, other fleet.TargetID)) (source, other string) {
	a, b := newFakeTarget(respondOK("x")), newFakeTarget(respondOK("x"))
	hook := &sendHook{}
	f := newFixtureWith(fixtureOptions{engine: engine, log: hook}, deployment.KindAtMostOnce, 1, false, a, b)
	hook.onChoice = func(chosen fleet.TargetID) {
		afterChoice(f, map[fleet.TargetID]fleet.TargetID{"t-0": "t-1", "t-1": "t-0"}[chosen])
	}
	f.prompt = sharedPrompt
	_, _, err := f.post("id-1", "")
	convey.So(err, convey.ShouldBeNil)
	convey.So(a.count()+b.count(), convey.ShouldEqual, 1)
	if a.count() == 0 {
		a, b = b, a
	}
	return a.requests[0].Header.Get("Copy-From"), fmt.Sprint(b.address())
}

// TestCopyFrom guards against requests that do not tell their target where to fetch the shared part
// from, or that tell a target without that capability.
func TestCopyFrom(t *testing.T) {
	fast := &deployment.Engine{Slots: 4, CacheBytesPerToken: 18_432, LinkMbps: 370_000}
	convey.Convey("A request names the other owner of its shared part", t, func() {
		source, other := copyFrom(fast, func(*fixture, fleet.TargetID) {})
		convey.So(source, convey.ShouldEqual, other)
	})
	convey.Convey("A request to an engine that does not fetch parts names none", t, func() {
		source, _ := copyFrom(&deployment.Engine{Slots: 4, CacheBytesPerToken: 18_432}, func(*fixture, fleet.TargetID) {})
		convey.So(source, convey.ShouldBeEmpty)
	})
	convey.Convey("A source that has ended before the request is written is not named", t, func() {
		source, _ := copyFrom(fast, func(f *fixture, other fleet.TargetID) {
			f.forwarder.Reduce(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Ended: []fleet.TargetEnd{{Target: other, Incarnation: 1}}}})
		})
		convey.So(source, convey.ShouldBeEmpty)
	})
}
