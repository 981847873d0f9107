package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

func TestSharedPartStaysWithItsOwner(t *testing.T) {
	convey.Convey("All routers send a shared part to the same target, and few parts move when a target is added", t, func() {
		owners := map[placement.PartID]fleet.TargetID{}
		for i := range 4 {
			f := newFixture(t, hosts(4)[i], 4, announcements(drafterService, 9)...)
			for key := placement.PartID(1); key <= 50; key++ {
				s := sendOf(f.ask("/plan/1", prompt(key, 500)))
				if i == 0 {
					owners[key] = s.Target
				}
				convey.So(s.Target, convey.ShouldEqual, owners[key])
				f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
				f.end(s, placement.Answered)
			}
		}
		f := newFixture(t, "router-0", 4, announcements(drafterService, 10)...)
		moved := 0
		for key, owner := range owners {
			s := sendOf(f.ask("/plan/1", prompt(key, 500)))
			if s.Target != owner {
				convey.So(s.Target, convey.ShouldEqual, fleet.TargetID("drafter-9"))
				moved++
			}
			f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			f.end(s, placement.Answered)
		}
		convey.So(moved, convey.ShouldBeLessThan, 15)
	})
}

func TestLeavingAndOutTargetsGetNothing(t *testing.T) {
	convey.Convey("No request goes to a target that is leaving, has ended, or is in a data centre that is out", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 6)...)
		leaving := announcement(drafterService, 0)
		leaving.Sequence, leaving.State = 2, fleet.TargetLeaving
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{
			Announced: []fleet.AgedAnnouncement{leaving}, Ended: []fleet.TargetEnd{{Target: "drafter-1"}},
		}})
		f.apply(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{"c"}})
		for key := placement.PartID(1); key <= 100; key++ {
			s := sendOf(f.ask("/plan/1", prompt(key, 500)))
			convey.So([]fleet.TargetID{"drafter-3", "drafter-4"}, convey.ShouldContain, s.Target)
			f.end(s, placement.Answered)
		}
		convey.Convey("and a request is refused at once when no target is left", func() {
			f.apply(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{"a", "b", "c"}})
			refuse, ok := f.ask("/plan/1", prompt(1, 500)).(placement.Refuse)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(refuse.Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
			convey.So(refuse.RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
	})
}

func TestSilentTarget(t *testing.T) {
	convey.Convey("A target without announcements gets no requests, unless it answers requests or no announcements reach the router", t, func() {
		f := newFixture(t, "router-0", 1, announcements(deskService, 2)...)
		f.now = f.now.Add(7 * time.Second)
		f.apply(placement.PeersChanged{Routers: hosts(1), Listening: false})
		f.apply(placement.Tick{})
		s := sendOf(f.ask("/file/1", placement.Prompt{}))
		f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
		f.end(s, placement.Answered)
		f.apply(placement.PeersChanged{Routers: hosts(1), Listening: true})
		f.apply(placement.Tick{})
		for range 5 {
			next := sendOf(f.ask("/file/1", placement.Prompt{}))
			convey.So(next.Target, convey.ShouldEqual, s.Target)
			f.end(next, placement.Answered)
		}
	})
}

func TestColdTargetsOverAllRouters(t *testing.T) {
	for _, routers := range []int{1, 8, 55, 73} {
		convey.Convey(fmt.Sprintf("%d routers together stay within a cold target's limit", routers), t, func() {
			cold := announcement(drafterService, 0)
			cold.ColdFor = 3 * time.Second
			var fixtures []*fixture
			for i := range routers {
				fixtures = append(fixtures, newFixture(t, hosts(routers)[i], routers, cold))
			}
			var sent []time.Time
			for step := range 300 {
				for _, f := range fixtures {
					f.now = start.Add(time.Duration(step) * 10 * time.Millisecond)
					if s, ok := f.ask("/plan/1", prompt(placement.PartID(step), 100)).(placement.Send); ok {
						sent = append(sent, f.now)
						f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
						f.end(s, placement.Answered)
					}
				}
			}
			convey.So(sent, convey.ShouldNotBeEmpty)
			most := 0
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Sub(sent[i]) < time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			// The limit is ColdRate (6 a second) times Overshoot (1.5) plus Slack (5).
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, 14)
		})
	}
}

func TestReturnedDataCentreIsCold(t *testing.T) {
	convey.Convey("Targets count as cold for ColdFor after their data centre returns", t, func() {
		f := newFixture(t, "router-0", 8, announcements(drafterService, 1)...)
		f.apply(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{"a"}})
		f.apply(placement.DataCentresOutChanged{})
		sent := 0
		for range 50 {
			if s, ok := f.ask("/plan/1", prompt(1, 100)).(placement.Send); ok {
				sent++
				f.end(s, placement.Answered)
			}
		}
		convey.So(sent, convey.ShouldBeLessThanOrEqualTo, 2)
		f.now = f.now.Add(3100 * time.Millisecond)
		sendOf(f.ask("/plan/1", prompt(1, 100)))
	})
}

func TestAtMostOnce(t *testing.T) {
	convey.Convey("A call that may have run is sent again only if its route permits", t, func() {
		f := newFixture(t, "router-0", 1, announcements(deskService, 3)...)
		s := sendOf(f.ask("/file/1", placement.Prompt{}))
		g, ok := f.end(s, placement.Broken).(placement.GiveUp)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(g.NotRun, convey.ShouldBeFalse)
		convey.Convey("a call that reached no target goes to another one", func() {
			s := sendOf(f.ask("/file/1", placement.Prompt{}))
			again := sendOf(f.end(s, placement.Unreached))
			convey.So(again.Target, convey.ShouldNotEqual, s.Target)
			g, ok := f.end(again, placement.Broken).(placement.GiveUp)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(g.NotRun, convey.ShouldBeFalse)
		})
		convey.Convey("an idempotent call makes as many attempts as its route permits", func() {
			s := sendOf(f.ask("/read/1", placement.Prompt{}))
			again := sendOf(f.end(s, placement.Broken))
			convey.So(again.Target, convey.ShouldNotEqual, s.Target)
			_, ok := f.end(again, placement.Broken).(placement.GiveUp)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("a call that all targets declined is reported as not run", func() {
			s := sendOf(f.ask("/file/1", placement.Prompt{}))
			for range 2 {
				s = sendOf(f.end(s, placement.Declined))
			}
			g, ok := f.end(s, placement.Declined).(placement.GiveUp)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(g.NotRun, convey.ShouldBeTrue)
			convey.So(g.RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
	})
}

// retryTestRequests is the number of requests at each router in the tests of the retry budget.
const retryTestRequests = 100

// askBroken sends n requests, 20 a second, whose first attempts break, and returns the number of
// retries.
func (f *fixture) askBroken(n int) int {
	retries := 0
	for range n {
		f.now = f.now.Add(50 * time.Millisecond)
		s := sendOf(f.ask("/read/1", placement.Prompt{}))
		if again, ok := f.end(s, placement.Broken).(placement.Send); ok {
			retries++
			f.end(again, placement.Answered)
		}
	}
	return retries
}

func TestRetryBudgetOverAllRouters(t *testing.T) {
	convey.Convey("All routers together stay within the retry budget", t, func() {
		const routers = 8
		asked, repeated := 0, 0
		for i := range routers {
			f := newFixture(t, hosts(routers)[i], routers, announcements(deskService, 4)...)
			repeated += f.askBroken(retryTestRequests)
			asked += retryTestRequests
		}
		convey.So(repeated, convey.ShouldBeGreaterThan, 0)
		convey.So(float64(repeated), convey.ShouldBeLessThanOrEqualTo, 0.2*float64(asked)+40)
	})
}

// TestBudgetsWhileRoutersAreCutOff guards against routers that lose sight of each other and each
// take a larger part of what is divided among all.
func TestBudgetsWhileRoutersAreCutOff(t *testing.T) {
	const routers, cutOff = 8, 3
	all := hosts(routers)
	// newCutFixture returns a router that has lost sight of others, as one of the cut off routers
	// or one of those that still reach control hosts.
	newCutFixture := func(i int, targets ...fleet.AgedAnnouncement) *fixture {
		f := newFixture(t, all[i], routers, targets...)
		f.now = f.now.Add(time.Second)
		if i < cutOff {
			f.apply(placement.PeersChanged{Routers: all[i : i+1]})
		} else {
			f.apply(placement.PeersChanged{Routers: all[cutOff:], Listening: true})
		}
		return f
	}
	convey.Convey("All routers together stay within the retry budget", t, func() {
		asked, repeated := 0, 0
		for i := range routers {
			f := newCutFixture(i, announcements(deskService, 4)...)
			repeated += f.askBroken(retryTestRequests)
			asked += retryTestRequests
		}
		convey.So(repeated, convey.ShouldBeGreaterThan, 0)
		convey.So(float64(repeated), convey.ShouldBeLessThanOrEqualTo, 0.2*float64(asked)+40)
	})
	convey.Convey("All routers together stay within the limit of a cold target", t, func() {
		cold := announcement(drafterService, 0)
		cold.ColdFor = 10 * time.Second
		sent := 0
		for i := range routers {
			f := newCutFixture(i, cold)
			for range 20 {
				if _, ok := f.ask("/plan/1", prompt(1, 10)).(placement.Send); ok {
					sent++
				}
			}
		}
		convey.So(sent, convey.ShouldBeGreaterThan, 0)
		convey.So(sent, convey.ShouldBeLessThanOrEqualTo, 6*3/2+5)
	})
}

func TestRequestThatCrashesTargets(t *testing.T) {
	convey.Convey("A request that crashed three targets is refused, also if other routers reported the crashes", t, func() {
		f := newFixture(t, "router-0", 2, announcements(deskService, 5)...)
		c := f.call("/file/1", placement.Prompt{})
		f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Suspects: []fleet.SuspectCount{{Content: c.Content, Crashes: 3}}}})
		refuse, ok := f.apply(placement.CallArrived{Call: c}).(placement.Refuse)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(refuse.Reason, convey.ShouldEqual, fleet.ReasonQuarantined)
	})
}

func TestMisdirectedTargetIsForgotten(t *testing.T) {
	convey.Convey("A target whose address is now another target's gets no more requests", t, func() {
		f := newFixture(t, "router-0", 1, announcements(deskService, 2)...)
		s := sendOf(f.ask("/file/1", placement.Prompt{}))
		again := sendOf(f.end(s, placement.Misdirected))
		f.end(again, placement.Answered)
		for range 10 {
			next := sendOf(f.ask("/file/1", placement.Prompt{}))
			convey.So(next.Target, convey.ShouldNotEqual, s.Target)
			f.end(next, placement.Answered)
		}
	})
}

func TestFailingTargetIsAvoided(t *testing.T) {
	convey.Convey("A target that fails most of its requests gets few of them", t, func() {
		f := newFixture(t, "router-0", 1, announcements(deskService, 3)...)
		bad := 0
		for range 100 {
			f.now = f.now.Add(20 * time.Millisecond)
			s := sendOf(f.ask("/file/1", placement.Prompt{}))
			f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			if s.Target == "desk-0" {
				bad++
				f.end(s, placement.FailedAnswer)
			} else {
				f.end(s, placement.Answered)
			}
		}
		convey.So(bad, convey.ShouldBeLessThan, 15)
	})
}
