package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of a target's concurrency limit.
const (
	// slowFactor and slowMargin define a slow first token: it takes longer than slowFactor
	// times the baseline plus slowMargin.
	slowFactor = 3
	slowMargin = 30 * time.Millisecond
	// slowStreakToHalve and slowStreakToCold are the numbers of slow first tokens in a row
	// after which the limit is halved and after which the target counts as cold.
	slowStreakToHalve = 2
	slowStreakToCold  = 4
	// slowStreakToAdapt is the number of slow first tokens in a row after which the time of
	// the last one becomes the target's own baseline.
	slowStreakToAdapt = 24
	// baselineDecay is the factor by which a faster first token lowers the target's own
	// baseline.
	baselineDecay = 0.8
	// minPause and maxPause bound the time without grants after a target failed at limit 1;
	// it doubles with each such failure.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
)

// limiter keeps the number of requests that a target may run at the same time. The limit
// starts at 1, doubles after as many successes as its value, and is lowered after failures
// and slow first tokens.
type limiter struct {
	limit fleet.Slots
	// successes counts the successful requests since the limit changed.
	successes fleet.Slots
	// ownBaseline is the time to the first token to expect of a target that is steadily
	// slower than the others of its service.
	ownBaseline time.Duration
	// slowStreak counts the slow first tokens in a row, failures those failures in a row that
	// came at limit 1.
	slowStreak int
	failures   int
	// retained is the limit that routers kept from an earlier lease holder; 0 if none did.
	retained fleet.Slots
	// revision is that of the newest limit sent to routers or received from them.
	revision    fleet.Sequence
	pausedUntil time.Time
}

// reset restarts the limit for a new incarnation of the target; its own baseline is kept.
func (l *limiter) reset() { *l = limiter{limit: 1, ownBaseline: l.ownBaseline} }

// recordSuccess counts a request that completed, or streamed for streamingSuccessAfter. It
// has no effect during a streak of slow first tokens.
func (l *limiter) recordSuccess(slots fleet.Slots) {
	if l.slowStreak > 0 {
		return
	}
	l.successes++
	if l.successes < l.limit {
		return
	}
	l.limit = min(2*l.limit, slots)
	l.successes = 0
}

// recordFailure lowers the limit after the target broke off or refused an attempt. At limit 1
// it pauses grants instead.
func (l *limiter) recordFailure(now time.Time) {
	l.successes = 0
	if l.limit > 1 {
		l.limit /= 2
		return
	}
	pause := min(minPause<<min(l.failures, 5), maxPause)
	l.failures++
	l.pausedUntil = now.Add(pause)
}

// slowAfter returns the time after which a first token is slow; 0 while the baseline of the
// service is unknown.
func (l *limiter) slowAfter(baseline time.Duration) time.Duration {
	if baseline == 0 {
		return 0
	}
	return slowFactor*max(baseline, l.ownBaseline) + slowMargin
}

// recordFirstToken adapts the limit to the time d to a first token and reports whether it was
// slow compared with the baseline of the service.
func (l *limiter) recordFirstToken(d, baseline time.Duration) bool {
	late := l.slowAfter(baseline)
	if late == 0 || d <= late {
		l.slowStreak = 0
		if d < l.ownBaseline {
			l.ownBaseline = time.Duration(float64(l.ownBaseline) * baselineDecay)
		}
		return false
	}
	l.slowStreak++
	switch {
	case l.slowStreak >= slowStreakToAdapt:
		l.ownBaseline, l.slowStreak = d, 0
	case l.slowStreak >= slowStreakToCold:
		l.limit, l.successes = 1, 0
	case l.slowStreak >= slowStreakToHalve:
		l.limit, l.successes = max(1, l.limit/2), 0
	}
	return true
}
