package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// minReportedCost is the lowest cost at which progress is reported for its cost alone.
const minReportedCost fleet.Cost = 128

// ReportedProgress is the progress of an attempt that was last reported to the dispatcher. The
// zero value stands for an attempt without a progress report.
type ReportedProgress struct {
	spent      fleet.Cost
	firstToken bool
}

// MarkIfDue reports whether the progress of an attempt has to be reported, and then stores it
// as reported. It is due when the first token has come, or when the cost has doubled since the
// last report: an attempt of cost n makes about log2(n) reports, however long it takes.
func (t *ReportedProgress) MarkIfDue(spent fleet.Cost, firstToken time.Duration) bool {
	first := firstToken > 0 && !t.firstToken
	if !first && spent < max(2*t.spent, minReportedCost) {
		return false
	}
	t.spent, t.firstToken = spent, firstToken > 0
	return true
}
