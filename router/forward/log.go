package forward

import (
	"expvar"
	"log/slog"

	"github.com/fuchsiashed/fuchsiashed/fleet/latency"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

var (
	refusals         = expvar.NewMap("ForwardRefusals")
	outcomes         = expvar.NewMap("ForwardOutcomes")
	retries          = expvar.NewMap("ForwardRetries")
	handshakes       = expvar.NewInt("ForwardHandshakes")
	skippedResponses = expvar.NewInt("ForwardSkippedAnswers")
	// targetStatements counts the responses in which a target states something about itself.
	targetStatements = expvar.NewMap("ForwardTargetStatements")
	// copySources counts the attempts sent to engines that support transfers of cached parts: those
	// that named a source, those that did not, by placement.NoSource, and those whose source was
	// dropped before they were written.
	copySources = expvar.NewMap("ForwardCopySources")
	// copies counts the answers of targets that were asked to fetch a part, by outcome.
	copies = expvar.NewMap("ForwardCopies")
	// responseTimes holds, by route, the time from the start of an attempt to the first
	// byte of its response, and from the request's arrival to the end of the attempt.
	// predictionErrors holds, by route, the absolute difference between the expected
	// and the actual time to the first byte.
	responseTimes    = latency.Publish("ForwardTimes")
	predictionErrors = latency.Publish("ForwardExpectedOff")
)

// The keys of copySources besides the values of placement.NoSource.
const (
	sourceNamed   = "Named"
	sourceDropped = "Dropped"
)

// copyAttrs counts whether a request names a source of cached parts, and returns the fields for the
// log.
func copyAttrs(b *placement.Basis) []any {
	switch {
	case b.CopySource != "":
		copySources.Add(sourceNamed, 1)
		return []any{logevent.FieldCopySource, string(b.CopySource), logevent.FieldCopiedTokens, b.CopiedTokens}
	case b.NoSource != "":
		copySources.Add(string(b.NoSource), 1)
		return []any{logevent.FieldNoSource, string(b.NoSource)}
	}
	return nil
}

// logTransferEnded counts a transfer, and logs that its source is not named for a time.
func (f *Forwarder) logTransferEnded(e placement.TransferEnded) {
	copies.Add(string(e.Outcome), 1)
	if e.BackOff > 0 {
		f.cfg.Log.Warn(logevent.SourceBackedOff, logevent.FieldCopySource, string(e.Source), logevent.FieldTarget, string(e.Target), logevent.FieldOutcome, string(e.Outcome),
			logevent.FieldBackOff, e.BackOff.Milliseconds(), logevent.FieldWaited, e.Waited.Milliseconds(), logevent.FieldExpectedFirstByte, e.Expected.Milliseconds())
	}
}

// logSent logs the chosen target and what the choice was based on.
func (f *Forwarder) logSent(req *Request, s placement.Send) {
	attrs := []any{
		logevent.FieldRequest, string(req.Call.Request), logevent.FieldRoute, req.Call.Route.Name,
		logevent.FieldCustomer, string(req.Call.Customer), logevent.FieldCaller, req.Caller, logevent.FieldAttempt, s.Attempt, logevent.FieldTarget, string(s.Target),
		logevent.FieldIncarnation, uint64(s.Incarnation), logevent.FieldSoftwareVersion, string(s.SoftwareVersion), logevent.FieldResumes, string(req.Call.Resumes), logevent.FieldRank, s.Basis.Rank, logevent.FieldCandidates, s.Basis.Candidates,
		logevent.FieldQueuedTokens, s.Basis.QueuedTokens, logevent.FieldPrefillTokens, s.Basis.PrefillTokens, logevent.FieldRunning, s.Basis.Running, logevent.FieldSlowness, s.Basis.Slowness,
		logevent.FieldExpectedFirstByte, s.Basis.ExpectedFirstByte.Milliseconds(), logevent.FieldDigestAge, s.Basis.DigestAge.Milliseconds(),
		logevent.FieldTargetsAge, s.Basis.TargetsAge.Milliseconds(),
	}
	if s.Basis.Limit > 0 {
		attrs = append(attrs, logevent.FieldLimit, float64(s.Basis.Limit), logevent.FieldLimitQuota, s.Basis.LimitQuota)
	}
	if s.Basis.Pace > 0 {
		attrs = append(attrs, logevent.FieldPace, s.Basis.Pace, logevent.FieldPaceAge, s.Basis.PaceAge.Milliseconds())
	}
	attrs = append(attrs, copyAttrs(&s.Basis)...)
	if s.Basis.Hedge.Of > 0 {
		attrs = append(attrs, hedgeAttrs(&s.Basis.Hedge)...)
	}
	countSide(&s.Basis.Rollout)
	f.cfg.Log.Info(logevent.RequestSent, appendRollout(attrs, &s.Basis.Rollout)...)
}

// logRefused counts and logs a refused request.
func (f *Forwarder) logRefused(req *Request, e placement.Refuse) {
	refusals.Add(string(e.Reason), 1)
	attrs := []any{
		logevent.FieldRequest, string(req.Call.Request), logevent.FieldRoute, req.Call.Route.Name,
		logevent.FieldCustomer, string(req.Call.Customer), logevent.FieldCaller, req.Caller, logevent.FieldResumes, string(req.Call.Resumes), logevent.FieldReason, string(e.Reason), logevent.FieldRetryAfter, e.RetryAfter.Milliseconds(),
		logevent.FieldExpectedFirstByte, e.Basis.ExpectedFirstByte.Milliseconds(), logevent.FieldQueueDelay, e.Basis.QueueDelay.Milliseconds(), logevent.FieldCandidates, e.Basis.Candidates,
		logevent.FieldQueuedTokens, e.Basis.QueuedTokens, logevent.FieldSlowness, e.Basis.Slowness, logevent.FieldAdmittedShare, e.Share, logevent.FieldDigestAge, e.Basis.DigestAge.Milliseconds(),
	}
	// A warning, because a refused request has no other line and warnings are dropped
	// last.
	f.cfg.Log.Warn(logevent.RequestRefused, appendRollout(attrs, &e.Basis.Rollout)...)
}

// logEnded counts and logs the outcome of an attempt.
func (f *Forwarder) logEnded(x *exchange, o placement.Outcome) {
	outcomes.Add(string(o), 1)
	if x.send.Attempt > 1 {
		retries.Add(string(o), 1)
	}
	attrs := []any{
		logevent.FieldRequest, string(x.req.Call.Request), logevent.FieldAttempt, x.send.Attempt, logevent.FieldTarget, string(x.send.Target),
		logevent.FieldOutcome, string(o), logevent.FieldStatus, x.status, logevent.FieldElapsed, f.cfg.Clock.Now().Sub(x.req.Call.ArrivedAt).Milliseconds(),
	}
	level := slog.LevelInfo
	route := x.req.Call.Route.Name
	responseTimes.Record("End "+string(o)+" "+route, f.cfg.Clock.Now().Sub(x.req.Call.ArrivedAt))
	if !x.firstByte.IsZero() {
		timeToFirstByte := x.firstByte.Sub(x.sentAt)
		responseTimes.Record("FirstByte "+route, timeToFirstByte)
		predictionErrors.Record(route, (timeToFirstByte - x.send.Basis.ExpectedFirstByte).Abs())
		attrs = append(attrs, logevent.FieldFirstByte, x.firstByte.Sub(x.sentAt).Milliseconds())
	}
	if !x.writtenAt.IsZero() {
		attrs = append(attrs, logevent.FieldSendDelay, x.writtenAt.Sub(x.sentAt).Milliseconds())
	}
	if x.stated.Limit > 0 {
		attrs = append(attrs, logevent.FieldLimit, float64(x.stated.Limit))
	}
	if x.stated.RetryAfter > 0 {
		attrs = append(attrs, logevent.FieldTargetRetryAfter, x.stated.RetryAfter.Milliseconds())
	}
	if x.stated.Leaving {
		attrs = append(attrs, logevent.FieldLeaving, true)
	}
	if x.err != nil {
		attrs = append(attrs, logevent.FieldError, x.err.Error())
	}
	if o != placement.Answered && o != placement.Superseded {
		level = slog.LevelWarn
	}
	f.cfg.Log.Log(x.ctx, level, logevent.AttemptEnded, attrs...)
}
