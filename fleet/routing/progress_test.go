package routing_test

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

func ExampleReportedProgress() {
	var reported routing.ReportedProgress
	for spent := fleet.Cost(1); spent <= 1000; spent++ {
		if reported.MarkIfDue(spent, 40*time.Millisecond) {
			fmt.Println(spent)
		}
	}
	// Output:
	// 1
	// 128
	// 256
	// 512
}
