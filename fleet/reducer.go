package fleet

import "time"

// Event is one input of a reducer: a message received, a timer that fired, a
// disk write that completed, or a random number drawn.
type Event interface {
	// EventName returns the name under which the event is recorded.
	EventName() string
}

// Effect is one output of a reducer: a message to send, a record to write, a
// timer to set or a decision to log. The shell performs it.
type Effect interface {
	// EffectName returns the name under which the effect is recorded.
	EffectName() string
}

// Reducer makes the decisions of one role. It changes its own state only in
// Reduce, and given the same events at the same times it returns the same effects.
type Reducer interface {
	// Reduce applies one event that happened at now and returns what to do, in order.
	Reduce(now time.Time, ev Event) []Effect
}

// Expiring is an effect that rests on a lease or grant. The shell reads the clock
// again just before performing it, and reports an Expired event instead when late.
type Expiring interface {
	Effect
	// NotAfter returns the last moment at which the effect may be performed.
	NotAfter() time.Time
}

// Expired is the event that reports an Expiring effect which was not performed.
type Expired struct {
	// Effect is the effect that came too late.
	Effect Expiring
}

// EventName implements Event.
func (Expired) EventName() string { return "Expired" }
