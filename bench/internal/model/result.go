package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Result holds the measurements of a run.
type Result struct {
	// Services has an entry for every service of the trace.
	Services map[fleet.ServiceName]*ServiceResult
	// LastForbiddenStart is the time from a disturbance until the last start of a request on
	// a target that should get no new work, by kind of disturbance.
	LastForbiddenStart map[workload.DisturbanceKind]time.Duration
	// Refusals counts the requests that ended without being completed, by reason.
	Refusals map[fleet.Reason]int
	// UnusedGrants counts grants that were not usable on arrival, or whose ticket no longer
	// waited.
	UnusedGrants int
	// StandingStarts counts requests that were started on standing grants.
	StandingStarts int
	// LongestStartGap is the longest time without a start after the dispatcher was killed, and
	// StartsWithoutDispatcher the number of starts within one lease duration after that.
	LongestStartGap         time.Duration
	StartsWithoutDispatcher int
}

// ServiceResult holds the measurements of one service.
type ServiceResult struct {
	// FairnessGap is the largest difference in weighted service, in cost, between two
	// customers since both became backlogged. First and Second are these customers, and
	// FairnessGapAt the time since the start of the run.
	FairnessGap   float64
	First, Second fleet.CustomerName
	FairnessGapAt time.Duration
	// Utilisation is the share of the capacity in use while requests waited, from 0 to 1.
	// BacklogTime is how long at least one request waited, in multiples of SampleInterval.
	Utilisation float64
	BacklogTime time.Duration
	// WaitTimes holds the waits of each customer's requests until their start, in
	// microseconds.
	WaitTimes map[fleet.CustomerName]*hdrhistogram.Histogram
	// Delivered is the service delivered to all customers, in cost.
	Delivered float64
	// Overloads counts admissions above the capacity of a target, OverloadCrashes the crashes
	// of targets from overload.
	Overloads, OverloadCrashes int
	// JobCrashes counts the crashes of targets that a crashing request caused.
	JobCrashes int
	// PrefixHits counts admissions whose prompt prefix was cached, Admitted all admissions.
	PrefixHits, Admitted int
	// Completed counts completed requests, Failed the failed attempts by outcome.
	Completed int
	Failed    map[fleet.Outcome]int
}

// Range and precision of the histograms of waits.
const (
	minWaitMicros     = 1
	maxWaitMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newResult(trace *workload.Trace) *Result {
	r := &Result{
		Services: map[fleet.ServiceName]*ServiceResult{}, Refusals: map[fleet.Reason]int{},
		LastForbiddenStart: map[workload.DisturbanceKind]time.Duration{},
	}
	for _, name := range trace.Fleet.ServiceNames() {
		s := &ServiceResult{WaitTimes: map[fleet.CustomerName]*hdrhistogram.Histogram{}, Failed: map[fleet.Outcome]int{}}
		for _, c := range trace.Fleet.CustomerNames() {
			s.WaitTimes[c] = hdrhistogram.New(minWaitMicros, maxWaitMicros, significantDigits)
		}
		r.Services[name] = s
	}
	return r
}

func (r *Result) service(name fleet.ServiceName) *ServiceResult { return r.Services[name] }

func (r *Result) countRefusal(reason fleet.Reason) { r.Refusals[reason]++ }

// Refused returns the number of requests in Refusals.
func (r *Result) Refused() int {
	total := 0
	for _, count := range r.Refusals {
		total += count
	}
	return total
}
