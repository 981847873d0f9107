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
		d := l.makeDigest(now, minReportMaxAge)
		convey.So(d.Slowness, convey.ShouldResemble, []fleet.ServiceSlowness{{Service: "drafter", Slowness: 1.1}})
	})
}

// TestDigestKeepsReportsOfManyRouters guards against a digest that leaves out most reports
// because so many routers report less often than reports are kept.
func TestDigestKeepsReportsOfManyRouters(t *testing.T) {
	for _, routers := range []int{10, 300, 1000} {
		convey.Convey(fmt.Sprintf("The digest has the loads of all %d routers, also if each missed a report", routers), t, func() {
			interval := fleet.ReportInterval(routers)
			start := time.Unix(1_700_000_000, 0)
			l := newLoadCollector(4*time.Second, slog.New(slog.DiscardHandler))
			for i := range routers {
				l.addReport(start.Add(interval*time.Duration(i)/time.Duration(routers)), fleet.RouterLoad{
					Host: fleet.HostID(fmt.Sprint("router-", i)), Sequence: 1, Targets: []fleet.TargetLoad{{Target: "t", Waiting: 10, Running: 1}},
				})
			}
			d := l.makeDigest(start.Add(2*interval), reportMaxAge(interval))
			convey.So(d.Targets, convey.ShouldResemble, []fleet.TargetLoad{{Target: "t", Waiting: 10 * routers, Running: routers}})
			convey.So(len(d.included), convey.ShouldEqual, routers)
		})
	}
}
