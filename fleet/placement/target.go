package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

const (
	// minShareLeft is the fraction of a call's prefill that counts as outstanding until its
	// answer begins, however long it takes.
	minShareLeft = 0.1
	// hungAfter is the time to the first byte from which on a target counts as hung.
	hungAfter = 1500 * time.Millisecond
	// failureGain is the weight of one answer in a target's failure rate.
	failureGain = 0.15
	// maxFailureRate is the failure rate above which a target is avoided. Healthy plain
	// services fail up to one request in seven.
	maxFailureRate = 0.45
	// minPause and maxPause bound the exponential backoff of a target that could not be
	// reached.
	minPause, maxPause = 200 * time.Millisecond, 3 * time.Second
	// leavingRetention is how long a target that leaves is remembered after it was gone: it may
	// announce itself again after a partition.
	leavingRetention = 10 * time.Minute
)

// target is the router's state of one target.
type target struct {
	id          fleet.TargetID
	incarnation fleet.Incarnation
	// entry is the newest announcement; nil once the target is gone.
	entry *targets.Entry

	running int
	// othersLoad is the target's load from all other routers.
	othersLoad fleet.TargetLoad

	// slowness is the moving average of the time to the first byte divided by the expected
	// one.
	slowness float64
	// slownessSampledAt is the time of the last answer that changed slowness.
	slownessSampledAt time.Time
	failureRate       float64
	answeredAt        time.Time
	// pausedUntil is when the target may be used again after it refused a request or could
	// not be reached.
	pausedUntil time.Time
	// pauses is the number of failures to reach the target since its last answer.
	pauses int
	// maybeRestarted is true if the target may have restarted without having announced it.
	maybeRestarted bool
	coldSends      []time.Time
	limit          rateLimit
	// leaving is true once this incarnation has stated in a response that it leaves.
	leaving bool
	returns returnState
	// transfers describes the target as a source of cached parts.
	transfers transferState
	// pace is what all routers together measured of this incarnation.
	pace fleetPace
	// goneAt is when the target was last found to be gone; zero while it has an entry.
	goneAt         time.Time
	awaitingAnswer map[CallID]*call
}

func newTarget(id fleet.TargetID, inc fleet.Incarnation) *target {
	t := &target{id: id, awaitingAnswer: map[CallID]*call{}}
	t.reset(inc)
	return t
}

// reset discards the statistics of an earlier incarnation.
func (t *target) reset(inc fleet.Incarnation) {
	t.incarnation = inc
	t.slowness, t.failureRate, t.pauses = 1, 0, 0
	t.pausedUntil, t.answeredAt = time.Time{}, time.Time{}
	t.maybeRestarted = false
	t.limit, t.leaving, t.returns, t.transfers, t.pace = rateLimit{}, false, returnState{}, transferState{}, fleetPace{}
}

// isServing reports whether a target that is not gone takes new requests.
func (t *target) isServing() bool { return t.entry.State == fleet.TargetServing && !t.leaving }

// responseReceived records what a target states in a response.
func (r *Router) responseReceived(ev ResponseReceived) {
	t := r.targets[ev.Target]
	if t == nil || t.incarnation != ev.Incarnation {
		return
	}
	if !ev.LimitUnknown {
		r.limitStated(t, ev.Limit)
	}
	t.leaving = t.leaving || ev.Leaving
	if t.entry != nil {
		t.noteState(r.now)
	}
	if ev.RetryAfter > 0 {
		t.returns.decline(r.now, ev.RetryAfter)
	}
}

func (t *target) addCall(k *call) {
	t.running++
	t.awaitingAnswer[k.ID] = k
}

// begin records that the answer to a call has begun.
func (t *target) begin(k *call, now time.Time) {
	delete(t.awaitingAnswer, k.ID)
	t.answeredAt = now
	t.pauses, t.maybeRestarted = 0, false
	t.returns.begin(k)
}

// queuedTokens estimates the prompt tokens of this router's calls that the target has still to
// process, from the time since they were sent.
func (t *target) queuedTokens(now time.Time) int {
	left := 0.0
	for _, k := range t.awaitingAnswer {
		part := 1 - float64(now.Sub(k.sentAt))/float64(max(k.expectedFirstByte, time.Millisecond))
		left += float64(k.prefillTokens) * max(part, minShareLeft)
	}
	return int(left)
}

// removeCall removes a call whose attempt ended.
func (t *target) removeCall(k *call) {
	t.running--
	delete(t.awaitingAnswer, k.ID)
	t.returns.removeCall(k)
}

// longestWait returns the longest time that any call has waited for its first byte so far.
func (t *target) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, k := range t.awaitingAnswer {
		longest = max(longest, now.Sub(k.sentAt))
	}
	return longest
}

// pause excludes a target for a time that doubles with each pause, up to maxPause.
func (t *target) pause(now time.Time) {
	d := min(maxPause, minPause<<min(t.pauses, 8))
	t.pauses++
	t.pausedUntil = now.Add(d)
}

// recordOutcome updates a target's state by the outcome of an attempt.
func (r *Router) recordOutcome(k *call, t *target, ev AttemptEnded) {
	failed := 0.0
	switch ev.Outcome {
	case Answered:
		r.sustain(k)
	case CallerGone, Withdrawn, Superseded, VersionRefused:
		return
	case Unreached:
		t.maybeRestarted = true
		t.pause(r.now)
		return
	case Misdirected:
		if t.entry != nil {
			r.directory.SetAside(r.now, t.id)
			r.rebuildIndex()
		}
		return
	case Broken, Truncated:
		failed = 1
		r.report.addCrash(k)
		if !k.answerSustained {
			r.parts.addCrash(k, t)
		}
		if !k.answerBegun {
			t.maybeRestarted = true
		}
	case FailedAnswer:
		failed = 1
		r.sustain(k)
	case Expired:
		failed = 1
	case Declined:
		t.pausedUntil = r.now.Add(minPause)
	}
	t.failureRate += failureGain * (failed - t.failureRate)
}
