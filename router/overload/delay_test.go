package overload_test

import (
	"bytes"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

// compete keeps all processors busy with many goroutines for a while.
func compete() {
	var wg sync.WaitGroup
	end := time.Now().Add(300 * time.Millisecond)
	for range 40 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for time.Now().Before(end) {
				runtime.Gosched()
			}
		})
	}
	wg.Wait()
}

// TestDelayMeter guards against a router that can't tell that its own work waits for the
// processor (DRAIN and FAIR at a crowded router).
func TestDelayMeter(t *testing.T) {
	convey.Convey("Competing goroutines delay each other, and the delay ends with them", t, func() {
		var m overload.DelayMeter
		m.Measure()
		compete()
		convey.So(m.Measure(), convey.ShouldBeGreaterThan, 0)
		convey.So(m.Measure(), convey.ShouldBeLessThan, time.Second)
	})
}

// TestMonitorLogsDelay checks that a delayed router says so, with what it did with connections.
func TestMonitorLogsDelay(t *testing.T) {
	convey.Convey("A sample with a long delay is logged, others are not", t, func() {
		var out bytes.Buffer
		delay := 40 * time.Millisecond
		m := overload.New(overload.Config{
			Connections: func() int64 { return 3 }, Report: func(overload.Status) {}, Clock: &clock{now: time.Unix(1_700_000_000, 0)},
			Delay: func() time.Duration { return delay }, Log: slog.New(slog.NewTextHandler(&out, nil)),
		})
		m.Sample()
		convey.So(out.String(), convey.ShouldEqual, "")
		delay = 400 * time.Millisecond
		m.Sample()
		convey.So(out.String(), convey.ShouldContainSubstring, "msg=ProcessorDelayed delayMs=400 load=0 connections=3 Accepted=0")
		convey.So(m.Status().Delay, convey.ShouldEqual, delay)
	})
}
