package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

func controlHost(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7400)
}

// active returns an active roll-out of version v2 of the engines.
func active(revision uint64, share float64) fleet.Rollout {
	return fleet.Rollout{Service: drafterService, To: "v2", Number: 7, Revision: revision, State: fleet.RolloutActive, Share: share}
}

// ended returns the end of that roll-out.
func ended(state fleet.RolloutState) fleet.Rollout {
	r := active(100, 0)
	r.State = state
	return r
}

// notice passes on a confirmed notice of a control host and returns the first effect.
func (f *fixture) notice(control int, rollouts ...fleet.Rollout) fleet.Effect {
	return f.apply(placement.RolloutsNoticed{Control: controlHost(control), Confirmed: true, Rollouts: rollouts})
}

// newShare sends n calls that end at once and returns the part of them that went to version v2, or
// -1 if any was refused.
func (f *fixture) newShare(n int) float64 {
	sent := 0
	for range n {
		s, ok := f.ask("/plan/1", prompt(1, 100)).(placement.Send)
		if !ok {
			return -1
		}
		if s.SoftwareVersion == "v2" {
			sent++
		}
		f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
		f.end(s, placement.Answered)
	}
	return float64(sent) / float64(n)
}

// exposure simulates the roll-out of a bad version over many routers. All requests of the exam
// platform's engine service, 1,691 a second, arrive at random routers. Three control hosts send
// each router a notice on each change and every 500 ms; notices take up to 300 ms, and the third
// host learns of each change 400 ms later than the others. The first router is cut off after 1 s.
type exposure struct {
	routers  []*fixture
	rng      *rand.Rand
	now      time.Time
	rollouts []placement.RolloutsNoticed
	// inTransit has the notices to each router by the control host.
	inTransit []map[int][]noticeInTransit
	requests  int
	// newSends has the times of the requests to the new version, cutOffSends of those of the router
	// that is cut off.
	newSends, cutOffSends []time.Time
}

type noticeInTransit struct {
	at      time.Time
	rollout fleet.Rollout
}

const (
	exposureRate  = 1691
	exposureTime  = 12 * time.Second
	noticeTransit = 300 * time.Millisecond
	noticeLag     = 400 * time.Millisecond
	cutOffAfter   = time.Second
	// decisionTime is the time that the leader takes from the 50th bad answer to the decision.
	decisionTime = 2 * time.Second
	rollbackTime = 5 * time.Second
)

// send has all control hosts send the state of the roll-out to all routers.
func (e *exposure) send(r fleet.Rollout) {
	for i := range e.routers {
		if i == 0 && e.now.Sub(start) >= cutOffAfter {
			continue
		}
		for control := range 3 {
			at := e.now.Add(time.Duration(e.rng.Int64N(int64(noticeTransit))))
			if control == 2 {
				at = at.Add(noticeLag)
			}
			queue := e.inTransit[i][control]
			if len(queue) > 0 && at.Before(queue[len(queue)-1].at) {
				at = queue[len(queue)-1].at
			}
			e.inTransit[i][control] = append(queue, noticeInTransit{at, r})
		}
	}
}

// request sends the next request through a random router.
func (e *exposure) request() {
	e.requests++
	i := e.rng.IntN(len(e.routers))
	f := e.routers[i]
	f.now = e.now
	for control, queue := range e.inTransit[i] {
		for len(queue) > 0 && !queue[0].at.After(e.now) {
			f.notice(control, queue[0].rollout)
			queue = queue[1:]
		}
		e.inTransit[i][control] = queue
	}
	switch f.newShare(1) {
	case 1:
		e.newSends = append(e.newSends, e.now)
		if i == 0 {
			e.cutOffSends = append(e.cutOffSends, e.now)
		}
	case -1:
		panic("a request was refused")
	}
}

// run plays the roll-out and returns the time of the 50th bad answer.
func (e *exposure) run() (fiftieth time.Time) {
	state, sentAt := active(1, 0), time.Time{}
	for e.now = start; e.now.Before(start.Add(exposureTime)); e.now = e.now.Add(time.Second / exposureRate) {
		if fiftieth.IsZero() && len(e.newSends) >= 50 {
			fiftieth = e.now
		}
		before := state
		switch since := e.now.Sub(start); {
		case !fiftieth.IsZero() && e.now.Sub(fiftieth) >= decisionTime:
			state = ended(fleet.RolloutReverted)
		case since >= 2*time.Second:
			state = active(4, 0.1)
		case since >= time.Second:
			state = active(3, 0.05)
		default:
			state = active(2, 0.02)
		}
		if state != before || e.now.Sub(sentAt) >= 500*time.Millisecond {
			sentAt = e.now
			e.send(state)
		}
		e.request()
	}
	return fiftieth
}

// TestExposureOfABadVersion guards against a bad version that gets more requests than the share of
// the roll-out, or gets some after it was reverted. The load is 1,691 requests/s for 12 s.
func TestExposureOfABadVersion(t *testing.T) {
	for _, routers := range []int{1, 8, 78} {
		convey.Convey(fmt.Sprintf("%d routers, one of them cut off, keep the limits of a roll-out together", routers), t, func() {
			e := &exposure{rng: rand.New(rand.NewPCG(11, uint64(routers)))}
			for i := range routers {
				f := newFixture(t, hosts(routers)[i], routers, mixedVersions(18, 9)...)
				// The IDs of requests differ in the whole fleet.
				f.lastCall = placement.CallID(i * 1_000_000)
				f.notice(0, active(1, 0))
				e.routers, e.inTransit = append(e.routers, f), append(e.inTransit, map[int][]noticeInTransit{})
			}
			fiftieth := e.run()
			convey.So(fiftieth, convey.ShouldHappenBetween, start, start.Add(3*time.Second))
			newRequests := len(e.newSends)
			convey.So(newRequests, convey.ShouldBeLessThanOrEqualTo, e.requests/10+50)
			convey.So(e.newSends[newRequests-1], convey.ShouldHappenBefore, fiftieth.Add(rollbackTime))
			late := 0
			for _, at := range e.newSends {
				if at.After(fiftieth.Add(decisionTime + noticeTransit)) {
					late++
				}
			}
			for _, at := range e.cutOffSends {
				convey.So(at, convey.ShouldHappenBefore, start.Add(cutOffAfter+noticeTransit+noticeLag+rollbackTime/2))
				if at.After(fiftieth.Add(decisionTime + noticeTransit)) {
					late--
				}
			}
			convey.So(late, convey.ShouldEqual, 0)
		})
	}
}

// TestStateOfARollout guards against a router that goes back to an older state of a roll-out, or
// sends more to the new version than control hosts agree on.
func TestStateOfARollout(t *testing.T) {
	newRouter := func() *fixture { return newFixture(t, "router-0", 1, mixedVersions(8, 4)...) }
	// tolerance of a share of 500 calls: more than 4 standard deviations.
	const calls, tolerance = 500, 0.1
	convey.Convey("The newest state wins", t, func() {
		f := newRouter()
		f.notice(0, active(2, 1))
		f.notice(0, active(1, 0))
		convey.So(f.newShare(calls), convey.ShouldEqual, 0)
		f.notice(0, active(3, 1))
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
		older := ended(fleet.RolloutCompleted)
		older.Number, older.To = 6, "v1"
		f.notice(1, older)
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
		convey.So(f.notice(0, ended(fleet.RolloutReverted)).(placement.RolloutApplied).State, convey.ShouldEqual, fleet.RolloutReverted)
		f.notice(0, active(101, 1))
		convey.So(f.newShare(calls), convey.ShouldEqual, 0)
		again := active(1, 1)
		again.Number = 8
		f.notice(0, again)
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
	})
	convey.Convey("While control hosts name different shares, the lowest counts, until the host has been silent for 2 s", t, func() {
		f := newRouter()
		f.notice(0, active(1, 0.2))
		f.notice(1, active(2, 0.8))
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.2, tolerance)
		f.now = f.now.Add(1900 * time.Millisecond)
		f.notice(1, active(2, 0.8))
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.2, tolerance)
		f.now = f.now.Add(200 * time.Millisecond)
		f.apply(placement.Tick{})
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.8, tolerance)
	})
	convey.Convey("A notice without contact to a majority lowers the share and ends the roll-out, but raises it only within 2 s of one with contact", t, func() {
		f := newRouter()
		unconfirmed := func(r fleet.Rollout) {
			f.apply(placement.RolloutsNoticed{Control: controlHost(1), Rollouts: []fleet.Rollout{r}})
		}
		unconfirmed(active(1, 1))
		convey.So(f.newShare(calls), convey.ShouldEqual, 0)
		f.notice(0, active(1, 1))
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
		unconfirmed(active(2, 0.2))
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.2, tolerance)
		unconfirmed(active(3, 0.5))
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.5, tolerance)
		f.now = f.now.Add(2100 * time.Millisecond)
		unconfirmed(active(4, 1))
		convey.So(f.newShare(calls), convey.ShouldAlmostEqual, 0.5, tolerance)
		unconfirmed(ended(fleet.RolloutReverted))
		convey.So(f.newShare(calls), convey.ShouldEqual, 0)
	})
	convey.Convey("Without contact for half of the rollback time nothing goes to the new version, until contact returns", t, func() {
		f := newRouter()
		f.notice(0, active(1, 1))
		f.now = f.now.Add(2400 * time.Millisecond)
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
		f.now = f.now.Add(200 * time.Millisecond)
		convey.So(f.apply(placement.Tick{}).(placement.RolloutApplied).Suspended, convey.ShouldBeTrue)
		convey.So(f.newShare(calls), convey.ShouldEqual, 0)
		convey.So(f.notice(0, active(1, 1)).(placement.RolloutApplied).Suspended, convey.ShouldBeFalse)
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
		f.notice(0, ended(fleet.RolloutCompleted))
		f.now = f.now.Add(time.Hour)
		convey.So(f.newShare(calls), convey.ShouldEqual, 1)
	})
}
