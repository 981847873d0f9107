package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryLimits bounds the second attempts at a service over all routers: in each Window,
// Ratio times its requests, plus Extra.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// retryMargin is the part of the bound that is used, since windows slide.
const retryMargin = 0.8

// budgetParts is the number of parts of a budget's window.
const budgetParts = 20

// retryShare is what one of several routers may use of the limits.
type retryShare struct {
	limits  RetryLimits
	routers int
}

// budget counts requests and second attempts at one service over a sliding window.
type budget struct {
	part    time.Duration
	last    int64
	asks    [budgetParts]int
	repeats [budgetParts]int
}

func newBudget(window time.Duration) *budget { return &budget{part: max(window/budgetParts, 1)} }

// advance clears the parts that are older than the window.
func (b *budget) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(b.part)
	for i := max(b.last+1, n-budgetParts+1); i <= n; i++ {
		b.asks[i%budgetParts], b.repeats[i%budgetParts] = 0, 0
	}
	b.last = max(b.last, n)
	return b.last % budgetParts
}

func (b *budget) asked(now time.Time) { b.asks[b.advance(now)]++ }

// repeat takes one second attempt and says whether the budget allows it.
func (b *budget) repeat(now time.Time, share retryShare) bool {
	i := b.advance(now)
	asks, repeats := 0, 0
	for j := range budgetParts {
		asks += b.asks[j]
		repeats += b.repeats[j]
	}
	allowed := retryMargin * (share.limits.Ratio*float64(asks) + share.limits.Extra/float64(share.routers))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[i]++
	return true
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
