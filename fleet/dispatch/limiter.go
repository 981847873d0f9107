package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Rules by which a target's limit follows its behaviour.
const (
	// slowFactor is how many times its baseline a slow first token takes.
	slowFactor = 3
	// slowFloor is the least time beyond the baseline that counts as slow.
	slowFloor = 30 * time.Millisecond
	// slowHalves and slowCold are the numbers of slow first tokens in a row after
	// which the limit is halved and after which the target counts as cold.
	slowHalves = 2
	slowCold   = 4
	// steadySlow is the number of slow first tokens in a row at limit 1 after which
	// they are the target's new baseline.
	steadySlow = 16
	// firstPause and longestPause bound the time without grants after a target
	// failed at limit 1.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// baselineWeight is the weight of a sample above the baseline.
	baselineWeight = 1.0 / 16
)

// limiter keeps the number of requests that a target may run at the same time. It
// starts at 1, doubles after a full round of normal completions, and backs off.
type limiter struct {
	limit fleet.Slots
	// round counts the normal completions since the limit changed.
	round fleet.Slots
	// baseline is the usual time to the first token; it never learns slow ones, so
	// that a cold target does not pass for a warm one.
	baseline mean
	slow     int
	failures int
	// retained is the limit that routers remember from an earlier lease holder; 0
	// when none does.
	retained fleet.Slots
	// revision is that of the newest limit told to routers or by them.
	revision    fleet.Sequence
	pausedUntil time.Time
}

// reset starts over for a new incarnation of the target. The baseline stays, since
// it is that of a warm target.
func (l *limiter) reset() {
	*l = limiter{limit: 1, baseline: l.baseline}
}

// completed takes in a whole answer.
func (l *limiter) completed(slots fleet.Slots) {
	l.failures = 0
	if l.slow > 0 {
		return
	}
	l.round++
	if l.round < l.limit {
		return
	}
	l.limit = min(2*l.limit, slots)
	l.round = 0
}

// failed takes in an attempt that the target broke or refused.
func (l *limiter) failed(now time.Time) {
	l.round = 0
	if l.limit > 1 {
		l.limit /= 2
		return
	}
	pause := min(firstPause<<min(l.failures, 5), longestPause)
	l.failures++
	l.pausedUntil = now.Add(pause)
}

// firstToken takes in the time to the first token. The usual time at other targets
// of the service stands in for a baseline that is not known yet.
func (l *limiter) firstToken(d time.Duration, others mean) {
	base := l.baseline
	if !base.known {
		base = others
	}
	x := float64(d)
	if base.known && x > base.value*slowFactor+float64(slowFloor) {
		l.slowSample(x)
		return
	}
	l.slow = 0
	l.learn(x)
}

func (l *limiter) learn(x float64) {
	switch {
	case !l.baseline.known || x < l.baseline.value:
		l.baseline = mean{value: x, known: true}
	default:
		l.baseline.value += (x - l.baseline.value) * baselineWeight
	}
}

func (l *limiter) slowSample(x float64) {
	l.slow++
	l.round = 0
	switch {
	case l.slow >= slowCold:
		l.limit = 1
	case l.slow >= slowHalves:
		l.limit = max(1, l.limit/2)
	}
	if l.slow >= steadySlow {
		l.baseline = mean{value: x, known: true}
		l.slow = 0
	}
}
