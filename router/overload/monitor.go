// Package overload detects that a router is overloaded by callers, and bounds and
// rejects their connections.
package overload

import (
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
)

// interval is the time between two looks. Callers follow within a second or more.
const interval = 500 * time.Millisecond

// spreading sends callers away from 70 % of what a router bears: from there on requests
// wait for processor time. A router at its limit sends 9 % more of them away each second.
var spreading = shedding.Config{Threshold: 0.7, ShedRate: 0.3, ReturnRate: 0.05, MaxShed: 0.9}

// Config configures a Watch.
type Config struct {
	// CPUShare is the part of a processor that the process may use; 0 when it is not known.
	CPUShare float64
	// MaxConnections is how many connections of callers the process bears; 0 for any number.
	MaxConnections int64
	// Connections returns how many there are.
	Connections func() int64
	// CPUTime returns the processor time that the process has used; ProcessorTime if nil.
	CPUTime func() (time.Duration, error)
	// Report takes the part of the callers that should use other routers.
	Report func(away float64)
	Clock  fleet.Clock
	Log    *slog.Logger
}

// Monitor looks at the load of its process.
type Monitor struct {
	cfg    Config
	spread *shedding.Shedder
	at     time.Time
	used   time.Duration
	away   float64

	stop chan struct{}
	wg   sync.WaitGroup
}

// New makes a Watch; Start runs it.
func New(cfg Config) *Monitor {
	if cfg.CPUTime == nil {
		cfg.CPUTime = ProcessCPUTime
	}
	return &Monitor{cfg: cfg, spread: shedding.New(spreading), stop: make(chan struct{})}
}

// Start begins to look.
func (w *Monitor) Start() {
	w.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				w.Sample()
			}
		}
	})
}

// Stop ends it.
func (w *Monitor) Stop() {
	close(w.stop)
	w.wg.Wait()
}

// Sample measures the load since the last call and tells what follows from it.
func (w *Monitor) Sample() {
	now := w.cfg.Clock.Now()
	load := w.load(now)
	away := w.spread.Update(now, load)
	if (away > 0) != (w.away > 0) {
		w.cfg.Log.Info(logevent.CallersSpread, "away", away, "load", load, "connections", w.cfg.Connections())
	}
	w.away = away
	w.cfg.Report(away)
}

// load returns the larger part that is used of the processor time and the connections.
func (w *Monitor) load(now time.Time) float64 {
	load := 0.0
	if w.cfg.MaxConnections > 0 {
		load = float64(w.cfg.Connections()) / float64(w.cfg.MaxConnections)
	}
	used, err := w.cfg.CPUTime()
	if err != nil {
		w.cfg.Log.Warn(logevent.LoadUnknown, logevent.FieldError, err)
		return load
	}
	passed := now.Sub(w.at)
	if w.cfg.CPUShare > 0 && !w.at.IsZero() && passed > 0 {
		load = max(load, (used-w.used).Seconds()/passed.Seconds()/w.cfg.CPUShare)
	}
	w.at, w.used = now, used
	return load
}

// ProcessCPUTime returns the processor time that this process has used.
func ProcessCPUTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
