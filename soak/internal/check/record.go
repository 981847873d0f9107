// Package check records what callers, targets and operators observe of a deployment, and
// verifies that it kept its guarantees.
package check

import (
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// RequestKind determines how a request may be retried.
type RequestKind string

// Kinds of requests.
const (
	// AtMostOnce requests must not be executed twice.
	AtMostOnce RequestKind = "Once"
	// Idempotent requests may be executed again.
	Idempotent RequestKind = "Repeat"
	// Stream requests are answered by an event stream, which may be resumed at another target.
	Stream RequestKind = "Stream"
)

// Request is a request as its caller observed it. Here and below, points in time are relative
// to the start of the run.
type Request struct {
	ID     fleet.RequestID
	Kind   RequestKind
	Router string
	Sent   time.Duration
	Ended  time.Duration
	// Status is the HTTP status code; 0 if there was no response.
	Status int
	// Verdict is the response's statement of whether the request was executed; empty if it makes
	// none.
	Verdict fleet.Verdict
	// Whole is set if the response is complete according to the protocol's framing.
	Whole bool
	// Own is set if the body is the expected one for this request, for a stream with all events
	// in order.
	Own bool
	// Versions lists the software versions of the targets that wrote the events of a stream, over
	// all requests for it, in the order in which they appeared.
	Versions []string `json:",omitempty"`
	// Err is the error of sending the request or reading its response; empty if there was none.
	Err string `json:",omitempty"`
}

// Execution is the arrival of a request at a target.
type Execution struct {
	ID     fleet.RequestID
	Target string
	At     time.Duration
}

// FaultInterval is the time during which an injected fault was active.
type FaultInterval struct {
	From, To time.Duration
	// OfTarget is set if the fault affected a target and no process of the fleet.
	OfTarget bool
	// What describes the fault: its kind and subject.
	What string
}

// Acknowledgement records that a control host acknowledged a put of a configuration.
type Acknowledgement struct {
	Number fleet.ConfigNumber
	At     time.Duration
}

// ConfigRead is a configuration that a control host returned.
type ConfigRead struct {
	Number fleet.ConfigNumber
	// Same is set if the content is what the operator put under this number.
	Same bool
	// From is the name of the control host that returned it.
	From string
	// Sent is when the read was sent, At when its response arrived.
	Sent, At time.Duration
}

// Exclusion is a period in which some targets must not receive requests, because they left or
// their data centre is out of service.
type Exclusion struct {
	// Targets is the set of excluded targets, by name.
	Targets map[string]bool
	// Acknowledged is when a control host acknowledged the change, Until when the exclusion
	// ended.
	Acknowledged, Until time.Duration
	// Grace is how long after Acknowledged routers may still send requests.
	Grace time.Duration
	// Rule is the rule that a request within the exclusion violates.
	Rule string
}

// PlannedStop is an orderly stop of a router, from the signal to the exit of the process.
type PlannedStop struct {
	Router   string
	From, To time.Duration
}

// ColdStart is a start of a target, after which it is cold for Limits.ColdFor.
type ColdStart struct {
	Target string
	At     time.Duration
}

// Limits are the configured limits that a deployment must keep.
type Limits struct {
	// Within each RetryWindow the fleet may send RetryRatio retries per request, and RetryExtra
	// more. A RetryWindow of 0 disables the check.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// ColdFor is how long a target is cold after its start.
	ColdFor time.Duration
	// MaxColdRequests is how many requests a target may receive from all routers while it is
	// cold.
	MaxColdRequests int
}

// Record holds all observations of a run, in the order in which they were recorded.
type Record struct {
	Requests   []Request
	Executions []Execution
	Faults     []FaultInterval
	Acks       []Acknowledgement
	Reads      []ConfigRead
	Exclusions []Exclusion
	Stops      []PlannedStop
	ColdStarts []ColdStart
	Limits     Limits
}

// Recorder collects observations from concurrent callers, targets and operators.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

// Update calls f with the record while holding the lock; f must not keep the pointer.
func (r *Recorder) Update(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.record)
}

// Snapshot returns the observations so far. Its slices are shared with the recorder.
func (r *Recorder) Snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}
