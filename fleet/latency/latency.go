// Package latency keeps latency histograms and publishes them through expvar.
package latency

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest time that a histogram records; longer times are recorded
	// as maxRecorded, and those below 1 µs as 1 µs.
	maxRecorded = 10 * time.Minute
	// significantDigits is the precision of a histogram in decimal digits. With 2 of them, a
	// histogram takes some tens of KiB.
	significantDigits = 2
)

// Histograms is a set of histograms by name. It implements expvar.Var.
type Histograms struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Publish returns a new set that is published as the expvar of the given name.
func Publish(name string) *Histograms {
	h := New()
	expvar.Publish(name, h)
	return h
}

// New returns an empty set that is not published.
func New() *Histograms { return &Histograms{histograms: map[string]*hdrhistogram.Histogram{}} }

// Record adds d to the histogram of the given name, and creates the histogram if necessary.
func (h *Histograms) Record(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.histograms[name]
	if g == nil {
		g = hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
		h.histograms[name] = g
	}
	// RecordValue fails only for values out of bounds.
	_ = g.RecordValue(min(max(d.Microseconds(), 1), maxRecorded.Microseconds()))
}

// Summary is the published form of one histogram. Times are in milliseconds.
type Summary struct {
	Count                    int64
	Mean, P50, P90, P99, Max float64
}

// Summaries returns the summary of each histogram by its name.
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
