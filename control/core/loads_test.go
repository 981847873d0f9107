package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
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
// Guards against a request that crashes targets and is let through again after each change of the
// leader, which counted the crashes (review, case 5).
func TestSuspectsOutliveTheLeader(t *testing.T) {
	convey.Convey("A request that crashed three targets is refused while the leader changes, again and again", t, func() {
		now := time.Unix(1_700_000_000, 0)
		s := newCrashSim(t, 1, 3, 6)
		call := placement.Call{
			Request: "r-1", Route: s.route, Customer: "majori", Content: "deadly", ArrivedAt: now, Deadline: now.Add(time.Hour),
		}
		sent := 0
		ask := func(router int) {
			call.ID++
			effects := s.routers[router].Reduce(s.now, placement.CallArrived{Call: call})
			if send, ok := effects[0].(placement.Send); ok {
				sent++
				s.routers[router].Reduce(s.now, placement.AttemptEnded{Call: call.ID, Attempt: send.Attempt, Outcome: placement.Broken})
			}
		}
		s.at(0, s.exchange)
		for i := range 30 {
			if i == 10 || i == 20 {
				s.replaceLeader()
				// A digest of the new leader arrives before any report has reached it.
				d := s.collector.makeDigest(s.now, minReportMaxAge)
				for _, r := range s.routers {
					r.Reduce(s.now, placement.DigestReceived{LoadDigest: d.LoadDigest})
				}
			}
			ask(i % len(s.routers))
			s.run(time.Second)
		}
		convey.So(sent, convey.ShouldEqual, 3)
		convey.Convey("and is let through once the crashes are forgotten", func() {
			s.run(suspectRetention + time.Second)
			ask(0)
			convey.So(sent, convey.ShouldEqual, 4)
		})
		convey.Convey("and is forgotten even if no router reports meanwhile", func() {
			d := s.collector.makeDigest(s.now.Add(suspectRetention+time.Second), minReportMaxAge)
			convey.So(d.Suspects, convey.ShouldBeEmpty)
			convey.So(d.Partial, convey.ShouldBeFalse)
		})
		convey.Convey("and by a former leader that leads again", func() {
			s.collector.beginLeading()
			s.collector.suspects = map[fleet.ContentHash]*suspect{}
			s.run(time.Second)
			ask(0)
			convey.So(sent, convey.ShouldEqual, 3)
		})
	})
}

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

// Guards against a leader that acts on the pace of targets before it knows enough, or on what it
// counted in an earlier term.
func TestDigestHasPaces(t *testing.T) {
	convey.Convey("The digest has the pace of targets from 3 s after the first report in a term on", t, func() {
		now := time.Unix(1_700_000_000, 0)
		l := newLoadCollector(4*time.Second, slog.New(slog.DiscardHandler))
		var sequence fleet.Sequence
		play := func(d time.Duration) (got fleet.LoadDigest) {
			for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
				sequence++
				l.addReport(now, fleet.RouterLoad{Host: "router-0", Sequence: sequence, Paces: []fleet.PaceSamples{{Target: "t", Incarnation: 2, Answers: 1, LogSum: 0.5}}})
				if d := l.makeDigest(now, minReportMaxAge); d.PacesKnown {
					got = d.LoadDigest
				}
			}
			return got
		}
		for range 2 {
			l.beginLeading()
			convey.So(play(2900*time.Millisecond).PacesKnown, convey.ShouldBeFalse)
			got := play(3 * time.Second)
			convey.So(got.Check(), convey.ShouldBeNil)
			convey.So(got.Paces, convey.ShouldHaveLength, 1)
			convey.So(got.Paces[0].Pace, convey.ShouldEqual, 1.65)
		}
	})
}
