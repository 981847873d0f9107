package fairshare

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// buckets is the number of parts of a Window.
const buckets = 16

// Window sums what customers asked for over a sliding span of time.
type Window struct {
	span  time.Duration
	parts [buckets]Demand
	// last is the number of the newest part, counted from the Unix epoch.
	last int64
	// since is when the window began to be filled.
	since time.Time
}

// NewWindow makes a window of a span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

func (w *Window) part(now time.Time) int64 {
	return now.UnixNano() / int64(w.span/buckets)
}

// advance drops the parts that are older than the span.
func (w *Window) advance(now time.Time) {
	n := w.part(now)
	for i := max(w.last+1, n-buckets+1); i <= n; i++ {
		w.parts[i%buckets] = nil
	}
	w.last = max(w.last, n)
}

// Add takes tokens that a customer asked for.
func (w *Window) Add(now time.Time, c fleet.CustomerName, tokens float64) {
	w.advance(now)
	if w.since.IsZero() {
		w.since = now
	}
	p := &w.parts[w.last%buckets]
	if *p == nil {
		*p = Demand{}
	}
	(*p)[c] += tokens
}

// Rates returns the tokens a second that each customer asked for.
func (w *Window) Rates(now time.Time) Demand {
	w.advance(now)
	covered := max(min(now.Sub(w.since), w.span), w.span/buckets)
	out := Demand{}
	for _, p := range w.parts {
		for c, tokens := range p {
			out[c] += tokens / covered.Seconds()
		}
	}
	return out
}
