package dispatch

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestDoubtAfterReportedEnd(t *testing.T) {
	convey.Convey("The slot of a broken attempt is freed once the target's next lists of running requests omit it", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.warm("t1")
		f.report("r1", fleet.RouterReport{Tickets: tickets(1, "c00")})
		granted := f.grants()
		convey.So(granted, convey.ShouldHaveLength, 1)
		f.end("r1", granted[0], fleet.OutcomeBroken, 10)
		convey.So(f.r.targets["t1"].granted, convey.ShouldEqual, 1)
		f.advance((relayMargin + 1) * fleet.AnnounceInterval)
		convey.So(f.r.targets["t1"].granted, convey.ShouldEqual, 0)
	})
}

func TestRunningIsAskedForWhileInDoubt(t *testing.T) {
	convey.Convey("A router that relays heartbeats is asked for the announcement that resolves a doubt", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.report("r1", fleet.RouterReport{Tickets: tickets(1, "c00")})
		granted := f.grants()
		f.end("r1", granted[0], fleet.OutcomeUnknown, 10)
		alive := *f.announced["t1"]
		f.announced = nil
		for range 4 {
			f.advance(fleet.AnnounceInterval)
			alive.Sequence++
			f.report("r1", fleet.RouterReport{Alive: []fleet.TargetAlive{{Target: "t1", Incarnation: 1, Sequence: alive.Sequence}}})
		}
		asked := false
		for _, m := range f.takeSent() {
			asked = asked || len(m.AskTargets) == 1 && m.AskTargets[0] == "t1"
		}
		convey.So(asked, convey.ShouldBeTrue)
		convey.So(f.r.targets["t1"].granted, convey.ShouldEqual, 1)
		alive.Sequence++
		f.report("r1", fleet.RouterReport{Targets: []fleet.Announcement{alive}})
		convey.So(f.r.targets["t1"].granted, convey.ShouldEqual, 0)
	})
	convey.Convey("A heartbeat of an unknown target is answered with a request for its announcement", t, func() {
		f := newFixture(Config{})
		f.report("r1", fleet.RouterReport{Alive: []fleet.TargetAlive{{Target: "t9", Incarnation: 1, Sequence: 3}}})
		convey.So(f.takeSent()[0].AskTargets, convey.ShouldResemble, []fleet.TargetID{"t9"})
	})
}

func TestLeastCounterGoesFirst(t *testing.T) {
	convey.Convey("A grant before a customer with a lower counter violates the invariant", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.warm("t1")
		f.advance(time.Second)
		f.r.targets["t1"].limiter.limit = 0
		f.r.refresh(f.r.targets["t1"])
		f.report("r1", fleet.RouterReport{Tickets: append(tickets(1, "c00"), tickets(1, "c02")...)})
		s := f.r.service("drafter")
		first, other := s.backlog.items[0], s.backlog.items[1]
		first.counter = other.counter + 1000*counterScale
		f.warm("t1")
		violated := func() (found bool) {
			defer func() { found = recover() != nil }()
			f.r.mayGrant(first.queue.Min(), f.r.targets["t1"])
			return false
		}
		s.backlog.items[0], s.backlog.items[1] = other, first
		convey.So(violated(), convey.ShouldBeTrue)
	})
}
