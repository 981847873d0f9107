package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// stopRequested starts a planned stop: the host leaves the hosts answer, but admits requests
// until the hosts answers that callers may have cached have expired.
func (r *Router) stopRequested(now time.Time) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.drainNotBefore = now
	if r.config.Fleet != nil {
		r.drainNotBefore = now.Add(r.config.Fleet.Policy.HostsValidity + StopMargin)
	}
	for _, p := range r.peers {
		p.dirty = true
	}
}

// checkDrained emits Drained once no request or attempt is open in a planned stop.
func (r *Router) checkDrained(now time.Time) {
	if !r.stopping || r.drained || now.Before(r.drainNotBefore) || len(r.requests) > 0 || len(r.releasing) > 0 {
		return
	}
	r.drained = true
	r.emit(Drained{})
}

// stopForced ends every request at once.
func (r *Router) stopForced(now time.Time) {
	r.stopping = true
	r.drainNotBefore = now
	for _, id := range r.requestIDs() {
		q := r.requests[id]
		if q.state == stateRecording {
			r.answerDone(now, q)
			continue
		}
		if q.attempt != nil {
			q.mayHaveRun = true
			r.release(q, fleet.OutcomeUnknown)
		}
		r.fail(now, q, fleet.ReasonStopping, 0, "the host was told to stop at once")
	}
}
