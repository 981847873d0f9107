// Package fault holds the faults that tests order a stand-in target to have.
package fault

import (
	"sync"

	"github.com/pkg/errors"
)

// Kind is a kind of fault.
type Kind string

// The faults.
const (
	// None ends all faults.
	None Kind = "None"
	// Cold makes the target cold again, without a restart.
	Cold Kind = "Cold"
	// Freeze stops all work and all announcements until None.
	Freeze Kind = "Freeze"
	// Reset resets the connection of a request.
	Reset Kind = "Reset"
	// ShortAnswer ends an answer before its end.
	ShortAnswer Kind = "ShortAnswer"
	// Silent keeps the connection open and sends no further byte on it.
	Silent Kind = "Silent"
	// Slow makes requests run slower by SlowFactor.
	Slow Kind = "Slow"
	// Leave announces that the target leaves.
	Leave Kind = "Leave"
	// Crash ends the process: at once without a Count, else within a request.
	Crash Kind = "Crash"
)

// SlowFactor is by how much a Slow request takes longer.
const SlowFactor = 10

// Phase is the moment of a request at which a fault strikes.
type Phase string

// The phases.
const (
	// Accept is before the request is run or recorded.
	Accept Phase = "Accept"
	// Headers is after the request started to run and before its answer.
	Headers Phase = "Headers"
	// Body is in the middle of the answer.
	Body Phase = "Body"
)

// Order tells a stand-in target to have a fault.
type Injection struct {
	Fault Kind
	// Count is the number of requests that it strikes; 0 means all until None.
	Count int `json:",omitempty"`
	// Phase is Body unless given.
	Phase Phase `json:",omitempty"`
}

// Check implements fleet.Checker.
func (i *Injection) Check() error {
	switch i.Fault {
	case None, Cold, Freeze, Reset, ShortAnswer, Silent, Slow, Leave, Crash:
	default:
		return errors.Errorf("Fault %q does not exist", i.Fault)
	}
	switch i.Phase {
	case "", Accept, Headers, Body:
	default:
		return errors.Errorf("Phase %q does not exist; use Accept, Headers or Body", i.Phase)
	}
	if i.Count < 0 {
		return errors.Errorf("Count is %d; it is at least 0", i.Count)
	}
	return nil
}

// State holds the order in force. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	current Injection
}

// Set puts an order in force in place of the one before.
func (in *Injector) Set(i Injection) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if i.Phase == "" {
		i.Phase = Body
	}
	in.current = i
}

// Is says whether a fault of the kind is in force.
func (in *Injector) Active(k Kind) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.current.Fault == k
}

// Take returns the order that strikes the next request and uses up one of its count.
// The order returned has Fault None when none strikes.
func (in *Injector) Next() Injection {
	in.mu.Lock()
	defer in.mu.Unlock()
	next := in.current
	switch next.Fault {
	case Reset, ShortAnswer, Silent, Slow, Crash:
	default:
		return Injection{Fault: None}
	}
	if in.current.Count > 0 {
		in.current.Count--
		if in.current.Count == 0 {
			in.current = Injection{Fault: None}
		}
	}
	return next
}

// Strikes says whether the order is of the kind and strikes in the phase.
func (i Injection) Matches(k Kind, p Phase) bool { return i.Fault == k && i.Phase == p }
