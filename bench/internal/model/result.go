package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Result is what a run measured.
type Result struct {
	Services map[fleet.ServiceName]*ServiceResult
	// NoNewWork is the time from a disturbance to the last start of work that it forbids.
	LastForbiddenStart map[workload.DisturbanceKind]time.Duration
	// Refusals counts requests ended without a grant.
	Refusals map[fleet.Reason]int
	// Unused counts grants that came too late or for a ticket that had gone.
	UnusedGrants int
	// StandingUsed counts requests started on standing grants.
	StandingStarts int
	// TakeOverGap is the longest time without a start after the dispatcher died, and
	// StartsWithoutDispatcher the starts until its lease had lapsed.
	LongestStartGap         time.Duration
	StartsWithoutDispatcher int
}

// ServiceResult is what a run measured of one service.
type ServiceResult struct {
	// Gap is the largest difference in weighted service between two customers since
	// both became backlogged; First and Second are the customers and GapAt the moment.
	FairnessGap   float64
	First, Second fleet.CustomerName
	FairnessGapAt time.Duration
	// Utilisation is the share of bearable slots in use while work waited, and
	// WaitingTime how long work waited.
	Utilisation float64
	BacklogTime time.Duration
	// Waits holds each customer's waits for a start, in microseconds.
	WaitTimes map[fleet.CustomerName]*hdrhistogram.Histogram
	// Delivered is the service delivered in all, in cost.
	Delivered float64
	// Overloads counts admissions above what a target bore, Falls the targets that fell over.
	Overloads, OverloadCrashes int
	// Crashes counts the targets that a crashing request took down.
	JobCrashes int
	// PrefixHits counts prompts found in a cache, Admitted all admissions.
	PrefixHits, Admitted int
	Completed            int
	Failed               map[fleet.Outcome]int
}

// Bounds of the waits that are recorded, in microseconds.
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

// Refused returns the number of requests ended without a grant.
func (r *Result) Refused() int {
	total := 0
	for _, count := range r.Refusals {
		total += count
	}
	return total
}
