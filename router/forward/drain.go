package forward

import (
	"sync/atomic"
	"time"
)

// Drain decides which requests a router still takes once its planned stop has begun.
// Callers may come until they have heard of the stop, so it goes on taking requests, but
// not such as it may have to break off.
type Drain struct {
	// AdmitAllFor is how long every request is still taken. One that is taken later must be sure
	// to end before Limit. Both count from the begin of the stop.
	AdmitAllFor, Limit time.Duration

	startedAt atomic.Pointer[time.Time]
}

// Begin notes the begin of the stop.
func (d *Drain) Begin(now time.Time) { d.startedAt.Store(&now) }

// Begun says whether the stop has begun.
func (d *Drain) Begun() bool { return d.startedAt.Load() != nil }

// Admits says whether a request that arrived now, and ends at its deadline at the latest,
// is taken.
func (d *Drain) Admits(now, deadline time.Time) bool {
	began := d.startedAt.Load()
	if began == nil || now.Sub(*began) < d.AdmitAllFor {
		return true
	}
	return deadline.Sub(*began) <= d.Limit
}
