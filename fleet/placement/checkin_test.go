package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

// controlTimeout is the time without a check-in after which a control host removes a target.
const controlTimeout = 8 * time.Second

// checkIn passes a check-in through a control host's directory and returns the notice for routers.
func checkIn(control *targets.Directory, now time.Time, a fleet.Announcement) fleet.TargetsNotice {
	switch control.Announce(now, a) {
	case targets.Changed:
		return fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: a}}}
	case targets.Refreshed:
		return fleet.TargetsNotice{Alive: []fleet.TargetID{a.Target}}
	}
	return fleet.TargetsNotice{}
}

// Guards against targets that check in, are acknowledged, and get no request for good: a router and a
// control host give up a target after different times, and the router by itself after an answer that
// another target is at the address (review, cases 7 and 8).
func TestTargetThatChecksInIsInUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, "router-0", 1)
		control := targets.New()
		a := announcement(deskService, 0).Announcement
		for range rapid.IntRange(1, 20).Draw(rt, "check-ins") {
			pause := time.Duration(rapid.IntRange(100, 10_000).Draw(rt, "pause, ms")) * time.Millisecond
			for end := f.now.Add(pause); f.now.Before(end); {
				f.now = f.now.Add(min(200*time.Millisecond, end.Sub(f.now)))
				f.apply(placement.Tick{})
				control.Expire(f.now, f.now.Add(-controlTimeout), nil)
			}
			a.Sequence++
			if rapid.IntRange(0, 9).Draw(rt, "restarts") == 0 {
				a.Incarnation, a.Sequence = a.Incarnation+1, 1
			}
			f.apply(placement.TargetsNoticeReceived{TargetsNotice: checkIn(control, f.now, a)})
			s, ok := f.ask("/file/1", placement.Prompt{}).(placement.Send)
			if !ok || s.Incarnation != a.Incarnation {
				rt.Fatalf("the target checked in with incarnation %d, but a request gets %+v", a.Incarnation, s)
			}
			outcome := rapid.SampledFrom([]placement.Outcome{placement.Answered, placement.Misdirected, placement.CallerGone}).Draw(rt, "outcome")
			f.now = f.now.Add(time.Millisecond)
			f.end(s, outcome)
		}
	})
}
