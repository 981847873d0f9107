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

// sampleInterval is the time between two looks. Callers follow within a second or more.
const sampleInterval = 500 * time.Millisecond

// redirectConfig sends callers away from 70 % of what a router bears: from there on requests
// wait for processor time. A router at its limit sends 9 % more of them away each second.
var redirectConfig = shedding.Config{Threshold: 0.7, ShedRate: 0.3, ReturnRate: 0.05, MaxShed: 0.9}

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
	cfg           Config
	shedder       *shedding.Shedder
	sampledAt     time.Time
	cpuTime       time.Duration
	redirectShare float64

	stop chan struct{}
	wg   sync.WaitGroup
}

// New makes a Watch; Start runs it.
func New(cfg Config) *Monitor {
	if cfg.CPUTime == nil {
		cfg.CPUTime = ProcessCPUTime
	}
	return &Monitor{cfg: cfg, shedder: shedding.New(redirectConfig), stop: make(chan struct{})}
}

// Start begins to look.
func (m *Monitor) Start() {
	m.wg.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-ticker.C:
				m.Sample()
			}
		}
	})
}

// Stop ends it.
func (m *Monitor) Stop() {
	close(m.stop)
	m.wg.Wait()
}

// Sample measures the load since the last call and tells what follows from it.
func (m *Monitor) Sample() {
	now := m.cfg.Clock.Now()
	load := m.utilisation(now)
	redirectShare := m.shedder.Update(now, load)
	if (redirectShare > 0) != (m.redirectShare > 0) {
		m.cfg.Log.Info(logevent.CallersSpread, "away", redirectShare, "load", load, "connections", m.cfg.Connections())
	}
	m.redirectShare = redirectShare
	m.cfg.Report(redirectShare)
}

// utilisation returns the larger part that is used of the processor time and the connections.
func (m *Monitor) utilisation(now time.Time) float64 {
	load := 0.0
	if m.cfg.MaxConnections > 0 {
		load = float64(m.cfg.Connections()) / float64(m.cfg.MaxConnections)
	}
	used, err := m.cfg.CPUTime()
	if err != nil {
		m.cfg.Log.Warn(logevent.LoadUnknown, logevent.FieldError, err)
		return load
	}
	elapsed := now.Sub(m.sampledAt)
	if m.cfg.CPUShare > 0 && !m.sampledAt.IsZero() && elapsed > 0 {
		load = max(load, (used-m.cpuTime).Seconds()/elapsed.Seconds()/m.cfg.CPUShare)
	}
	m.sampledAt, m.cpuTime = now, used
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
