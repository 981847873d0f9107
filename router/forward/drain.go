package forward

import (
	"sync/atomic"
	"time"
)

// Drain decides which requests a router still admits once its planned stop has begun.
// Callers keep sending requests until they have a list of hosts without this router, so
// requests are still admitted, except those that the stop may have to cut off.
type Drain struct {
	// AdmitAllFor is how long every request is still admitted. Later requests are
	// admitted only if their deadline is answerTime before Limit. Both count from the
	// beginning of the stop.
	AdmitAllFor, Limit time.Duration

	startedAt atomic.Pointer[time.Time]
}

// answerTime is the time to answer a request whose deadline has passed, also while the process waits
// for the processor.
const answerTime = 200 * time.Millisecond

// Begin records the beginning of the stop.
func (d *Drain) Begin(now time.Time) { d.startedAt.Store(&now) }

// Begun reports whether the stop has begun.
func (d *Drain) Begun() bool { return d.startedAt.Load() != nil }

// Admits reports whether a request is admitted that arrived at now and ends by its
// deadline.
func (d *Drain) Admits(now, deadline time.Time) bool {
	startedAt := d.startedAt.Load()
	if startedAt == nil || now.Sub(*startedAt) < d.AdmitAllFor {
		return true
	}
	return deadline.Sub(*startedAt) <= d.Limit-answerTime
}
