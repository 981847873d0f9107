package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// newStandingFixture sends standing grants for one target, in a message that m may change. No
// message follows it, so later reports remain unanswered.
func newStandingFixture(m func(m *fleet.DispatcherGrants)) *fixture {
	b := newFixture()
	msg := b.grantsMessage()
	msg.Validity = 10 * time.Second
	msg.StandingSet = true
	msg.Standing = []fleet.StandingGrant{{ID: "s", Service: "model", Target: "t", Incarnation: 1, Address: testAddress, Slots: 2}}
	m(&msg)
	b.reduce(GrantsReceived{Peer: testPeers[0], Message: msg})
	return b
}

// startedOnStanding accepts a request while the dispatcher does not answer, and reports
// whether it is started within a second.
func (b *fixture) startedOnStanding() bool {
	b.accept("r")
	for range 100 {
		b.advance(10 * time.Millisecond)
		if _, ok := findEffect[StartSend](b); ok {
			return true
		}
	}
	return false
}

func TestStandingGrants(t *testing.T) {
	convey.Convey("A request is started on a standing grant while the dispatcher does not answer", t, func() {
		b := newStandingFixture(func(*fleet.DispatcherGrants) {})
		convey.So(b.startedOnStanding(), convey.ShouldBeTrue)
		convey.So(b.now.Sub(testStart), convey.ShouldBeLessThan, DispatcherTimeout+50*time.Millisecond)
	})
	convey.Convey("A suspect request is not started on a standing grant", t, func() {
		b := newStandingFixture(func(m *fleet.DispatcherGrants) { m.Suspects = []fleet.Suspect{{Content: "c", For: time.Minute}} })
		convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
	})
	convey.Convey("A quarantined request is refused at once", t, func() {
		b := newStandingFixture(func(m *fleet.DispatcherGrants) { m.Quarantined = []fleet.Quarantine{{Content: "c", For: time.Minute}} })
		b.accept("r")
		f, ok := findEffect[AnswerFailure](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(f.Failure.Reason, convey.ShouldEqual, fleet.ReasonQuarantined)
		convey.So(f.Failure.RetryAfter, convey.ShouldEqual, time.Minute)
	})
	convey.Convey("A target in a data centre that is out gets no request", t, func() {
		b := newStandingFixture(func(*fleet.DispatcherGrants) {})
		b.reduce(TargetAnnounced{Announcement: fleet.Announcement{Target: "t", Incarnation: 1, Sequence: 1, DataCentre: "b", State: fleet.TargetServing}})
		cfg := testConfig(2)
		cfg.DataCentresOut["b"] = true
		b.reduce(ConfigConfirmed{Config: cfg, NotAfter: b.now.Add(time.Hour)})
		convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
	})
	convey.Convey("A target that is leaving or has restarted gets no request", t, func() {
		for _, a := range []fleet.Announcement{
			{Incarnation: 1, State: fleet.TargetLeaving},
			{Incarnation: 2, State: fleet.TargetServing},
		} {
			b := newStandingFixture(func(*fleet.DispatcherGrants) {})
			a.Target, a.Sequence = "t", 1
			b.reduce(TargetAnnounced{Announcement: a})
			convey.So(b.startedOnStanding(), convey.ShouldBeFalse)
		}
	})
}
