package replay

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// newReducer returns a reducer with the configuration of the outcome, and the decoder of its
// events.
func newReducer(o Outcome) (fleet.Reducer, eventlog.Decoder) {
	if o.Role == roleDispatcher {
		return dispatch.New(dispatch.Config{Host: o.Host, StandingGrants: o.StandingGrants}), dispatch.Decode
	}
	return routing.New(routing.Config{
		Host: o.Host, Incarnation: o.Incarnation, DataCentre: o.DataCentre, Dispatchers: o.Dispatchers,
	}), routing.Decode
}

// countDecisions replays the log and returns the number of decisions by decisionKey. A
// violated invariant is an error.
func countDecisions(log io.Reader, o Outcome) (counts map[string]int, err error) {
	r, decode := newReducer(o)
	counts = map[string]int{}
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	err = eventlog.ForEach(log, decode, func(now time.Time, ev fleet.Event) error {
		effects, err := reduceEvent(r, now, ev)
		for _, e := range effects {
			if d, ok := asDecision(e); ok {
				counts[decisionKey(d)]++
			}
		}
		return err
	})
	return counts, err
}

// reduceEvent applies one event and returns a violated invariant as an error.
func reduceEvent(r fleet.Reducer, now time.Time, ev fleet.Event) (effects []fleet.Effect, err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		v, ok := p.(*invariant.Violation)
		if !ok {
			panic(p)
		}
		err = errors.Wrapf(v, "event %s", ev.EventName())
	}()
	return r.Reduce(now, ev), nil
}

// asDecision returns the decision that an effect holds, and reports whether it holds one.
func asDecision(e fleet.Effect) (fleet.Decision, bool) {
	switch d := e.(type) {
	case routing.Decided:
		return d.Decision, true
	case dispatch.Decided:
		return d.Decision, true
	}
	return fleet.Decision{}, false
}

// decisionKey returns the event of a decision, followed by the reason if there is one.
func decisionKey(d fleet.Decision) string {
	if d.Reason == "" {
		return d.Event
	}
	return d.Event + " " + string(d.Reason)
}
