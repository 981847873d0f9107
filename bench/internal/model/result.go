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
	NoNewWork map[workload.DisturbanceKind]time.Duration
	// Refusals counts requests ended without a grant.
	Refusals map[fleet.Reason]int
	// Unused counts grants that came too late or for a ticket that had gone.
	Unused int
	// StandingUsed counts requests started on standing grants.
	StandingUsed int
	// TakeOverGap is the longest time without a start after the dispatcher died, and
	// StartsWithoutDispatcher the starts until its lease had lapsed.
	TakeOverGap             time.Duration
	StartsWithoutDispatcher int
}

// ServiceResult is what a run measured of one service.
type ServiceResult struct {
	// Gap is the largest difference in weighted service between two customers since
	// both became backlogged; First and Second are the customers and GapAt the moment.
	Gap           float64
	First, Second fleet.CustomerName
	GapAt         time.Duration
	// Utilisation is the share of bearable slots in use while work waited, and
	// WaitingTime how long work waited.
	Utilisation float64
	WaitingTime time.Duration
	// Waits holds each customer's waits for a start, in microseconds.
	Waits map[fleet.CustomerName]*hdrhistogram.Histogram
	// Delivered is the service delivered in all, in cost.
	Delivered float64
	// Overloads counts admissions above what a target bore, Falls the targets that fell over.
	Overloads, Falls int
	// Crashes counts the targets that a crashing request took down.
	Crashes int
	// PrefixHits counts prompts found in a cache, Admitted all admissions.
	PrefixHits, Admitted int
	Completed            int
	Failed               map[fleet.Outcome]int
}

// Bounds of the waits that are recorded, in microseconds.
const (
	minWait = 1
	maxWait = int64(time.Hour / time.Microsecond)
	digits  = 3
)

func newResult(t *workload.Trace) *Result {
	r := &Result{
		Services: map[fleet.ServiceName]*ServiceResult{}, Refusals: map[fleet.Reason]int{},
		NoNewWork: map[workload.DisturbanceKind]time.Duration{},
	}
	for _, name := range t.Fleet.ServiceNames() {
		s := &ServiceResult{Waits: map[fleet.CustomerName]*hdrhistogram.Histogram{}, Failed: map[fleet.Outcome]int{}}
		for _, c := range t.Fleet.CustomerNames() {
			s.Waits[c] = hdrhistogram.New(minWait, maxWait, digits)
		}
		r.Services[name] = s
	}
	return r
}

func (r *Result) service(name fleet.ServiceName) *ServiceResult { return r.Services[name] }

func (r *Result) refuse(reason fleet.Reason) { r.Refusals[reason]++ }

// Refused returns the number of requests ended without a grant.
func (r *Result) Refused() int {
	n := 0
	for _, k := range r.Refusals {
		n += k
	}
	return n
}
