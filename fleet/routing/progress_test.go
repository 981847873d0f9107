package routing_test

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

func ExampleProgressTold() {
	var told routing.ProgressTold
	for spent := fleet.Cost(1); spent <= 1000; spent++ {
		if told.Due(spent, 40*time.Millisecond) {
			fmt.Println(spent)
		}
	}
	// Output:
	// 1
	// 128
	// 256
	// 512
}
