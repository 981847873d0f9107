package forward

import (
	"expvar"
	"log/slog"

	"github.com/fuchsiashed/fuchsiashed/fleet/latency"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

var (
	refusals   = expvar.NewMap("ForwardRefusals")
	outcomes   = expvar.NewMap("ForwardOutcomes")
	retries    = expvar.NewMap("ForwardRetries")
	handshakes = expvar.NewInt("ForwardHandshakes")
	skipped    = expvar.NewInt("ForwardSkippedAnswers")
	// times holds the time to the first byte at the target and to the end for the caller,
	// by route; expectedOff how far the expected first byte was off, by route.
	times       = latency.Publish("ForwardTimes")
	expectedOff = latency.Publish("ForwardExpectedOff")
)

// sent logs the choice of a target and what decided it.
func (f *Forwarder) sent(req *Request, s placement.Send) {
	f.cfg.Log.Info("RequestSent", "request", string(req.Call.Request), "route", req.Call.Route.Name,
		"customer", string(req.Call.Customer), "attempt", s.Attempt, "target", string(s.Target),
		"incarnation", uint64(s.Incarnation), "rank", s.Reason.Rank, "candidates", s.Reason.Candidates,
		"waitingTokens", s.Reason.Waiting, "readTokens", s.Reason.Read, "running", s.Reason.Running,
		"expectedMs", s.Reason.Expected.Milliseconds(), "digestAgeMs", s.Reason.DigestAge.Milliseconds())
}

// refused logs a refusal.
func (f *Forwarder) refused(req *Request, e placement.Refuse) {
	refusals.Add(string(e.Reason), 1)
	f.cfg.Log.Info("RequestRefused", "request", string(req.Call.Request), "route", req.Call.Route.Name,
		"customer", string(req.Call.Customer), "reason", string(e.Reason), "retryAfterMs", e.RetryAfter.Milliseconds(),
		"expectedMs", e.Basis.Expected.Milliseconds(), "waitMs", e.Basis.Wait.Milliseconds(), "candidates", e.Basis.Candidates,
		"waitingTokens", e.Basis.Waiting, "share", e.Share, "digestAgeMs", e.Basis.DigestAge.Milliseconds())
}

// ended logs how an attempt ended.
func (f *Forwarder) ended(x *exchange, o placement.Outcome) {
	outcomes.Add(string(o), 1)
	if x.send.Attempt > 1 {
		retries.Add(string(o), 1)
	}
	attrs := []any{
		"request", string(x.req.Call.Request), "attempt", x.send.Attempt, "target", string(x.send.Target),
		"outcome", string(o), "status", x.status, "elapsedMs", f.cfg.Clock.Now().Sub(x.req.Call.Arrived).Milliseconds(),
	}
	level := slog.LevelInfo
	route := x.req.Call.Route.Name
	times.Record("End "+string(o)+" "+route, f.cfg.Clock.Now().Sub(x.req.Call.Arrived))
	if !x.firstByte.IsZero() {
		seen := x.firstByte.Sub(x.sentAt)
		times.Record("FirstByte "+route, seen)
		expectedOff.Record(route, (seen - x.send.Reason.Expected).Abs())
		attrs = append(attrs, "firstByteMs", x.firstByte.Sub(x.sentAt).Milliseconds())
	}
	if x.detail != nil {
		attrs = append(attrs, "error", x.detail.Error())
	}
	if o != placement.Answered {
		level = slog.LevelWarn
	}
	f.cfg.Log.Log(x.ctx, level, "AttemptEnded", attrs...)
}
