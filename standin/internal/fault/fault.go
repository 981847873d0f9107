// Package fault holds the faults that tests inject into a stand-in target.
package fault

import (
	"sync"

	"github.com/pkg/errors"
)

// Kind names a fault as it is written in an Injection.
type Kind string

// Kinds of fault.
const (
	// None removes the current fault.
	None Kind = "None"
	// Cold puts the target back into its cold state, without a restart.
	Cold Kind = "Cold"
	// Freeze suspends all requests and announcements until None is set.
	Freeze Kind = "Freeze"
	// Reset resets the TCP connection of a request.
	Reset Kind = "Reset"
	// ShortAnswer ends an answer early without resetting the connection.
	ShortAnswer Kind = "ShortAnswer"
	// Silent keeps the connection open but sends no further bytes.
	Silent Kind = "Silent"
	// Slow multiplies the delays of a request by SlowFactor.
	Slow Kind = "Slow"
	// Leave announces the target as leaving although it keeps running.
	Leave Kind = "Leave"
	// Crash ends the process: at once if Count is 0, else while a request is handled.
	Crash Kind = "Crash"
)

// SlowFactor multiplies the delays of a request with the fault Slow.
const SlowFactor = 10

// Phase is the point in the handling of a request at which a fault occurs.
type Phase string

// Phases of a request.
const (
	// Accept is before the request is recorded and executed.
	Accept Phase = "Accept"
	// Headers is after the request has started and before the answer's headers are sent.
	Headers Phase = "Headers"
	// Body is after half of the answer's body.
	Body Phase = "Body"
)

// Injection is the JSON body with which a test sets the fault of a stand-in target.
type Injection struct {
	Fault Kind
	// Count is the number of requests affected; 0 means all until None is set.
	Count int `json:",omitempty"`
	// Phase defaults to Body.
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

// Injector holds the current fault of a target. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	current Injection
}

// Set replaces the current fault.
func (in *Injector) Set(i Injection) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if i.Phase == "" {
		i.Phase = Body
	}
	in.current = i
}

// Active reports whether the current fault is of kind k.
func (in *Injector) Active(k Kind) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.current.Fault == k
}

// Next returns the fault that applies to the next request and decrements its count. The
// result has the Fault None if no fault applies.
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

// Matches reports whether the injection is of kind k and applies in phase p.
func (i Injection) Matches(k Kind, p Phase) bool { return i.Fault == k && i.Phase == p }
