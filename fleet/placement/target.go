package placement

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

const (
	// slownessGain is the weight of one answer in a target's slowness, paceGain in the
	// pace of its service, which all of its targets tell of.
	slownessGain, paceGain = 0.1, 0.02
	// minSlowness and maxSlowness bound the slowness and the pace.
	minSlowness, maxSlowness = 0.3, 10.0
	// minSample and maxSample bound what one answer may tell of them.
	minSample, maxSample = 0.25, 4.0
	// leastLeft is the part of a call's reading that counts as left until its answer begins.
	leastLeft = 0.1
	// hungAfter is the time without a first byte from which a target counts as hung.
	hungAfter = 1500 * time.Millisecond
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

	running int
	// others is what the other routers reported.
	others fleet.TargetLoad

	// slowness is the time to the first byte, as a multiple of that of its service.
	slowness   float64
	failures   float64
	answeredAt time.Time
	// pausedUntil is when the target is tried again after it could not be reached.
	pausedUntil time.Time
	pauses      int
	// doubted says that the target may have started again without a word.
	doubted   bool
	coldSends []time.Time
	unbegun   map[CallID]*call
}

func newTarget(id fleet.TargetID, inc fleet.Incarnation) *target {
	t := &target{id: id, unbegun: map[CallID]*call{}}
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

func (t *target) take(k *call) {
	t.running++
	t.unbegun[k.ID] = k
}

// begin notes that the answer to a call has begun.
func (t *target) begin(k *call, now time.Time) {
	delete(t.unbegun, k.ID)
	t.answeredAt = now
	t.pauses, t.doubted = 0, false
}

// waiting returns the prompt tokens that this router's calls still wait for, as far as
// can be told before their answers begin.
func (t *target) waiting(now time.Time) int {
	left := 0.0
	for _, k := range t.unbegun {
		part := 1 - float64(now.Sub(k.sentAt))/float64(max(k.expected, time.Millisecond))
		left += float64(k.read) * max(part, leastLeft)
	}
	return int(left)
}

// learnPace takes how long a call waited for its first byte, in proportion to what was
// expected.
func (r *Router) learnPace(k *call) {
	if k.read == 0 || k.expected <= firstByteTime {
		return
	}
	seen := r.now.Sub(k.sentAt) - firstByteTime
	sample := float64(seen) / float64(k.expected-firstByteTime)
	sample = min(max(sample, minSample), maxSample)
	t := k.current
	t.slowness = bounded(t.slowness * math.Pow(sample, slownessGain))
	r.paces[k.service] = bounded(r.pace(k.service) * math.Pow(sample, paceGain))
}

func bounded(slowness float64) float64 { return min(max(slowness, minSlowness), maxSlowness) }

// pace returns the time to the first byte of a service's answers, as a multiple of what
// its capacity promises.
func (r *Router) pace(service fleet.ServiceName) float64 {
	if p, ok := r.paces[service]; ok {
		return p
	}
	return 1
}

// release forgets a call whose attempt ended.
func (t *target) release(k *call) {
	t.running--
	delete(t.unbegun, k.ID)
}

// oldest returns how long the call waits that waits longest for its first byte.
func (t *target) oldest(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, k := range t.unbegun {
		longest = max(longest, now.Sub(k.sentAt))
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
func (r *Router) learn(k *call, t *target, ev AttemptEnded) {
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
	case Broken, Truncated:
		failed = 1
		r.report.crashed(k)
		if !k.begun {
			t.doubted = true
		}
	case FailedAnswer, Expired:
		failed = 1
	case Declined:
		t.pausedUntil = r.now.Add(minPause)
	}
	t.failures += failureGain * (failed - t.failures)
}
