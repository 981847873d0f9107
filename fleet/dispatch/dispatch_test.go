package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestGrantWithinLimit(t *testing.T) {
	convey.Convey("A new target gets one request, and two after the first completed", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{newTicket("a", "c00"), newTicket("b", "c01"), newTicket("c", "c02")}})
		first := f.grants()
		convey.So(len(first), convey.ShouldEqual, 1)
		convey.So(first[0].Ticket, convey.ShouldEqual, fleet.TicketID("a"))
		f.end("r2", first[0], fleet.OutcomeCompleted, 10)
		convey.So(len(f.grants()), convey.ShouldEqual, 2)
	})
}

// warm raises a target's limit to its announced slots.
func (f *fixture) warm(id fleet.TargetID) {
	t := f.r.targets[id]
	t.limiter.limit = t.last.Slots
	f.r.refresh(t)
}

func tickets(n int, customer fleet.CustomerName) []fleet.Ticket {
	list := make([]fleet.Ticket, 0, n)
	for i := range n {
		list = append(list, newTicket(fmt.Sprintf("%s-%d", customer, i), customer))
	}
	return list
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *fixture)
		ticket  func(t *fleet.Ticket)
		wait    time.Duration
		want    fleet.Reason
		retry   time.Duration
	}{
		{"no target of the service", func(*fixture) {}, func(*fleet.Ticket) {}, 0, fleet.ReasonNoTarget, longRetryAfter},
		{"service without a target that it depends on", func(f *fixture) {
			f.target("p1", "permit-desk", "riga-a", 4)
		}, func(t *fleet.Ticket) { t.Service = "permit-desk" }, 0, fleet.ReasonDependencyDown, longRetryAfter},
		{"all targets missing", func(f *fixture) {
			f.target("t1", "drafter", "riga-a", 4)
			f.announced = map[fleet.TargetID]*fleet.Announcement{}
			f.advance(3 * time.Second)
		}, func(*fleet.Ticket) {}, 0, fleet.ReasonNoTarget, longRetryAfter},
		{"all targets out of service", func(f *fixture) {
			f.target("t1", "drafter", "riga-a", 4)
			f.config.Version, f.config.DataCentresOut = 2, map[fleet.DataCentreName]bool{"riga-a": true}
			f.confirm()
		}, func(*fleet.Ticket) {}, 0, fleet.ReasonNoTarget, longRetryAfter},
		{"unknown service", func(*fixture) {}, func(t *fleet.Ticket) { t.Service = "nobody" }, 0, fleet.ReasonUnknownService, 0},
		{"no slot in time", func(f *fixture) {
			f.target("t1", "drafter", "riga-a", 1)
			f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{newTicket("first", "c00")}})
		}, func(t *fleet.Ticket) { t.Patience = time.Second }, 2 * time.Second, fleet.ReasonQueueTimeout, shortRetryAfter},
		{"too many at one router", func(f *fixture) {
			f.target("t1", "drafter", "riga-a", 1)
			f.config.Fleet.Policy.QueuePerRouter = 2
			f.report("r2", fleet.RouterReport{Tickets: tickets(1, "c02")})
			f.report("r2", fleet.RouterReport{Tickets: tickets(2, "c00")})
		}, func(*fleet.Ticket) {}, 0, fleet.ReasonHostQueueFull, shortRetryAfter},
	}
	for _, tt := range tests {
		convey.Convey(tt.name+" refuses with a reason and when to come back", t, func() {
			f := newFixture(Config{})
			f.advance(fleet.TargetMissingAfter)
			tt.prepare(f)
			f.takeSent()
			m := newTicket("x", "c01")
			tt.ticket(&m)
			f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{m}})
			f.advance(tt.wait)
			refused := f.refusals()
			convey.So(len(refused), convey.ShouldEqual, 1)
			convey.So(refused[0].Ticket, convey.ShouldEqual, fleet.TicketID("x"))
			convey.So(refused[0].Reason, convey.ShouldEqual, tt.want)
			convey.So(refused[0].RetryAfter, convey.ShouldEqual, tt.retry)
		})
	}
}

func TestPlacement(t *testing.T) {
	convey.Convey("Among free slots the caller's data centre comes first, then the prefix", t, func() {
		f := newFixture(Config{})
		for _, id := range []fleet.TargetID{"a1", "a2"} {
			f.target(id, "drafter", "riga-a", 4)
			f.warm(id)
		}
		f.target("b1", "drafter", "riga-b", 4)
		f.warm("b1")
		f.announced["a2"].Prefixes = []fleet.PrefixHash{7}
		f.announced["b1"].Prefixes = []fleet.PrefixHash{8}
		f.report("r1", fleet.RouterReport{})
		f.takeSent()
		place := func(id string, dc fleet.DataCentreName, p fleet.PrefixHash) fleet.TargetID {
			m := newTicket(id, "c00")
			m.DataCentre, m.Prefix = dc, p
			f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{m}})
			return f.grants()[0].Target
		}
		convey.So(place("1", "riga-a", 7), convey.ShouldEqual, fleet.TargetID("a2"))
		convey.So(place("2", "riga-a", 8), convey.ShouldEqual, fleet.TargetID("a1"))
		convey.So(place("3", "riga-b", 0), convey.ShouldEqual, fleet.TargetID("b1"))
		for i := range 6 {
			place(fmt.Sprintf("fill-%d", i), "riga-a", 0)
		}
		convey.So(place("4", "riga-a", 0), convey.ShouldEqual, fleet.TargetID("b1"))
	})
	convey.Convey("A better placed ticket is granted first if its customer is within the slack", t, func() {
		f := newFixture(Config{})
		f.config.Fleet.Policy.PlacementSlack = 50
		f.target("b1", "drafter", "riga-b", 1)
		f.target("a1", "drafter", "riga-a", 1)
		f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{newTicket("1", "c00"), newTicket("2", "c00")}})
		held := f.grants()
		// Two customers wait: the one with the least counter in riga-a, another within the
		// slack in riga-b.
		other := newTicket("y", "c04")
		other.DataCentre = "riga-b"
		f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{newTicket("x", "c02"), other}})
		for _, g := range held {
			if g.Target == "b1" {
				f.end("r2", g, fleet.OutcomeCompleted, 10)
			}
		}
		convey.So(f.grants()[0].Ticket, convey.ShouldEqual, fleet.TicketID("y"))
	})
}

func TestReturnIsRamped(t *testing.T) {
	convey.Convey("The load on a data centre back in service is ramped up over the policy's ReturnRamp", t, func() {
		f := newFixture(Config{})
		f.target("a1", "drafter", "riga-a", 10)
		f.target("b1", "drafter", "riga-b", 10)
		f.warm("a1")
		f.warm("b1")
		f.config.Version, f.config.DataCentresOut = 2, map[fleet.DataCentreName]bool{"riga-b": true}
		f.confirm()
		f.config.Version, f.config.DataCentresOut = 3, map[fleet.DataCentreName]bool{}
		f.confirm()
		many := tickets(30, "c00")
		f.report("r2", fleet.RouterReport{Tickets: many})
		convey.So(len(f.grants()), convey.ShouldEqual, 11)
		f.advance(5 * time.Second)
		convey.So(len(f.grants()), convey.ShouldBeBetweenOrEqual, 3, 5)
		f.advance(6 * time.Second)
		convey.So(f.r.targets["b1"].granted, convey.ShouldEqual, fleet.Slots(10))
	})
}

func TestCostOverMaxIsChargedInFull(t *testing.T) {
	convey.Convey("A request beyond the largest cost is charged in full and counted", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.report("r2", fleet.RouterReport{Tickets: tickets(1, "c00")})
		f.end("r2", f.grants()[0], fleet.OutcomeCompleted, 5000)
		convey.So(f.r.services["drafter"].customers["c00"].served, convey.ShouldEqual, fleet.Cost(5000))
		convey.So(f.r.overMaxCost, convey.ShouldEqual, 1)
		convey.So(f.r.services["drafter"].largestCost, convey.ShouldEqual, fleet.Cost(5000))
	})
}

func TestPassiveForgetsWhatOthersGranted(t *testing.T) {
	convey.Convey("A dispatcher without the lease drops the tickets that the holder granted", t, func() {
		f := newFixture(Config{})
		f.event(LeaseLost{})
		f.report("r2", fleet.RouterReport{Tickets: tickets(2, "c00")})
		f.report("r2", fleet.RouterReport{Ended: []fleet.GrantEnd{{Grant: "other", Ticket: "c00-0", Outcome: fleet.OutcomeCompleted}}})
		convey.So(len(f.r.routers["r2"].tickets), convey.ShouldEqual, 1)
		f.advance(31 * time.Second)
		convey.So(f.r.routers["r2"].tickets, convey.ShouldBeEmpty)
		convey.So(f.takeSent(), convey.ShouldBeEmpty)
	})
}

func TestLateReportOfCrashIsJudged(t *testing.T) {
	convey.Convey("A request is quarantined even if its broken attempts are reported after the targets went missing", t, func() {
		f := newFixture(Config{})
		for _, id := range []fleet.TargetID{"t1", "t2", "t3"} {
			f.target(id, "drafter", "riga-a", 1)
		}
		m := newTicket("x", "c00")
		for attempt := 1; attempt <= 2; attempt++ {
			m.ID, m.Attempt = fleet.TicketID(fmt.Sprintf("x.%d", attempt)), attempt
			f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{m}})
			f.advance(50 * time.Millisecond)
			granted := f.grants()
			convey.So(len(granted), convey.ShouldEqual, 1)
			// The target goes missing long before the router stops resuming the answer.
			delete(f.announced, granted[0].Target)
			f.advance(3 * time.Second)
			f.end("r2", granted[0], fleet.OutcomeBroken, 1)
		}
		f.takeSent()
		m.ID, m.Attempt = "x.3", 3
		f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{m}})
		refused := f.refusals()
		convey.So(len(refused), convey.ShouldEqual, 1)
		convey.So(refused[0].Reason, convey.ShouldEqual, fleet.ReasonQuarantined)
	})
}

func TestSuspectGoesOnAfterDeadTarget(t *testing.T) {
	convey.Convey("A suspect whose next attempt breaks at the same dead target is retried elsewhere", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.warm("t1")
		m := newTicket("x", "c00")
		attempt := func(n int) []fleet.Grant {
			m.ID, m.Attempt = fleet.TicketID(fmt.Sprintf("x.%d", n)), n
			f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{m}})
			f.advance(300 * time.Millisecond)
			return f.grants()
		}
		granted := attempt(1)
		delete(f.announced, "t1")
		f.end("r2", granted[0], fleet.OutcomeBroken, 1)
		granted = attempt(2)
		convey.So(granted[0].Target, convey.ShouldEqual, fleet.TargetID("t1"))
		f.end("r2", granted[0], fleet.OutcomeBroken, 1)
		f.target("t2", "drafter", "riga-a", 1)
		convey.So(attempt(3)[0].Target, convey.ShouldEqual, fleet.TargetID("t2"))
	})
}
