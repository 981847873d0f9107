package overload_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) AfterFunc(time.Duration, func()) fleet.Timer { return nil }

func TestMonitor(t *testing.T) {
	convey.Convey("A router at its CPU share or near its connection limit redirects callers", t, func() {
		for _, c := range []struct {
			cpu         float64
			connections int64
			away        bool
		}{{0.5, 100, false}, {1, 100, true}, {0.1, 990, true}} {
			clk := &clock{now: time.Unix(1_700_000_000, 0)}
			used, away := time.Duration(0), -1.0
			w := overload.New(overload.Config{
				CPUShare: 0.2, MaxConnections: 1000, Connections: func() int64 { return c.connections },
				CPUTime: func() (time.Duration, error) { return used, nil },
				Report:  func(s overload.Status) { away = s.RedirectShare }, Clock: clk, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			for range 4 {
				clk.now = clk.now.Add(500 * time.Millisecond)
				used += time.Duration(c.cpu * 0.2 * float64(500*time.Millisecond))
				w.Sample()
			}
			convey.So(away > 0, convey.ShouldEqual, c.away)
			convey.So(away, convey.ShouldBeLessThan, 0.3)
		}
	})
	convey.Convey("The CPU time of this process is measured", t, func() {
		used, err := overload.ProcessCPUTime()
		convey.So(err, convey.ShouldBeNil)
		convey.So(used, convey.ShouldBeGreaterThan, 0)
	})
}

// TestConnectionsThatFillFast guards against a crowd that uses up a router's connections between two
// reports, so that the directory names the router until it rejects callers.
func TestConnectionsThatFillFast(t *testing.T) {
	convey.Convey("Three times the callers within a second are reported early, and no more often than the reduction rises by an eighth", t, func() {
		clk := &clock{now: time.Unix(1_700_000_000, 0)}
		open := int64(40)
		var reports []overload.Status
		w := overload.New(overload.Config{
			CPUShare: 0.144, MaxConnections: 139, Connections: func() int64 { return 500 }, Occupied: func() int64 { return open },
			CPUTime: func() (time.Duration, error) { return 0, nil },
			Report:  func(s overload.Status) { reports = append(reports, s) }, Clock: clk, Log: slog.New(slog.DiscardHandler),
		})
		watch := func(steps int, growth int64) {
			for range steps {
				clk.now = clk.now.Add(100 * time.Millisecond)
				open += growth
				w.Watch()
			}
		}
		w.Sample()
		convey.So(reports, convey.ShouldHaveLength, 1)
		convey.So(reports[0].Room, convey.ShouldResemble, fleet.Room{Connections: 139, Open: 40, Cores: 0.144})
		convey.So(reports[0].Utilisation, convey.ShouldAlmostEqual, 40.0/139)
		watch(50, 0)
		convey.So(reports, convey.ShouldHaveLength, 1)
		watch(5, 12)
		convey.So(len(reports), convey.ShouldBeBetween, 1, 5)
		convey.So(reports[1].Early, convey.ShouldBeTrue)
		convey.So(reports[1].Room.Reduction, convey.ShouldBeGreaterThanOrEqualTo, 0.125)
		convey.So(reports[1].Room.Open, convey.ShouldBeLessThan, 100)
		convey.So(reports[1].Utilisation, convey.ShouldAlmostEqual, float64(reports[1].Room.Open)/139)
	})
}
