package explain_test

import (
	"fmt"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
)

func ExampleRecord() {
	r := explain.NewRecord(2)
	r.Add(fleet.Decision{Request: "q1", Event: "Queued"})
	r.Add(fleet.Decision{Request: "q1", Event: "Granted"})
	r.Add(fleet.Decision{Request: "q1", Event: "Completed"})
	for _, d := range r.Of("q1") {
		fmt.Println(d.Event)
	}
	// Output:
	// Granted
	// Completed
}
