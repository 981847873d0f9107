package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// returnSpread is the time over which callers return that were refused because no target takes
// requests now.
const returnSpread = time.Second

// returnState is that of a target which declined a request and stated for how long it wants no
// more. After that time it gets one request at a time until one is answered.
type returnState struct {
	// at is when the target takes requests again; zero if it did not decline any.
	at time.Time
	// probe is the request that the target has got since then; nil for none.
	probe *call
}

// decline records that a target wants no requests for a time. Of several statements the one that
// ends last counts.
func (s *returnState) decline(now time.Time, after time.Duration) {
	if at := now.Add(after); at.After(s.at) {
		s.at = at
	}
}

// accepts reports whether the target may get a request now.
func (s *returnState) accepts(now time.Time) bool {
	return s.at.IsZero() || !now.Before(s.at) && s.probe == nil
}

// acceptsCall reports whether the target takes a call that was chosen for it before.
func (s *returnState) acceptsCall(k *call, now time.Time) bool {
	return s.at.IsZero() || !now.Before(s.at) && (s.probe == nil || s.probe == k)
}

// addCall records a request to the target.
func (s *returnState) addCall(k *call) {
	if !s.at.IsZero() {
		s.probe = k
	}
}

// begin records that the target has begun an answer. Those to requests from before it declined one
// tell nothing about its return.
func (s *returnState) begin(k *call) {
	if s.probe == k && k != nil {
		*s = returnState{}
	}
}

// removeCall records the end of a request.
func (s *returnState) removeCall(k *call) {
	if s.probe == k {
		s.probe = nil
	}
}

// returnsAt returns when a target may take a request of this router again, and why it is not
// available for a call. The time is a guess if the target has not stated one.
func (r *Router) returnsAt(t *target) (time.Time, fleet.Reason) {
	switch {
	case !t.returns.accepts(r.now):
		return t.returns.at, fleet.ReasonTargetRetryAfter
	case !r.hasLimitQuota(t):
		return r.limitQuotaAt(t), fleet.ReasonTargetLimit
	}
	return r.now.Add(r.cfg.Policy.NoTargetRetryDelay), fleet.ReasonNoTarget
}

// noTargetReason returns the reason why there is no target for a call, and when the caller may
// retry: when the first target takes requests again.
func (r *Router) noTargetReason(k *call) (fleet.Reason, time.Duration) {
	var earliest time.Time
	reason := fleet.ReasonNoTarget
	for _, t := range r.suitable(k) {
		if at, why := r.returnsAt(t); earliest.IsZero() || at.Before(earliest) {
			earliest, reason = at, why
		}
	}
	if reason == fleet.ReasonNoTarget {
		return reason, r.cfg.Policy.NoTargetRetryDelay
	}
	spread := time.Duration(hashOf(string(k.Request)) % uint64(returnSpread))
	return reason, max(earliest.Sub(r.now), minRetryDelay) + spread
}
