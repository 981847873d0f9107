package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// newHedgingFixture returns a router whose every request may be hedged.
func newHedgingFixture(t testing.TB, targets int) *fixture {
	f := newConfiguredFixture(t, "router-0", 1, func(c *placement.Config) { c.ExtraRequestRatio = 4 }, announcements(deskService, targets)...)
	f.apply(placement.DigestReceived{})
	return f
}

// deskAndDrafters returns announcements of targets of both services, at different addresses.
func deskAndDrafters() []fleet.AgedAnnouncement {
	return append(announcements(deskService, 3), announcements(drafterService, 8)[3:]...)
}

// askSlow sends a read and lets it become slow.
func (f *fixture) askSlow() placement.Send {
	s := sendOf(f.ask("/read/1", placement.Prompt{}))
	f.now = f.now.Add(s.ExtraAfter)
	return s
}

func (f *fixture) due(s placement.Send) fleet.Effect {
	return f.apply(placement.ExtraDue{Call: s.Call, Attempt: s.Attempt})
}

// obstacleOf returns why an attempt is not hedged, or "" if it is.
func obstacleOf(e fleet.Effect) placement.HedgeObstacle {
	refused, _ := e.(placement.ExtraRefused)
	return refused.Obstacle
}

// TestTwoAttemptsAtOnce guards against a call that is lost, runs more often than its route permits, or stays
// at a target for ever because two of its attempts are open.
func TestTwoAttemptsAtOnce(t *testing.T) {
	hedged := func() (f *fixture, first, second placement.Send) {
		f = newHedgingFixture(t, 4)
		first = f.askSlow()
		second = sendOf(f.due(first))
		convey.So(second.Target, convey.ShouldNotEqual, first.Target)
		convey.So(second.ExtraAfter, convey.ShouldEqual, 0)
		convey.So(second.Basis.Hedge.Of, convey.ShouldEqual, first.Attempt)
		convey.So(f.due(first), convey.ShouldBeNil)
		return f, first, second
	}
	report := func(f *fixture) fleet.RouterLoad { return f.apply(placement.ReportDue{}).(placement.Report).RouterLoad }
	for name, order := range map[string]struct{ first, second placement.Outcome }{
		"the first is answered":                   {placement.Superseded, placement.Answered},
		"the caller leaves":                       {placement.CallerGone, placement.CallerGone},
		"the time is over":                        {placement.Expired, placement.Expired},
		"one breaks and the other is answered":    {placement.Broken, placement.Answered},
		"one fails and the other is answered":     {placement.FailedAnswer, placement.Answered},
		"one does not run, the other is answered": {placement.Unreached, placement.Answered},
		"one is answered before the other ends":   {placement.Answered, placement.Superseded},
		"one is cut off before the other ends":    {placement.Truncated, placement.Superseded},
		"one expires before the other is reached": {placement.Expired, placement.Unreached},
	} {
		convey.Convey("Nothing is left to do, whichever attempt ends first, if "+name, t, func() {
			for range 2 {
				f, a, b := hedged()
				convey.So(f.end(a, order.first), convey.ShouldBeNil)
				convey.So(f.end(b, order.second), convey.ShouldBeNil)
				convey.So(report(f).Targets, convey.ShouldBeEmpty)
				f, a, b = hedged()
				convey.So(f.end(b, order.first), convey.ShouldBeNil)
				convey.So(f.end(a, order.second), convey.ShouldBeNil)
				convey.So(report(f).Targets, convey.ShouldBeEmpty)
			}
		})
	}
	convey.Convey("A call both of whose attempts crash their targets is not sent again, and is blamed for both", t, func() {
		f, a, b := hedged()
		convey.So(f.end(a, placement.Broken), convey.ShouldBeNil)
		g, ok := f.end(b, placement.Broken).(placement.GiveUp)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(g.NotRun, convey.ShouldBeFalse)
		convey.So(report(f).Suspects[0].Crashes, convey.ShouldEqual, 2)
	})
	convey.Convey("An attempt that did not run leaves one to the route", t, func() {
		f, a, b := hedged()
		convey.So(f.end(b, placement.Declined), convey.ShouldBeNil)
		third := sendOf(f.end(a, placement.Broken))
		convey.So([]fleet.TargetID{a.Target, b.Target}, convey.ShouldNotContain, third.Target)
		_, ok := f.end(third, placement.Broken).(placement.GiveUp)
		convey.So(ok, convey.ShouldBeTrue)
	})
	convey.Convey("A call that no target ran is given up as not run", t, func() {
		f := newHedgingFixture(t, 2)
		a := f.askSlow()
		b := sendOf(f.due(a))
		f.end(a, placement.Declined)
		g, ok := f.end(b, placement.Declined).(placement.GiveUp)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(g.NotRun, convey.ShouldBeTrue)
	})
}

// TestNoHedge guards against second attempts of requests that may run once or have a prompt, and against
// those that can't help.
func TestNoHedge(t *testing.T) {
	convey.Convey("Requests that must not or need not run twice at a time are not hedged", t, func() {
		f := newConfiguredFixture(t, "router-0", 1, func(c *placement.Config) { c.ExtraRequestRatio = 4 },
			deskAndDrafters()...)
		f.apply(placement.DigestReceived{})
		for _, path := range []string{"/file/1", "/plan/1", "/summary/1"} {
			s := sendOf(f.ask(path, prompt(1, 10)))
			convey.So(s.ExtraAfter, convey.ShouldEqual, 0)
			f.now = f.now.Add(100 * time.Millisecond)
			convey.So(f.due(s), convey.ShouldBeNil)
			f.end(s, placement.CallerGone)
		}
		convey.So(sendOf(f.ask("/read/1", prompt(1, 10))).ExtraAfter, convey.ShouldEqual, 0)
		retried := sendOf(f.end(f.askSlow(), placement.Broken))
		convey.So(retried.ExtraAfter, convey.ShouldEqual, 0)
	})
	convey.Convey("An attempt that is answered or not slow yet is not hedged", t, func() {
		f := newHedgingFixture(t, 3)
		s := f.askSlow()
		f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
		convey.So(f.due(s), convey.ShouldBeNil)
		early := f.askSlow()
		// The time of the target begins with the write.
		f.apply(placement.SendDue{Call: early.Call, Attempt: early.Attempt})
		convey.So(f.due(early), convey.ShouldBeNil)
	})
	for want, prepare := range map[placement.HedgeObstacle]func(f *fixture, s placement.Send){
		"": func(*fixture, placement.Send) {},
		placement.HedgeDeadline: func(f *fixture, _ placement.Send) {
			f.now = f.now.Add(3960 * time.Millisecond)
			f.apply(placement.DigestReceived{})
		},
		placement.HedgeLoadUnknown: func(f *fixture, _ placement.Send) {
			f.now = f.now.Add(2500 * time.Millisecond)
		},
		placement.HedgeFewHealthy: func(f *fixture, _ placement.Send) {
			for _, id := range []fleet.TargetID{"desk-0", "desk-1", "desk-2"} {
				f.apply(placement.ResponseReceived{Target: id, Incarnation: 1, RetryAfter: time.Second})
			}
		},
		placement.HedgeNoFreeSlot: func(f *fixture, _ placement.Send) {
			var d placement.DigestReceived
			for i := range 4 {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: announcement(deskService, i).Target, Running: 6})
			}
			f.apply(d)
		},
		placement.HedgeQuarantined: func(f *fixture, _ placement.Send) {
			f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Suspects: []fleet.SuspectCount{{Content: "c-1", Crashes: 3}}}})
		},
	} {
		convey.Convey(fmt.Sprintf("A slow attempt meets the obstacle %q", want), t, func() {
			f := newHedgingFixture(t, 4)
			c := f.call("/read/1", placement.Prompt{})
			c.Deadline = f.now.Add(4 * time.Second)
			s := sendOf(f.apply(placement.CallArrived{Call: c}))
			f.now = f.now.Add(s.ExtraAfter)
			prepare(f, s)
			convey.So(obstacleOf(f.due(s)), convey.ShouldEqual, want)
		})
	}
	convey.Convey("No target is faster than the slow one if requests wait for longer at all of them", t, func() {
		f := newHedgingFixture(t, 2)
		first := f.askSlow()
		second := sendOf(f.ask("/file/1", placement.Prompt{}))
		convey.So(second.Target, convey.ShouldNotEqual, first.Target)
		f.now = f.now.Add(200 * time.Millisecond)
		slow := f.askSlow()
		convey.So(obstacleOf(f.due(slow)), convey.ShouldEqual, placement.HedgeNotFaster)
	})
}

// TestSlowTimeIsLearnt guards against a delay that is unknown for long at routers with few answers, or too
// short for a route that takes long.
func TestSlowTimeIsLearnt(t *testing.T) {
	// answered sends requests one after the other, which take the given time.
	answered := func(f *fixture, path string, n int, d time.Duration) {
		for range n {
			s := sendOf(f.ask(path, placement.Prompt{}))
			f.now = f.now.Add(d)
			f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			f.end(s, placement.Answered)
		}
	}
	convey.Convey("It comes from the goal, then from the service, then from the route, and follows them", t, func() {
		f := newHedgingFixture(t, 3)
		route, _ := f.config.Match("h", "/read/1")
		route.Goal = time.Second
		next := func() time.Duration {
			s := sendOf(f.ask("/read/1", placement.Prompt{}))
			f.end(s, placement.CallerGone)
			return s.ExtraAfter
		}
		convey.So(next(), convey.ShouldEqual, 500*time.Millisecond)
		answered(f, "/file/1", 25, 200*time.Millisecond)
		convey.So(next(), convey.ShouldBeBetween, 180*time.Millisecond, 240*time.Millisecond)
		answered(f, "/read/1", 2, 400*time.Millisecond)
		convey.So(next(), convey.ShouldBeBetween, 360*time.Millisecond, 480*time.Millisecond)
		answered(f, "/read/1", 40, 70*time.Millisecond)
		convey.So(next(), convey.ShouldBeBetween, 60*time.Millisecond, 90*time.Millisecond)
		f.now = f.now.Add(10 * time.Minute)
		convey.So(next(), convey.ShouldEqual, 500*time.Millisecond)
	})
	convey.Convey("A service that takes twice as long as usual is not asked for more", t, func() {
		f := newHedgingFixture(t, 3)
		answered(f, "/file/1", 100, 200*time.Millisecond)
		answered(f, "/file/1", 20, 400*time.Millisecond)
		f.apply(placement.DigestReceived{})
		convey.So(obstacleOf(f.due(f.askSlow())), convey.ShouldEqual, placement.HedgeMedianRisen)
	})
	convey.Convey("Few requests of a slow route beside a fast one are hedged", t, func() {
		f := newHedgingFixture(t, 3)
		answered(f, "/file/1", 30, 30*time.Millisecond)
		hedges := 0
		for range 40 {
			f.apply(placement.DigestReceived{})
			s := f.askSlow()
			f.now = f.now.Add(400*time.Millisecond - s.ExtraAfter)
			if s.ExtraAfter < 400*time.Millisecond {
				if again, ok := f.due(s).(placement.Send); ok {
					hedges++
					f.end(again, placement.Superseded)
				}
			}
			f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			f.end(s, placement.Answered)
		}
		convey.So(hedges, convey.ShouldBeLessThan, 4)
	})
	convey.Convey("It does not sink because slow attempts lose before they are answered", t, func() {
		f := newHedgingFixture(t, 3)
		route, _ := f.config.Match("h", "/read/1")
		route.Goal = 10 * time.Second
		answered(f, "/read/1", 25, 200*time.Millisecond)
		hedges := 0
		for range 50 {
			answered(f, "/read/1", 14, 30*time.Millisecond)
			f.apply(placement.DigestReceived{})
			s := f.askSlow()
			if again, ok := f.due(s).(placement.Send); ok {
				hedges++
				f.now = f.now.Add(30 * time.Millisecond)
				f.apply(placement.AnswerBegun{Call: again.Call, Attempt: again.Attempt})
				f.end(s, placement.Superseded)
				f.end(again, placement.Answered)
			}
		}
		convey.So(hedges, convey.ShouldBeGreaterThan, 40)
		convey.So(sendOf(f.ask("/read/1", placement.Prompt{})).ExtraAfter, convey.ShouldBeGreaterThan, 100*time.Millisecond)
	})
}

// TestHedgingOff guards against a change of what a router without a limit for hedged requests does.
func TestHedgingOff(t *testing.T) {
	convey.Convey("With a ratio of 0 nothing is hedged, and all else is as if no attempt became slow", t, func() {
		off := newFixture(t, "router-0", 3, deskAndDrafters()...)
		on := newConfiguredFixture(t, "router-0", 3, func(c *placement.Config) { c.ExtraRequestRatio = 1 }, deskAndDrafters()...)
		rng := rand.New(rand.NewPCG(1, 1))
		var open []placement.Send
		outcomes := []placement.Outcome{placement.Answered, placement.Answered, placement.Answered, placement.Broken, placement.FailedAnswer, placement.Declined, placement.CallerGone}
		both := func(ev fleet.Event) {
			a, b := off.Reduce(off.now, ev), on.Reduce(off.now, ev)
			for i := range min(len(a), len(b)) {
				if s, ok := a[i].(placement.Send); ok {
					if s.ExtraAfter != 0 {
						t.Fatalf("attempt with ExtraAfter %v", s.ExtraAfter)
					}
					open = append(open, s)
					other, _ := b[i].(placement.Send)
					other.ExtraAfter = 0
					b[i] = other
				}
			}
			if got, want := fmt.Sprintf("%+v", a), fmt.Sprintf("%+v", b); got != want {
				t.Fatalf("%s\nwithout, and\n%s\nwith hedging", got, want)
			}
		}
		for range 3000 {
			off.now = off.now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			switch {
			case rng.IntN(20) == 0:
				both(placement.DigestReceived{})
			case rng.IntN(2) == 0 || len(open) == 0:
				path := []string{"/plan/1", "/summary/1", "/file/1", "/read/1"}[rng.IntN(4)]
				p := placement.Prompt{}
				if strings.HasPrefix(path, "/plan") || strings.HasPrefix(path, "/summary") {
					p = prompt(placement.PartID(rng.IntN(9)), 500)
				}
				both(placement.CallArrived{Call: off.call(path, p)})
			default:
				i := rng.IntN(len(open))
				s := open[i]
				open = append(open[:i], open[i+1:]...)
				if e := off.due(s); e != nil {
					t.Fatalf("effect %+v", e)
				}
				both(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt, Failed: rng.IntN(5) == 0})
				both(placement.AttemptEnded{Call: s.Call, Attempt: s.Attempt, Outcome: outcomes[rng.IntN(len(outcomes))]})
			}
		}
	})
}
