package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// TestDigestHasMedianSlowness guards against a digest from which a router cannot tell its own
// delay from that of the targets (inc1, FAIR).
func TestDigestHasMedianSlowness(t *testing.T) {
	convey.Convey("A router with a delay of its own does not change the slowness in the digest", t, func() {
		now := time.Unix(1_700_000_000, 0)
		l := newLoadCollector(4*time.Second, slog.New(slog.DiscardHandler))
		for i, slowness := range []float64{1.1, 9.5, 1, 1.2, 0.9} {
			l.addReport(now, fleet.RouterLoad{
				Host: fleet.HostID(fmt.Sprint("router-", i)), Sequence: 1,
				Slowness: []fleet.ServiceSlowness{{Service: "drafter", Slowness: slowness}},
			})
		}
		d := l.digestBuilder(now)("router-1")
		convey.So(d.Slowness, convey.ShouldResemble, []fleet.ServiceSlowness{{Service: "drafter", Slowness: 1.1}})
	})
}
