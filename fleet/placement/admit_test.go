package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestRefusedCallsAreNotPaidFor guards against a customer at its share that loses credit for
// calls which were refused because all targets are busy, and gets less than its share later.
func TestRefusedCallsAreNotPaidFor(t *testing.T) {
	convey.Convey("A customer keeps the credit of calls that were refused as late", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 3)...)
		digest := func(waiting int) {
			d := fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "majori", Admitted: 0.5}}}
			for _, a := range announcements(drafterService, 3) {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: a.Target, Waiting: waiting})
			}
			f.apply(placement.DigestReceived{LoadDigest: d})
		}
		digest(1_000_000)
		late := 0
		for range 8 {
			if r, ok := f.ask("/plan/", prompt(1, 0)).(placement.Refuse); ok && r.Reason == fleet.ReasonExpectedLate {
				late++
			}
		}
		convey.So(late, convey.ShouldBeGreaterThanOrEqualTo, 4)
		f.now = f.now.Add(100 * time.Millisecond)
		digest(0)
		for i := range 4 {
			sendOf(f.ask("/plan/", prompt(placement.PartID(i+1), 0)))
		}
	})
}
