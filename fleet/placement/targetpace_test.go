package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/pace"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// threeClasses are the paces of the exam platform's engines.
var threeClasses = []float64{0.7, 0.7, 1.7}

// paceDigest returns a digest in which target i has the pace of class i modulo 3.
func paceDigest(service fleet.ServiceName, n int) fleet.LoadDigest {
	d := fleet.LoadDigest{PacesKnown: true}
	for i := range n {
		p := threeClasses[i%3]
		d.Paces = append(d.Paces, fleet.TargetPace{
			Target: fleet.TargetID(fmt.Sprintf("%s-%d", service, i)), Incarnation: 1, Pace: p,
		})
	}
	return d
}

// basesOf returns the bases of the placements of n parts while all targets are idle.
func (f *fixture) basesOf(n int) []placement.Basis {
	out := make([]placement.Basis, n)
	for i := range out {
		s := sendOf(f.ask("/plan/", prompt(placement.PartID(i+1), 100)))
		out[i] = s.Basis
		f.end(s, placement.CallerGone)
	}
	return out
}

// withPace returns the number of bases that rest on the pace of their target.
func withPace(bases []placement.Basis) int {
	n := 0
	for _, b := range bases {
		if b.Pace > 0 {
			n++
		}
	}
	return n
}

// paceFixture returns a router with 12 engines.
func paceFixture(t *testing.T, policy placement.Policy) *fixture {
	f := newFixture(t, "router-0", 71, announcements(drafterService, 12)...)
	f.Router = placement.New(placement.Config{Self: "router-0", DataCentre: "a", SilentAfter: time.Hour, Policy: policy})
	f.apply(placement.ConfigChanged{Config: f.config})
	f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: announcements(drafterService, 12)}})
	return f
}

// Guards against answers of slow targets that are expected as soon as those of fast ones. It fails with
// TargetPace false.
func TestExpectedTimeFollowsThePace(t *testing.T) {
	convey.Convey("The expected time of an idle target is in proportion to its pace", t, func() {
		f := paceFixture(t, placement.DefaultPolicy)
		f.apply(placement.DigestReceived{LoadDigest: paceDigest(drafterService, 12)})
		for _, b := range f.basesOf(300) {
			convey.So(b.Pace, convey.ShouldBeIn, 0.7, 1.7)
			convey.So(b.Slowness, convey.ShouldAlmostEqual, b.Pace, 1e-9)
			prefill := b.ExpectedFirstByte - b.QueueDelay
			convey.So(float64(prefill), convey.ShouldAlmostEqual, b.Pace*float64(prefill)/b.Slowness, 1)
		}
	})
}

// Guards against a pace that is dropped with each lost digest, or stays in use without a leader.
func TestLostDigest(t *testing.T) {
	const parts = 200
	convey.Convey("Without a new list the pace is used for 5 s", t, func() {
		f := paceFixture(t, placement.DefaultPolicy)
		convey.So(withPace(f.basesOf(parts)), convey.ShouldEqual, 0)
		f.apply(placement.DigestReceived{LoadDigest: paceDigest(drafterService, 12)})
		convey.So(withPace(f.basesOf(parts)), convey.ShouldEqual, parts)
		f.now = f.now.Add(4900 * time.Millisecond)
		f.apply(placement.DigestReceived{})
		convey.So(withPace(f.basesOf(parts)), convey.ShouldEqual, parts)
		f.now = f.now.Add(200 * time.Millisecond)
		convey.So(withPace(f.basesOf(parts)), convey.ShouldEqual, 0)
	})
	convey.Convey("A new incarnation has no pace", t, func() {
		f := paceFixture(t, placement.DefaultPolicy)
		f.apply(placement.DigestReceived{LoadDigest: paceDigest(drafterService, 12)})
		restarted := announcements(drafterService, 12)
		for i := range restarted {
			restarted[i].Incarnation = 2
		}
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: restarted}})
		f.apply(placement.DigestReceived{LoadDigest: paceDigest(drafterService, 12)})
		convey.So(withPace(f.basesOf(parts)), convey.ShouldEqual, 0)
	})
}

// Guards against a change of services without engines, and against a setting without effect.
func TestPaceIsOff(t *testing.T) {
	off := placement.DefaultPolicy
	off.TargetPace = false
	// trace returns what a router sends while targets answer at their pace, with or without a list.
	trace := func(f *fixture, list bool) (out []placement.Send) {
		for i := range 300 {
			if list && i%10 == 0 {
				f.apply(placement.DigestReceived{LoadDigest: paceDigest(drafterService, 12)})
			} else if i%10 == 0 {
				f.apply(placement.DigestReceived{})
			}
			s := sendOf(f.ask("/plan/", prompt(placement.PartID(i%40+1), 500+i)))
			out = append(out, s)
			f.now = f.now.Add(s.Basis.ExpectedFirstByte + 20*time.Millisecond)
			f.begin(s)
			f.end(s, placement.Answered)
		}
		return out
	}
	convey.Convey("With TargetPace false, or without engines, a list changes nothing and no pace is reported", t, func() {
		noEngine := func() *fixture {
			f := paceFixture(t, placement.DefaultPolicy)
			f.config.Services[0].Engine = nil
			return f
		}
		offFixture := func() *fixture { return paceFixture(t, off) }
		for _, create := range []func() *fixture{offFixture, noEngine} {
			f := create()
			convey.So(trace(f, true), convey.ShouldResemble, trace(create(), false))
			convey.So(f.apply(placement.ReportDue{}).(placement.Report).Paces, convey.ShouldBeEmpty)
		}
		convey.So(trace(paceFixture(t, off), false), convey.ShouldResemble, trace(paceFixture(t, placement.DefaultPolicy), false))
	})
}

// answerAt has a request answered at the given multiple of the rated time.
func (f *fixture) answerAt(s placement.Send, factor float64) {
	const overhead = 30 * time.Millisecond
	sentAt := f.now
	f.now = f.now.Add(overhead + time.Duration(factor*float64(s.Basis.ExpectedFirstByte-overhead)/s.Basis.Slowness))
	f.begin(s)
	f.end(s, placement.Answered)
	f.now = sentAt
}

// Guards against a pace that is learnt from times which the pace itself has corrected.
func TestPaceHasNoInfluenceOnItself(t *testing.T) {
	convey.Convey("A router reports the same samples with and without the fleet's pace", t, func() {
		for _, list := range []bool{true, false} {
			f := paceFixture(t, placement.DefaultPolicy)
			logs, n := 0.0, 0
			for i := range 100 {
				d := fleet.LoadDigest{}
				if list {
					d = paceDigest(drafterService, 12)
				}
				f.apply(placement.DigestReceived{LoadDigest: d})
				f.answerAt(sendOf(f.ask("/plan/", prompt(placement.PartID(i+1), 1000))), 1.5)
				f.now = f.now.Add(100 * time.Millisecond)
			}
			for _, s := range f.apply(placement.ReportDue{}).(placement.Report).Paces {
				convey.So(s.Check(), convey.ShouldBeNil)
				logs, n = logs+s.LogSum, n+s.Answers
			}
			convey.So(n, convey.ShouldEqual, 100)
			convey.So(math.Exp(logs/float64(n)), convey.ShouldBeBetween, 1.49, 1.51)
		}
	})
}

// Guards against a router without processor time whose own delay counts as the targets' pace.
func TestSaturatedRouterReportsNoPace(t *testing.T) {
	convey.Convey("A router that measures more than the others reports no pace", t, func() {
		f := paceFixture(t, placement.DefaultPolicy)
		for i := range 100 {
			f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Slowness: []fleet.ServiceSlowness{{Service: drafterService, Slowness: 1}}}})
			if i == 50 {
				f.apply(placement.ReportDue{})
			}
			f.answerAt(sendOf(f.ask("/plan/", prompt(placement.PartID(i+1), 1000))), 4)
			f.now = f.now.Add(50 * time.Millisecond)
		}
		convey.So(f.apply(placement.ReportDue{}).(placement.Report).Paces, convey.ShouldBeEmpty)
	})
}

// Guards against a router that trusts the fleet's pace while a target is slow for a moment, and
// against one that remembers such a moment for long.
func TestShortSlowdownIsNoticedAndForgotten(t *testing.T) {
	convey.Convey("Two late answers count at once and are forgotten after 3 s; the pace remains", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 2)...)
		d := fleet.LoadDigest{PacesKnown: true}
		for i, p := range []float64{2, 0.5} {
			d.Paces = append(d.Paces, fleet.TargetPace{Target: fleet.TargetID(fmt.Sprintf("%s-%d", drafterService, i)), Incarnation: 1, Pace: p})
		}
		next := func() placement.Send {
			f.apply(placement.DigestReceived{LoadDigest: d})
			return sendOf(f.ask("/plan/", prompt(1, 1000)))
		}
		first := next()
		usual := first.Basis.Slowness
		f.answerAt(first, 2.5*usual)
		f.answerAt(next(), 2.5*usual)
		late := next()
		convey.So(late.Target != first.Target || late.Basis.Slowness > 1.3*usual, convey.ShouldBeTrue)
		f.end(late, placement.CallerGone)
		f.now = f.now.Add(4 * time.Second)
		later := next()
		convey.So(later.Target, convey.ShouldEqual, first.Target)
		convey.So(later.Basis.Slowness, convey.ShouldBeBetween, 0.95*usual, 1.15*usual)
	})
}

// TestPaceOverManyRouters has 71 routers that each see an answer of a target every few seconds. It
// fails with TargetPace false.
func TestPaceOverManyRouters(t *testing.T) {
	convey.Convey("Routers with few answers expect the time that targets of three classes take", t, func() {
		var routers []*fixture
		for range 71 {
			routers = append(routers, paceFixture(t, placement.DefaultPolicy))
		}
		c := pace.New()
		d := fleet.LoadDigest{}
		errorSum, n := 0.0, 0
		for step := range 150 {
			var measured []float64
			for i, f := range routers {
				f.now = start.Add(time.Duration(step) * 100 * time.Millisecond)
				if (step+i)%5 == 0 {
					s := sendOf(f.ask("/plan/", prompt(placement.PartID(step*71+i), 1000)))
					var target int
					_, err := fmt.Sscanf(string(s.Target), string(drafterService)+"-%d", &target)
					convey.So(err, convey.ShouldBeNil)
					class := threeClasses[target%3]
					if step > 100 {
						errorSum, n = errorSum+math.Abs(math.Log(s.Basis.Slowness/class)), n+1
					}
					f.answerAt(s, class)
				}
				report := f.apply(placement.ReportDue{}).(placement.Report)
				c.AddReport(f.now, &report.RouterLoad)
				for _, m := range report.Slowness {
					measured = append(measured, m.Slowness)
				}
			}
			if slices.Sort(measured); len(measured) > 0 {
				d.Slowness = []fleet.ServiceSlowness{{Service: drafterService, Slowness: measured[(len(measured)-1)/2]}}
			}
			d.Paces, d.PacesKnown = c.List(routers[0].now)
			for _, f := range routers {
				f.apply(placement.DigestReceived{LoadDigest: d})
			}
		}
		convey.So(errorSum/float64(n), convey.ShouldBeLessThan, 0.1)
	})
}

// Guards against a target with an empty cache whose repeated prefill counts as its pace, so that it
// loses the parts that it has just processed.
func TestRestartedTargetReportsNoPace(t *testing.T) {
	convey.Convey("Answers of targets that started slowly some seconds ago are not reported", t, func() {
		f := newFixture(t, "router-0", 1)
		started := announcements(drafterService, 2)
		for i := range started {
			started[i].ColdFor = 3 * time.Second
		}
		f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: started}})
		reported := func(after time.Duration) int {
			f.now = start.Add(after)
			f.apply(placement.DigestReceived{})
			f.answerAt(sendOf(f.ask("/plan/", prompt(1, 1000))), 3)
			return len(f.apply(placement.ReportDue{}).(placement.Report).Paces)
		}
		convey.So(reported(time.Second), convey.ShouldEqual, 0)
		convey.So(reported(8*time.Second), convey.ShouldEqual, 0)
		convey.So(reported(14*time.Second), convey.ShouldEqual, 1)
	})
}
