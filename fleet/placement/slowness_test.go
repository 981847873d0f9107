package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// refusedInRounds sends 60 rounds of three requests for the same part at once and returns how
// many are refused. noticedAfter returns when the router notices the first byte of an answer,
// from the time that it expected. fleetSlowness is the median of all routers' measurements.
func refusedInRounds(f *fixture, fleetSlowness float64, noticedAfter func(expected time.Duration) time.Duration) int {
	refused := 0
	for range 60 {
		f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{
			Slowness: []fleet.ServiceSlowness{{Service: drafterService, Slowness: fleetSlowness}},
		}})
		var sent []placement.Send
		for range 3 {
			if s, ok := f.ask("/plan/", prompt(1, 3000)).(placement.Send); ok {
				sent = append(sent, s)
			} else {
				refused++
			}
		}
		begun := f.now
		for _, s := range sent {
			f.now = begun.Add(noticedAfter(s.Basis.ExpectedFirstByte))
			f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
			f.end(s, placement.Answered)
		}
		f.now = begun.Add(5 * time.Second)
	}
	return refused
}

// TestSaturatedRouterDoesNotBlameTargets guards against a router without CPU time that
// takes its own delay for that of the targets, and then refuses requests that they would
// serve in time (inc1, FAIR).
func TestSaturatedRouterDoesNotBlameTargets(t *testing.T) {
	convey.Convey("Requests are not refused as late because a saturated router notices answers late", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 3)...)
		late := func(expected time.Duration) time.Duration { return expected + 600*time.Millisecond }
		convey.So(refusedInRounds(f, 1, late), convey.ShouldEqual, 0)
	})
	convey.Convey("A router that measures what the others measure learns that the targets are slow", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 3)...)
		slow := func(expected time.Duration) time.Duration { return 4 * expected }
		convey.So(refusedInRounds(f, 4, slow), convey.ShouldBeGreaterThan, 60)
	})
}

// burst sends requests at once and returns them in the order of their expected answers.
func (f *fixture) burst(n int) []placement.Send {
	var sent []placement.Send
	for range n {
		sent = append(sent, sendOf(f.ask("/plan/", prompt(1, 100))))
	}
	return sent
}

// begunAfter reports the first byte of each answer, factor times as late as its prompt was
// expected to take.
func (f *fixture) begunAfter(sent []placement.Send, factor float64, failed bool) {
	const overhead = 30 * time.Millisecond
	sentAt := f.now
	for _, s := range sent {
		f.now = sentAt.Add(overhead + time.Duration(factor*float64(s.Basis.ExpectedFirstByte-overhead)))
		f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt, Stream: !failed, Failed: failed})
	}
	for _, s := range sent {
		f.end(s, placement.Answered)
	}
}

// slowness returns the slowness that the next request is placed with.
func (f *fixture) slowness() float64 {
	s := sendOf(f.ask("/plan/", prompt(1, 100)))
	f.end(s, placement.Unreached)
	f.now = f.now.Add(time.Second)
	return s.Basis.Slowness
}

// TestBurstOfLateAnswers guards against a router that takes a target for ever slower with each
// late answer to requests that were all sent before the first of them came (issue 23, FAIR).
func TestBurstOfLateAnswers(t *testing.T) {
	convey.Convey("After many answers that are three times as late as expected, a target counts as three times as slow", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 1)...)
		f.begunAfter(f.burst(40), 3, false)
		convey.So(f.slowness(), convey.ShouldBeBetween, 2, 3.3)
	})
}

// TestErrorsDoNotShowSpeed guards against a router that takes a target for fast because it
// answers with errors at once, and then sends it more than it can process.
func TestErrorsDoNotShowSpeed(t *testing.T) {
	convey.Convey("Errors that come early do not make a target count as fast", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 1)...)
		f.begunAfter(f.burst(40), 0, true)
		convey.So(f.slowness(), convey.ShouldEqual, 1)
	})
}

// TestOldSlownessIsForgotten guards against a router that refuses requests because a target was
// slow when it last answered, long ago (issue 23, FAIR).
func TestOldSlownessIsForgotten(t *testing.T) {
	convey.Convey("A target that was slow and has not been used since counts as slow for some seconds", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 1)...)
		f.begunAfter(f.burst(40), 4, false)
		slow := f.slowness()
		convey.So(slow, convey.ShouldBeGreaterThan, 2)
		f.now = f.now.Add(30 * time.Second)
		convey.So(f.slowness(), convey.ShouldBeLessThan, 0.5*slow)
	})
}

// TestDelayBeforeTheWrite guards against a router short of processor time that writes requests late,
// counts that time as their targets', and then refuses what idle targets would serve (FAIR at crowded
// routers).
func TestDelayBeforeTheWrite(t *testing.T) {
	const delay = 2 * time.Second
	// delayed sends requests that are written after the delay.
	delayed := func(f *fixture, n int) []placement.Send {
		sent := f.burst(n)
		f.now = f.now.Add(delay)
		for _, s := range sent {
			convey.So(f.apply(placement.SendDue{Call: s.Call, Attempt: s.Attempt}), convey.ShouldBeNil)
		}
		return sent
	}
	convey.Convey("Answers that are as fast as expected from the write on do not make the target slow", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 1)...)
		f.begunAfter(delayed(f, 40), 1, false)
		convey.So(f.slowness(), convey.ShouldBeBetween, 0.9, 1.1)
	})
	convey.Convey("A target does not count as hung because of requests that it has not got for long", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 1)...)
		delayed(f, 1)
		convey.So(sendOf(f.ask("/plan/", prompt(1, 100))).Basis.QueueDelay, convey.ShouldBeLessThan, time.Second)
	})
}
