package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// leastProgress is the cost from which on the progress of an attempt is reported.
const leastProgress fleet.Cost = 128

// ReportedProgress is what the dispatcher was told of a running attempt. Its zero value
// belongs to an attempt of which nothing was told.
type ReportedProgress struct {
	spent      fleet.Cost
	firstToken bool
}

// MarkIfDue says whether the progress of an attempt is worth a report: its first token came,
// or its cost has doubled since the last one. An attempt of cost n makes about log2(n)
// reports, however long it takes. When it is due, it counts as told.
func (t *ReportedProgress) MarkIfDue(spent fleet.Cost, firstToken time.Duration) bool {
	first := firstToken > 0 && !t.firstToken
	if !first && spent < max(2*t.spent, leastProgress) {
		return false
	}
	t.spent, t.firstToken = spent, firstToken > 0
	return true
}
