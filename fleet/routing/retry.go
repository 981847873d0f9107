package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Bounds of the exponential back-off.
const (
	backOffBase = 20 * time.Millisecond
	backOffMax  = 2 * time.Second
)

// The retry budget, in hundredths of a retry.
const (
	retryCost      = 100
	retryBudgetMax = 100 * retryCost
	// retryBudgetInitial allows a few retries after the start, before any success.
	retryBudgetInitial = 10 * retryCost
)

// retryBudget bounds retries to a percentage of the successes (Policy.RetryBudgetPercent).
type retryBudget struct {
	// started reports whether the initial budget has been added.
	started bool
	// remaining is the budget in hundredths of a retry.
	remaining int
}

// initialise adds the initial budget once the configuration is known.
func (b *retryBudget) initialise(f *fleet.Fleet) {
	if b.started || f == nil {
		return
	}
	b.started = true
	if f.Policy.RetryBudgetPercent > 0 {
		b.remaining = retryBudgetInitial
	}
}

// addSuccess adds the hundredths of a retry that a successful request earns.
func (b *retryBudget) addSuccess(f *fleet.Fleet) {
	if f == nil {
		return
	}
	b.initialise(f)
	b.remaining = min(b.remaining+f.Policy.RetryBudgetPercent, retryBudgetMax)
}

// take spends one retry; it returns false if the budget is used up.
func (b *retryBudget) take(f *fleet.Fleet) bool {
	b.initialise(f)
	if b.remaining < retryCost {
		return false
	}
	b.remaining -= retryCost
	return true
}

// backOff returns the delay before retry n, counted from 0: a random time between half and all
// of a bound that doubles with each retry.
func backOff(n int, random uint64) time.Duration {
	d := backOffMax
	if n < 10 {
		d = min(backOffBase<<n, backOffMax)
	}
	half := uint64(d / 2)
	return d/2 + time.Duration(splitMix64(random, uint64(n))%(half+1))
}

// splitMix64 returns the nth pseudo-random number of a seed.
func splitMix64(seed, n uint64) uint64 {
	z := seed + (n+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// retry requests another attempt after a back-off, or ends the request.
func (r *Router) retry(now time.Time, q *request, reason fleet.Reason, ev AttemptEnded) {
	// The target's Retry-After does not delay the retry: the dispatcher may choose another
	// target.
	at := now.Add(backOff(q.retries, q.Random))
	after := max(retryAfterTarget, ev.RetryAfter)
	if q.callerGone {
		r.abandon(q)
		return
	}
	if q.answerStarted {
		r.fail(now, q, reason, 0, "the answer broke off: %s", ev.Detail)
		return
	}
	if !at.Before(q.deadline) {
		r.fail(now, q, reason, after, "the target failed and no time is left for another: %s", ev.Detail)
		return
	}
	if reason != fleet.ReasonSuspectWithdrawn && !r.budget.take(r.config.Fleet) {
		r.recordDecision(now, q, EventNotRetried, fleet.ReasonRetryBudget, "")
		r.fail(now, q, reason, after, "the target failed and the retry budget is spent: %s", ev.Detail)
		return
	}
	q.retries++
	if reason != fleet.ReasonSuspectWithdrawn {
		q.lastFailure = attemptFailure{reason, ev.Detail, after}
	}
	q.queueUntil = at.Add(q.queueTimeout)
	r.recordDecision(now, q, EventRetried, reason, ev.Detail)
	r.setState(q, stateBackingOff, at)
	r.emit(WakeAfter{Delay: at.Sub(now)})
}
