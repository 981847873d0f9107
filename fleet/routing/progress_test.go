package routing_test

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

func ExampleReportedProgress() {
	var told routing.ReportedProgress
	for spent := fleet.Cost(1); spent <= 1000; spent++ {
		if told.MarkIfDue(spent, 40*time.Millisecond) {
			fmt.Println(spent)
		}
	}
	// Output:
	// 1
	// 128
	// 256
	// 512
}
