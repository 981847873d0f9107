package routercmd

import (
	"expvar"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// Counters that operators read at /debug/vars.
var (
	refusals  = expvar.NewMap("RouterRefusals")
	retries   = expvar.NewMap("RouterRetries")
	resumes   = expvar.NewMap("RouterResumes")
	decisions = expvar.NewMap("RouterDecisions")
)

// recorder records decisions and counts their reasons.
type recorder struct {
	record *explain.Record
}

// Perform implements engine.Performer for Decided.
func (r *recorder) Perform(e fleet.Effect) {
	d, ok := e.(routing.Decided)
	if !ok {
		return
	}
	r.record.Add(d.Decision)
	decisions.Add(d.Decision.Event, 1)
	switch d.Decision.Event {
	case routing.EventRefused:
		refusals.Add(string(d.Decision.Reason), 1)
	case routing.EventRetried:
		retries.Add(string(d.Decision.Reason), 1)
	case routing.EventResumed:
		resumes.Add(string(d.Decision.Reason), 1)
	}
}

// refused counts a refusal that the reducer did not decide.
func refused(reason fleet.Reason) { refusals.Add(string(reason), 1) }
