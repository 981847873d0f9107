package explain_test

import (
	"fmt"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
)

func ExampleDecisionLog() {
	r := explain.NewDecisionLog(2)
	r.Add(fleet.Decision{Request: "q1", Event: "Queued"})
	r.Add(fleet.Decision{Request: "q1", Event: "Granted"})
	r.Add(fleet.Decision{Request: "q1", Event: "Completed"})
	for _, d := range r.ForRequest("q1") {
		fmt.Println(d.Event)
	}
	// Output:
	// Granted
	// Completed
}
