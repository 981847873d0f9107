package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Rules by which a target's limit follows its behaviour.
const (
	// slowFactor is how many times the usual time a slow first token takes.
	slowFactor = 3
	// slowFloor is the least time beyond the usual one that counts as slow.
	slowFloor = 30 * time.Millisecond
	// slowHalves and slowCold are the numbers of slow first tokens in a row after
	// which the limit is halved and after which the target counts as cold.
	slowHalves = 2
	slowCold   = 4
	// steadySlow is the number of slow first tokens in a row after which they are what
	// is to be expected of the target.
	steadySlow = 24
	// ownDecay is what is left of a target's own usual time after a faster first token.
	ownDecay = 0.8
	// firstPause and longestPause bound the time without grants after a target
	// failed at limit 1.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

// limiter keeps the number of requests that a target may run at the same time. It
// starts at 1, doubles after a full round of normal completions, and backs off.
type limiter struct {
	limit fleet.Slots
	// round counts the normal completions since the limit changed.
	round fleet.Slots
	// own is the usual time to the first token of a target that is steadily slower
	// than the others of its service.
	own time.Duration
	// slow and failures count slow first tokens and failures in a row.
	slow     int
	failures int
	// retained is the limit that routers remember from an earlier lease holder; 0
	// when none does.
	retained fleet.Slots
	// revision is that of the newest limit told to routers or by them.
	revision    fleet.Sequence
	pausedUntil time.Time
}

// reset starts over for a new incarnation of the target.
func (l *limiter) reset() { *l = limiter{limit: 1, own: l.own} }

// counted takes in a request that completed, or streamed for long, as it should.
func (l *limiter) counted(slots fleet.Slots) {
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

// late returns the time from which on a first token is slow; 0 while it is not known.
func (l *limiter) late(usual time.Duration) time.Duration {
	if usual == 0 {
		return 0
	}
	return slowFactor*max(usual, l.own) + slowFloor
}

// firstToken takes in the time to a first token and says whether it was slow compared
// with the usual time of the service.
func (l *limiter) firstToken(d, usual time.Duration) bool {
	late := l.late(usual)
	if late == 0 || d <= late {
		l.slow = 0
		if d < l.own {
			l.own = time.Duration(float64(l.own) * ownDecay)
		}
		return false
	}
	l.slow++
	switch {
	case l.slow >= steadySlow:
		l.own, l.slow = d, 0
	case l.slow >= slowCold:
		l.limit, l.round = 1, 0
	case l.slow >= slowHalves:
		l.limit, l.round = max(1, l.limit/2), 0
	}
	return true
}
