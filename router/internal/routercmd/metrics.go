package routercmd

import (
	"expvar"
	"syscall"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
	"github.com/fuchsiashed/fuchsiashed/router/internal/engine"
)

// Metrics that operators read at /debug/vars.
var (
	refusals  = expvar.NewMap("RouterRefusals")
	retries   = expvar.NewMap("RouterRetries")
	resumes   = expvar.NewMap("RouterResumes")
	decisions = expvar.NewMap("RouterDecisions")
	gauges    = expvar.NewMap("RouterGauges")
)

// recorder stores decisions for the explain command and counts them by event; it also counts
// refusals, retries and resumes by reason.
type recorder struct {
	decisionLog *explain.DecisionLog
}

// Perform implements engine.Performer for Decided.
func (r *recorder) Perform(e fleet.Effect) {
	d, ok := e.(routing.Decided)
	if !ok {
		return
	}
	r.decisionLog.Add(d.Decision)
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

// publishGauges publishes the numbers of waiting and running requests, the CPU time, and the
// bytes read and written on connections to control hosts and dispatchers.
func publishGauges(e *engine.Engine, t *rpc.Traffic) {
	gauges.Set("Waiting", expvar.Func(func() any { n, _ := counts(e); return n }))
	gauges.Set("Running", expvar.Func(func() any { _, n := counts(e); return n }))
	gauges.Set("CPUMicroseconds", expvar.Func(func() any { return cpuTime().Microseconds() }))
	gauges.Set("ControlBytesRead", expvar.Func(func() any { return t.BytesRead() }))
	gauges.Set("ControlBytesWritten", expvar.Func(func() any { return t.BytesWritten() }))
}

// cpuTime returns the user and system CPU time that the process has used, or 0 if it can't
// be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func counts(e *engine.Engine) (waiting, running int) {
	e.Inspect(func(r *routing.Router) { waiting, running = r.Counts() })
	return waiting, running
}

// countRefusal counts a refusal that the reducer did not decide.
func countRefusal(reason fleet.Reason) { refusals.Add(string(reason), 1) }
