package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestRetained(t *testing.T) {
	convey.Convey("A new lease holder gets back what its predecessor told to remember", t, func() {
		b := newBench()
		m := b.message()
		m.Served = []fleet.ServedTotal{{Customer: "y", Service: "model", Counter: 3}, {Customer: "x", Service: "model", Counter: 2}}
		m.Quarantined = []fleet.Quarantine{{Content: "bad", For: time.Minute}, {Content: "short", For: time.Second}}
		m.Suspects = []fleet.Suspect{{Content: "sus", For: time.Minute}, {Content: "cleared", For: time.Minute}}
		m.Limits = []fleet.TargetLimit{{Target: "t", Limit: 4, Revision: 2}, {Target: "t", Limit: 1, Revision: 1}}
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		m = b.message()
		m.Suspects = []fleet.Suspect{{Content: "cleared"}}
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		b.pass(10 * time.Second)
		m = b.message()
		m.Epoch = 2
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		b.pass(ReportInterval)
		rep := b.r.fullReport(b.now)
		convey.So(rep.Served, convey.ShouldResemble, []fleet.ServedTotal{{Customer: "x", Service: "model", Counter: 2}, {Customer: "y", Service: "model", Counter: 3}})
		convey.So(rep.Quarantined, convey.ShouldHaveLength, 1)
		convey.So(rep.Quarantined[0].For, convey.ShouldBeBetween, 49*time.Second, 51*time.Second)
		convey.So(rep.Suspects, convey.ShouldHaveLength, 1)
		convey.So(rep.Limits, convey.ShouldResemble, []fleet.TargetLimit{{Target: "t", Limit: 4, Revision: 2}})
	})
}

// standing sets standing grants for one target and lets the dispatcher fall silent.
func standingBench(m func(m *fleet.DispatcherGrants)) *bench {
	b := newBench()
	msg := b.message()
	msg.Validity = 10 * time.Second
	msg.StandingSet = true
	msg.Standing = []fleet.StandingGrant{{ID: "s", Service: "model", Target: "t", Incarnation: 1, Address: testAddress, Slots: 2}}
	m(&msg)
	b.do(GrantsReceived{Peer: testPeers[0], Message: msg})
	return b
}

// startedOnStanding accepts a request in the silence of the dispatcher and says
// whether it was started.
func (b *bench) startedOnStanding() bool {
	b.accept("r")
	for range 100 {
		b.pass(10 * time.Millisecond)
		if _, ok := found[StartSend](b); ok {
			return true
		}
	}
	return false
}

func TestStandingGrants(t *testing.T) {
	convey.Convey("A request is started on a standing grant while the dispatcher is silent", t, func() {
		b := standingBench(func(*fleet.DispatcherGrants) {})
		convey.So(b.startedOnStanding(), convey.ShouldBeTrue)
		convey.So(b.now.Sub(testStart), convey.ShouldBeLessThan, DispatcherTimeout+50*time.Millisecond)
	})
	convey.Convey("A request that may crash targets is not", t, func() {
		b := standingBench(func(m *fleet.DispatcherGrants) { m.Suspects = []fleet.Suspect{{Content: "c", For: time.Minute}} })
		convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
	})
	convey.Convey("A barred request is refused at once", t, func() {
		b := standingBench(func(m *fleet.DispatcherGrants) { m.Quarantined = []fleet.Quarantine{{Content: "c", For: time.Minute}} })
		b.accept("r")
		f, ok := found[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonQuarantined)
		convey.So(f.Failure.RetryAfter, convey.ShouldEqual, time.Minute)
	})
	convey.Convey("A target in a data centre that is out gets nothing", t, func() {
		b := standingBench(func(*fleet.DispatcherGrants) {})
		b.do(TargetAnnounced{Announcement: fleet.Announcement{Target: "t", Incarnation: 1, Sequence: 1, DataCentre: "b", State: fleet.TargetServing}})
		cfg := testConfig(2)
		cfg.DataCentresOut["b"] = true
		b.do(ConfigConfirmed{Config: cfg, NotAfter: b.now.Add(time.Hour)})
		convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
	})
	convey.Convey("A target that leaves, restarted or fell silent gets nothing", t, func() {
		for _, a := range []fleet.Announcement{
			{Incarnation: 1, State: fleet.TargetLeaving},
			{Incarnation: 2, State: fleet.TargetServing},
		} {
			b := standingBench(func(*fleet.DispatcherGrants) {})
			a.Target, a.Sequence = "t", 1
			b.do(TargetAnnounced{Announcement: a})
			convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
		}
	})
}
