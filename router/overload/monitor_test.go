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
