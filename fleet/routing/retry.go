package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Bounds of the exponential back-off.
const (
	backOffBase = 20 * time.Millisecond
	backOffMost = 2 * time.Second
)

// The retry budget, in hundredths of a retry.
const (
	retryCost       = 100
	retryBudgetMost = 100 * retryCost
	// retryBudgetStart lets a router that just started retry a little.
	retryBudgetStart = 10 * retryCost
)

// retryBudget bounds retries to a part of the successes.
type retryBudget struct {
	started bool
	left    int
}

func (b *retryBudget) start(f *fleet.Fleet) {
	if b.started || f == nil {
		return
	}
	b.started = true
	if f.Policy.RetryBudgetPercent > 0 {
		b.left = retryBudgetStart
	}
}

func (b *retryBudget) success(f *fleet.Fleet) {
	if f == nil {
		return
	}
	b.start(f)
	b.left = min(b.left+f.Policy.RetryBudgetPercent, retryBudgetMost)
}

// take spends one retry, if the budget allows it.
func (b *retryBudget) take(f *fleet.Fleet) bool {
	b.start(f)
	if b.left < retryCost {
		return false
	}
	b.left -= retryCost
	return true
}

// backOff returns the wait before retry n, which counts from 0: between half and all
// of a time that doubles with each retry.
func backOff(n int, random uint64) time.Duration {
	d := backOffMost
	if n < 10 {
		d = min(backOffBase<<n, backOffMost)
	}
	half := uint64(d / 2)
	return d/2 + time.Duration(mix(random, uint64(n))%(half+1))
}

// mix draws a number from a seed and a counter (SplitMix64).
func mix(seed, n uint64) uint64 {
	z := seed + (n+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// retry asks for another attempt after a back-off, or ends the request.
func (r *Router) retry(now time.Time, q *request, reason fleet.Reason, ev AttemptEnded) {
	// What the target said about coming back concerns this target only; the dispatcher
	// may know another.
	at := now.Add(backOff(q.retries, q.Random))
	after := max(retryAfterTarget, ev.RetryAfter)
	if q.gone {
		r.abandon(q)
		return
	}
	if q.answered {
		r.fail(now, q, reason, 0, "the answer broke off: %s", ev.Detail)
		return
	}
	if !at.Before(q.deadline) {
		r.fail(now, q, reason, after, "the target failed and no time is left for another: %s", ev.Detail)
		return
	}
	if reason != fleet.ReasonSuspectWithdrawn && !r.budget.take(r.config.Fleet) {
		r.decide(now, q, EventNotRetried, fleet.ReasonRetryBudget, "")
		r.fail(now, q, reason, after, "the target failed and the retry budget is spent: %s", ev.Detail)
		return
	}
	q.retries++
	q.queueUntil = at.Add(q.patience)
	r.decide(now, q, EventRetried, reason, ev.Detail)
	r.setState(q, stateBackingOff, at)
	r.emit(WakeAfter{Delay: at.Sub(now)})
}
