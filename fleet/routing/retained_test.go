package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestRetained(t *testing.T) {
	convey.Convey("A new lease holder gets the state that its predecessor had routers retain", t, func() {
		b := newFixture()
		m := b.grantsMessage()
		m.Served = []fleet.ServedTotal{{Customer: "y", Service: "model", Counter: 3}, {Customer: "x", Service: "model", Counter: 2}}
		m.Quarantined = []fleet.Quarantine{{Content: "bad", For: time.Minute}, {Content: "short", For: time.Second}}
		m.Suspects = []fleet.Suspect{{Content: "sus", For: time.Minute}, {Content: "cleared", For: time.Minute}}
		m.Limits = []fleet.TargetLimit{{Target: "t", Limit: 4, Revision: 2}, {Target: "t", Limit: 1, Revision: 1}}
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		m = b.grantsMessage()
		m.Suspects = []fleet.Suspect{{Content: "cleared"}}
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		b.advance(10 * time.Second)
		m = b.grantsMessage()
		m.Epoch = 2
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		b.advance(ReportInterval)
		rep := b.r.fullReport(b.now)
		convey.So(rep.Served, convey.ShouldResemble, []fleet.ServedTotal{{Customer: "x", Service: "model", Counter: 2}, {Customer: "y", Service: "model", Counter: 3}})
		convey.So(rep.Quarantined, convey.ShouldHaveLength, 1)
		convey.So(rep.Quarantined[0].For, convey.ShouldBeBetween, 49*time.Second, 51*time.Second)
		convey.So(rep.Suspects, convey.ShouldHaveLength, 1)
		convey.So(rep.Limits, convey.ShouldResemble, []fleet.TargetLimit{{Target: "t", Limit: 4, Revision: 2}})
	})
}
