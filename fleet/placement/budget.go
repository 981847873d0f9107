package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// RetryLimits limits the retries of a service at all routers together: in each Window, Ratio
// times the number of its requests, plus Extra.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// retryUsableShare is the fraction of the limit that is used. The rest is a margin, since the
// limit holds for a sliding window, while the budget's window moves in steps.
const retryUsableShare = 0.8

// budgetWindowParts is the number of parts of a retryBudget's window.
const budgetWindowParts = 20

// retryShare is one router's share of the limits, with the number of routers.
type retryShare struct {
	limits  RetryLimits
	routers int
}

// retryBudget counts the requests and retries of one service in a sliding window.
type retryBudget struct {
	// partLength is the length of one part of the window.
	partLength time.Duration
	// newest is the number of the newest part, counted from the Unix epoch.
	newest   int64
	requests [budgetWindowParts]int
	// retries has the hedged requests too.
	retries [budgetWindowParts]int
	hedges  [budgetWindowParts]int
}

func newBudget(window time.Duration) *retryBudget {
	return &retryBudget{partLength: max(window/budgetWindowParts, 1)}
}

// advance clears the parts that are older than the window and returns the current part's
// index.
func (b *retryBudget) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(b.partLength)
	for i := max(b.newest+1, n-budgetWindowParts+1); i <= n; i++ {
		b.requests[i%budgetWindowParts], b.retries[i%budgetWindowParts], b.hedges[i%budgetWindowParts] = 0, 0, 0
	}
	b.newest = max(b.newest, n)
	return b.newest % budgetWindowParts
}

func (b *retryBudget) addRequest(now time.Time) { b.requests[b.advance(now)]++ }

// tryRetry reports whether the budget permits a retry, and counts it if so.
func (b *retryBudget) tryRetry(now time.Time, share retryShare) bool {
	i := b.advance(now)
	if b.sum(b.retries[:])+1 > b.allowedRetries(share) {
		return false
	}
	b.retries[i]++
	return true
}

// allowedRetries returns the number of retries that a router may send within the window.
func (b *retryBudget) allowedRetries(share retryShare) float64 {
	return retryUsableShare * (share.limits.Ratio*b.sum(b.requests[:]) + share.limits.Extra/float64(share.routers))
}

func (*retryBudget) sum(parts []int) float64 {
	n := 0
	for _, p := range parts {
		n += p
	}
	return float64(n)
}

// retryShare returns this router's share of the fleet's retries.
func (r *Router) retryShare() retryShare {
	return retryShare{limits: r.cfg.Retries, routers: r.peers.count()}
}

func (r *Router) budget(s fleet.ServiceName) *retryBudget {
	b := r.budgets[s]
	if b == nil {
		b = newBudget(r.cfg.Retries.Window)
		r.budgets[s] = b
	}
	return b
}

func failureReason(o Outcome) fleet.Reason {
	switch o {
	case Unreached:
		return fleet.ReasonTargetConnect
	case Withdrawn:
		return fleet.ReasonNoTarget
	case Declined, Misdirected:
		return fleet.ReasonTargetRefused
	case FailedAnswer:
		return fleet.ReasonTargetWrongAnswer
	case VersionRefused:
		return fleet.ReasonVersionRefused
	}
	return fleet.ReasonTargetReset
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
