package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// stopRequested begins a planned stop: the host leaves the hosts answer, and still
// takes requests until the longest answer that a caller may keep has lapsed.
func (r *Router) stopRequested(now time.Time) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.drainedAt = now
	if r.config.Fleet != nil {
		r.drainedAt = now.Add(r.config.Fleet.Policy.HostsValidity + StopMargin)
	}
	for _, p := range r.peers {
		p.dirty = true
	}
}

// checkDrained tells when nothing is left to wait for.
func (r *Router) checkDrained(now time.Time) {
	if !r.stopping || r.drained || now.Before(r.drainedAt) || len(r.requests) > 0 || len(r.releasing) > 0 {
		return
	}
	r.drained = true
	r.emit(Drained{})
}

// stopForced ends every request with its verdict.
func (r *Router) stopForced(now time.Time) {
	r.stopping = true
	r.drainedAt = now
	for _, id := range r.requestIDs() {
		q := r.requests[id]
		if q.state == stateRecording {
			r.done(now, q)
			continue
		}
		if q.attempt != nil {
			q.mayHaveRun = true
			r.release(q, fleet.OutcomeUnknown)
		}
		r.fail(now, q, fleet.ReasonStopping, 0, "the host was told to stop at once")
	}
}
