package fleet

import "time"

// Event is an input of a reducer, such as a received message, a timer that fired or a
// disk write that completed.
type Event interface {
	// EventName returns the name under which the event is recorded.
	EventName() string
}

// Effect is an output of a reducer, such as a message to send, a record to write, a
// timer to set or a decision to log. The shell, which is the program around the reducer,
// performs it.
type Effect interface {
	// EffectName returns the name under which the effect is recorded.
	EffectName() string
}

// Reducer makes the decisions of one role. It changes its state only in Reduce and is
// deterministic: the same events at the same times return the same effects.
type Reducer interface {
	// Reduce applies an event that happened at now and returns the effects to perform, in
	// order.
	Reduce(now time.Time, ev Event) []Effect
}

// Expiring is an effect that depends on a lease or grant. The shell reads the clock just
// before performing it and, after NotAfter, reports an Expired event instead.
type Expiring interface {
	Effect
	// NotAfter returns the latest time at which the effect may be performed.
	NotAfter() time.Time
}

// Expired reports an Expiring effect that was not performed because it was too late.
type Expired struct {
	// Effect is the effect that was not performed.
	Effect Expiring
}

// EventName implements Event.
func (Expired) EventName() string { return "Expired" }
