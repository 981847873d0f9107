package overload

import "time"

const (
	// decreaseDelay is the wait for the processor above which the limit of connections falls: a
	// quarter of 300 ms, the shortest goal of a route to an engine, and a little more.
	decreaseDelay = 80 * time.Millisecond
	// increaseDelay is the wait below which the limit rises.
	increaseDelay = 30 * time.Millisecond
	// limitDecrease and limitIncrease are the factors by which the limit changes each watchInterval.
	// A limit that fell to half is back after 1.4 s of a free processor.
	limitDecrease, limitIncrease = 0.9, 1.05
	// minAdaptiveLimit is the least limit: a router with fewer connections than this is idle
	// between the requests of its callers.
	minAdaptiveLimit = 48
)

// AdaptiveLimit computes a limit of connections from the time that goroutines wait for the
// processor. A router without processor time reads requests seconds late if it accepts as many
// connections as its memory allows.
type AdaptiveLimit struct {
	limit float64
}

// Update takes the wait for the processor, the number of open connections and the limit by memory,
// 0 for none, and returns the limit, which is at most the one by memory.
func (a *AdaptiveLimit) Update(delay time.Duration, open, most int) int {
	if most == 0 {
		return 0
	}
	if a.limit == 0 {
		a.limit = float64(most)
	}
	switch {
	case delay > decreaseDelay:
		a.limit = min(a.limit, float64(open)) * limitDecrease
	case delay < increaseDelay:
		a.limit *= limitIncrease
	}
	a.limit = min(max(a.limit, minAdaptiveLimit), float64(most))
	return int(a.limit)
}
