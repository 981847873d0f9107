package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/caller"
)

// maxLatency is the upper bound of the latency histograms.
const maxLatency = time.Hour

// Result holds the counters and latencies of a run.
type Result struct {
	// Requests counts requests, Attempts the HTTP requests sent for them, Resent the
	// run-once calls sent again after success.
	Requests int
	Attempts int
	Resent   int
	// Answered counts complete, correct answers, Wrong those that differ from the expected
	// body.
	Answered int
	Wrong    int
	// Unanswered counts requests without a correct answer, InDoubt the run-once calls among
	// them that may have run.
	Unanswered int
	InDoubt    int
	// Cut counts truncated answers (the connection broke and no failure was sent), CutStreams
	// the event streams among them, ConnectionErrors attempts without any answer, NoHosts
	// attempts for which no entry host returned the hosts to use.
	Cut              int
	CutStreams       int
	ConnectionErrors int
	NoHosts          int
	// Verdicts and Reasons count failures by verdict and by reason.
	Verdicts map[string]int
	Reasons  map[fleet.Reason]int
	// RanTwice lists idempotency keys that ran more than once, FalseNotRun the requests that
	// ran although a failure said NotRun, Lost the answered keys that never ran.
	RanTwice    []fleet.IdempotencyKey
	FalseNotRun []fleet.RequestID
	Lost        []fleet.IdempotencyKey
	// Served counts correct answers by customer.
	Served map[fleet.CustomerName]int

	mu              sync.Mutex
	notRunIDs       []fleet.RequestID
	answeredKeys    map[fleet.IdempotencyKey]bool
	timeToFirstByte *hdrhistogram.Histogram // in microseconds
	totalTime       *hdrhistogram.Histogram // in microseconds
}

func newResult() *Result {
	return &Result{
		Verdicts: map[string]int{}, Reasons: map[fleet.Reason]int{}, Served: map[fleet.CustomerName]int{},
		answeredKeys: map[fleet.IdempotencyKey]bool{}, timeToFirstByte: newHistogram(), totalTime: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func (r *Result) addCount(count *int, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count += delta
}

func (r *Result) recordFailure(id fleet.RequestID, failure caller.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Verdicts[failure.Verdict.String()]++
	r.Reasons[failure.Reason]++
	if failure.Verdict == fleet.NotRun {
		r.notRunIDs = append(r.notRunIDs, id)
	}
}

func (r *Result) recordAnswer(req request, answer caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Answered++
	r.Served[req.Customer]++
	if req.runOnce {
		r.answeredKeys[req.IdempotencyKey] = true
	}
	// Latencies above maxLatency are counted as maxLatency, so RecordValue can't fail.
	_ = r.timeToFirstByte.RecordValue(min(answer.TimeToFirstByte, maxLatency).Microseconds())
	_ = r.totalTime.RecordValue(min(answer.TotalTime, maxLatency).Microseconds())
}

// Violations returns a description of each violation of the fleet's guarantees, or nil if
// there is none.
func (r *Result) Violations() []string {
	var list []string
	if r.Wrong > 0 {
		list = append(list, fmt.Sprintf("%d answers had a wrong byte", r.Wrong))
	}
	for _, k := range r.RanTwice {
		list = append(list, fmt.Sprintf("call %s ran more than once", k))
	}
	for _, id := range r.FalseNotRun {
		list = append(list, fmt.Sprintf("request %s ran although its failure said NotRun", id))
	}
	for _, k := range r.Lost {
		list = append(list, fmt.Sprintf("call %s was answered but never ran", k))
	}
	return list
}

// Figure is a measured value with its unit; counts have the unit "1".
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// Figures returns the counters and the latency percentiles in a fixed order.
func (r *Result) Figures() []Figure {
	counts := []struct {
		name  string
		value int
	}{
		{"requests", r.Requests},
		{"attempts", r.Attempts},
		{"resent", r.Resent},
		{"answered", r.Answered},
		{"wrong", r.Wrong},
		{"unanswered", r.Unanswered},
		{"in_doubt", r.InDoubt},
		{"cut", r.Cut},
		{"cut_streams", r.CutStreams},
		{"connection_errors", r.ConnectionErrors},
		{"no_hosts", r.NoHosts},
		{"ran_twice", len(r.RanTwice)},
		{"false_not_run", len(r.FalseNotRun)},
		{"lost", len(r.Lost)},
	}
	var list []Figure
	for _, c := range counts {
		list = append(list, Figure{c.name, float64(c.value), "1"})
	}
	for _, name := range sortedKeys(r.Verdicts) {
		list = append(list, Figure{"verdict_" + name, float64(r.Verdicts[name]), "1"})
	}
	for _, name := range sortedKeys(r.Reasons) {
		list = append(list, Figure{"reason_" + string(name), float64(r.Reasons[name]), "1"})
	}
	for _, quantile := range []float64{50, 95, 99} {
		list = append(list,
			Figure{fmt.Sprintf("first_byte_p%.0f", quantile), float64(r.timeToFirstByte.ValueAtQuantile(quantile)) / 1000, "ms"},
			Figure{fmt.Sprintf("whole_p%.0f", quantile), float64(r.totalTime.ValueAtQuantile(quantile)) / 1000, "ms"})
	}
	return list
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Print writes one line per figure: name, value and unit, separated by spaces.
func (r *Result) Print(w io.Writer) {
	for _, figure := range r.Figures() {
		fmt.Fprintf(w, "%s %g %s\n", figure.Name, figure.Value, figure.Unit)
	}
}
