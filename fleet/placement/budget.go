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
	retries  [budgetWindowParts]int
}

func newBudget(window time.Duration) *retryBudget {
	return &retryBudget{partLength: max(window/budgetWindowParts, 1)}
}

// advance clears the parts that are older than the window and returns the current part's
// index.
func (b *retryBudget) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(b.partLength)
	for i := max(b.newest+1, n-budgetWindowParts+1); i <= n; i++ {
		b.requests[i%budgetWindowParts], b.retries[i%budgetWindowParts] = 0, 0
	}
	b.newest = max(b.newest, n)
	return b.newest % budgetWindowParts
}

func (b *retryBudget) addRequest(now time.Time) { b.requests[b.advance(now)]++ }

// tryRetry reports whether the budget permits a retry, and counts it if so.
func (b *retryBudget) tryRetry(now time.Time, share retryShare) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for j := range budgetWindowParts {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	allowed := retryUsableShare * (share.limits.Ratio*float64(requests) + share.limits.Extra/float64(share.routers))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[i]++
	return true
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

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
