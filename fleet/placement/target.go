package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

const (
	// slownessGain is the weight of one answer in a target's slowness.
	slownessGain = 0.15
	// minSlowness and maxSlowness bound the slowness.
	minSlowness, maxSlowness = 0.25, 10.0
	// failureGain is the weight of one answer in a target's failure rate.
	failureGain = 0.15
	// badFailureRate is the failure rate from which a target is avoided. Plain services
	// fail up to one request in seven when they are well.
	badFailureRate = 0.45
	// minPause and maxPause bound how long a target is left alone that could not be
	// reached. It grows with each failure.
	minPause, maxPause = 200 * time.Millisecond, 3 * time.Second
)

// target is what a router knows of a target besides its announcements.
type target struct {
	id          fleet.TargetID
	incarnation fleet.Incarnation
	// entry is nil once the target is gone.
	entry *targets.Entry

	// waiting is the number of prompt tokens of this router's calls that have not begun.
	waiting int
	running int
	// others is what the other routers reported.
	others fleet.TargetLoad

	// slowness is the time to the first byte, as a multiple of what was expected.
	slowness   float64
	failures   float64
	answeredAt time.Time
	// pausedUntil is when the target is tried again after it could not be reached.
	pausedUntil time.Time
	pauses      int
	// doubted says that the target may have started again without a word.
	doubted   bool
	coldSends []time.Time
	unbegun   map[CallID]time.Time
}

func newTarget(id fleet.TargetID, inc fleet.Incarnation) *target {
	t := &target{id: id, unbegun: map[CallID]time.Time{}}
	t.reset(inc)
	return t
}

// reset forgets what was learnt of an earlier incarnation.
func (t *target) reset(inc fleet.Incarnation) {
	t.incarnation = inc
	t.slowness, t.failures, t.pauses = 1, 0, 0
	t.pausedUntil, t.answeredAt = time.Time{}, time.Time{}
	t.doubted = false
}

func (t *target) take(k *call, now time.Time) {
	t.running++
	t.waiting += k.read
	t.unbegun[k.ID] = now
}

// begin notes that the answer to a call has begun.
func (t *target) begin(k *call, now time.Time) {
	t.waiting -= k.read
	delete(t.unbegun, k.ID)
	t.answeredAt = now
	t.pauses, t.doubted = 0, false
	sample := float64(now.Sub(k.sentAt)) / float64(max(k.expected, time.Millisecond))
	t.slowness += slownessGain * (min(max(sample, minSlowness), maxSlowness) - t.slowness)
}

// release forgets a call whose attempt ended.
func (t *target) release(k *call) {
	t.running--
	if _, ok := t.unbegun[k.ID]; ok {
		t.waiting -= k.read
		delete(t.unbegun, k.ID)
	}
}

// oldest returns how long the call waits that waits longest for its first byte.
func (t *target) oldest(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, at := range t.unbegun {
		longest = max(longest, now.Sub(at))
	}
	return longest
}

// pause leaves a target alone for a while that grows.
func (t *target) pause(now time.Time) {
	d := min(maxPause, minPause<<min(t.pauses, 8))
	t.pauses++
	t.pausedUntil = now.Add(d)
}

// learn takes in how an attempt ended at a target.
func (r *Router) learn(k *call, t *target, ev Ended) {
	failed := 0.0
	switch ev.Outcome {
	case CallerGone:
		return
	case Unreached:
		t.doubted = true
		t.pause(r.now)
		return
	case Misdirected:
		if t.entry != nil {
			r.directory.End(r.now, fleet.TargetEnd{Target: t.id, Incarnation: t.incarnation})
			r.index()
		}
		return
	case Broken, Cut:
		failed = 1
		r.report.crashed(k, r.now)
		if !k.begun {
			t.doubted = true
		}
	case FailedAnswer, Expired:
		failed = 1
	case Declined:
		t.pausedUntil = r.now.Add(minPause)
	}
	if ev.Failed {
		failed = 1
	}
	t.failures += failureGain * (failed - t.failures)
}
