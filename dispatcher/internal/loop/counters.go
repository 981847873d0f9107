package loop

import (
	"expvar"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

var (
	decisions = expvar.NewMap("DispatchDecisions")
	refusals  = expvar.NewMap("DispatchRefusals")
)

// countDecision counts a decision by its event and, if it has one, by its reason.
func countDecision(d fleet.Decision) {
	decisions.Add(d.Event, 1)
	if d.Reason != "" {
		refusals.Add(string(d.Reason), 1)
	}
}
