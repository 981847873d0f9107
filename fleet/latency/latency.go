// Package latency keeps histograms of times and publishes them among the counters of a
// process.
package latency

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the maxRecorded time that a histogram tells apart.
	maxRecorded = 10 * time.Minute
	// significantDigits is the number of significant significantDigits, which bounds the memory of a histogram
	// to some tens of KiB.
	significantDigits = 2
)

// Histograms is a set of histograms by name. It implements expvar.Var.
type Histograms struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Publish makes a set and publishes it under a name.
func Publish(name string) *Histograms {
	h := New()
	expvar.Publish(name, h)
	return h
}

// New makes a set without histograms.
func New() *Histograms { return &Histograms{histograms: map[string]*hdrhistogram.Histogram{}} }

// Record adds a time to the histogram of a name.
func (h *Histograms) Record(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.histograms[name]
	if g == nil {
		g = hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
		h.histograms[name] = g
	}
	// The bounds are kept, so recording can't fail.
	_ = g.RecordValue(min(max(d.Microseconds(), 1), maxRecorded.Microseconds()))
}

// Summary is what is published of one histogram, in milliseconds.
type Summary struct {
	Count                    int64
	Mean, P50, P90, P99, Max float64
}

// Summaries returns what is published of all histograms.
func (h *Histograms) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	out := map[string]Summary{}
	for name, g := range h.histograms {
		out[name] = Summary{
			Count: g.TotalCount(), Mean: g.Mean() / 1000, P50: ms(g.ValueAtQuantile(50)),
			P90: ms(g.ValueAtQuantile(90)), P99: ms(g.ValueAtQuantile(99)), Max: ms(g.Max()),
		}
	}
	return out
}

// String implements expvar.Var.
func (h *Histograms) String() string {
	data, err := json.Marshal(h.Summaries())
	if err != nil {
		return "{}"
	}
	return string(data)
}
