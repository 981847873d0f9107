package fairshare

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// windowParts is the number of parts of a Window, which are dropped one by one.
const windowParts = 16

// Window measures the demand of customers over a sliding window of time.
type Window struct {
	span  time.Duration
	parts [windowParts]Demand
	// newest is the number of the newest part, counted from the Unix epoch.
	newest int64
	// startedAt is the time of the first Add.
	startedAt time.Time
}

// NewWindow returns an empty window that covers span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// partNumber returns the number of the part that covers now.
func (w *Window) partNumber(now time.Time) int64 {
	return now.UnixNano() / int64(w.span/windowParts)
}

// advance moves the window to now and drops the parts that are older than the span.
func (w *Window) advance(now time.Time) {
	n := w.partNumber(now)
	for i := max(w.newest+1, n-windowParts+1); i <= n; i++ {
		w.parts[i%windowParts] = nil
	}
	w.newest = max(w.newest, n)
}

// Add counts tokens that a customer requested at now.
func (w *Window) Add(now time.Time, c fleet.CustomerName, tokens float64) {
	w.advance(now)
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	p := &w.parts[w.newest%windowParts]
	if *p == nil {
		*p = Demand{}
	}
	(*p)[c] += tokens
}

// Rates returns each customer's mean demand over the window, or over the time since the
// first Add if that is shorter.
func (w *Window) Rates(now time.Time) Demand {
	w.advance(now)
	covered := max(min(now.Sub(w.startedAt), w.span), w.span/windowParts)
	out := Demand{}
	for _, p := range w.parts {
		for c, tokens := range p {
			out[c] += tokens / covered.Seconds()
		}
	}
	return out
}
