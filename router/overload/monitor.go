// Package overload detects that a router has more callers than it can serve, and bounds
// their connections.
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
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

// sampleInterval is the time between two samples. Callers follow a redirect after a
// second or more.
const sampleInterval = 500 * time.Millisecond

// watchInterval is the time between two looks at the number of connections, which a crowd may use up
// within a second.
const watchInterval = 100 * time.Millisecond

// earlyReduction is the rise of the reduction since the last report from which on a report is sent
// early.
const earlyReduction = 0.125

// loggedDelay is the scheduling latency from which on a sample is logged.
const loggedDelay = 100 * time.Millisecond

// redirectConfig redirects callers from a utilisation of 70 % on, where requests begin
// to wait for CPU time. A router at its limit redirects another 9 % of its callers each
// second.
var redirectConfig = shedding.Config{Threshold: 0.7, ShedRate: 0.3, ReturnRate: 0.05, MaxShed: 0.9}

// Config configures a Monitor.
type Config struct {
	// CPUShare is the number of CPU cores that the process may use, which may be a
	// fraction; 0 if unknown.
	CPUShare float64
	// MaxConnections is the number of callers' connections at which the process counts
	// as fully utilised; 0 means that connections do not count.
	MaxConnections int64
	// Connections returns the number of open connections of callers, Occupied the number of those
	// that are not closed for new ones; nil means Connections.
	Connections func() int64
	Occupied    func() int64
	// CPUTime returns the CPU time that the process has used so far; nil means
	// ProcessCPUTime.
	CPUTime func() (time.Duration, error)
	// Delay returns how long goroutines have waited for the processor since its last call; nil
	// means that of a DelayMeter.
	Delay func() time.Duration
	// Adapt is called with the scheduling latency each watchInterval; nil for none.
	Adapt func(delay time.Duration)
	// Report is called after each sample, and between samples with Status.Early set.
	Report func(Status)
	Clock  fleet.Clock
	Log    *slog.Logger
}

// Monitor samples the utilisation of its process and decides what share of the callers
// should use other routers.
type Monitor struct {
	cfg       Config
	shedder   *shedding.Shedder
	gauge     *weighting.Gauge
	reduction float64
	crowd     CrowdDetector
	crowded   bool
	// recentDelay measures the scheduling latency for Adapt.
	recentDelay   DelayMeter
	sampledAt     time.Time
	cpuTime       time.Duration
	redirectShare float64
	// counts has the counts of new connections at the last sample, by outcome.
	counts map[string]int64

	mu     sync.Mutex
	status Status

	stop chan struct{}
	wg   sync.WaitGroup
}

// Status is the result of a sample.
type Status struct {
	// Utilisation is the used fraction of the CPU time or of the connections, whichever is
	// larger.
	Utilisation float64
	// RedirectShare is the share of callers, from 0 to 1, that should use other routers.
	RedirectShare float64
	// Connections is the number of open connections of callers.
	Connections int64
	// Room is the capacity for callers.
	Room fleet.Room
	// Early is true if the control hosts should know Room at once.
	Early bool
	// Delay is how long goroutines waited for the processor.
	Delay time.Duration
}

// New returns a Monitor; Start runs it.
func New(cfg Config) *Monitor {
	if cfg.CPUTime == nil {
		cfg.CPUTime = ProcessCPUTime
	}
	if cfg.Occupied == nil {
		cfg.Occupied = cfg.Connections
	}
	if cfg.Delay == nil {
		cfg.Delay = new(DelayMeter).Measure
	}
	return &Monitor{cfg: cfg, shedder: shedding.New(redirectConfig), gauge: weighting.NewGauge(weighting.DefaultGauge), stop: make(chan struct{})}
}

// Start begins to sample in the background.
func (m *Monitor) Start() {
	m.wg.Go(func() {
		samples, looks := time.NewTicker(sampleInterval), time.NewTicker(watchInterval)
		defer samples.Stop()
		defer looks.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-samples.C:
				m.Sample()
			case <-looks.C:
				m.Watch()
			}
		}
	})
}

// Stop ends the sampling and waits for it.
func (m *Monitor) Stop() {
	close(m.stop)
	m.wg.Wait()
}

// Sample measures the utilisation since the last call and reports the share of callers
// to redirect.
func (m *Monitor) Sample() {
	now := m.cfg.Clock.Now()
	utilisation := m.utilisation(now)
	redirectShare := m.shedder.Update(now, utilisation)
	if (redirectShare > 0) != (m.redirectShare > 0) {
		m.cfg.Log.Info(logevent.CallersSpread, "away", redirectShare, "load", utilisation, "connections", m.cfg.Connections())
	}
	m.redirectShare = redirectShare
	counts := connectionCounts()
	m.detectCrowd(counts)
	status := Status{Utilisation: utilisation, RedirectShare: redirectShare, Connections: m.cfg.Connections(), Room: m.room(now), Delay: m.cfg.Delay()}
	m.logDelay(status, counts)
	m.counts = counts
	m.report(status)
}

// detectCrowd updates whether the router has a crowd of callers, given the counts of new connections.
func (m *Monitor) detectCrowd(counts map[string]int64) {
	since := func(outcome string) int64 { return counts[outcome] - m.counts[outcome] }
	m.crowded = m.crowd.Update(since(connectionAccepted)+since(connectionAdmitted), since(connectionAnswered)+since(connectionBroken))
}

// Watch looks at the number of connections, and reports their reduction early if it has risen. It
// must not run at the same time as Sample.
func (m *Monitor) Watch() {
	if m.cfg.Adapt != nil {
		m.cfg.Adapt(m.recentDelay.Measure())
	}
	status := m.Status()
	reported := status.Room.Reduction
	status.Room, status.Early = m.room(m.cfg.Clock.Now()), true
	if status.Room.Reduction < reported+earlyReduction {
		return
	}
	status.Connections, status.Utilisation = m.cfg.Connections(), max(status.Utilisation, m.connectionsUsed())
	m.report(status)
}

// report stores a status and reports it.
func (m *Monitor) report(s Status) {
	m.mu.Lock()
	m.status = s
	m.mu.Unlock()
	m.cfg.Report(s)
}

// room returns the present capacity for callers. It logs when the router begins or ends to give up
// callers because its connections run out.
func (m *Monitor) room(now time.Time) fleet.Room {
	open, limit := int(m.cfg.Occupied()), int(m.cfg.MaxConnections)
	reduction := m.gauge.Update(now, open, limit)
	if (reduction > 0) != (m.reduction > 0) {
		m.cfg.Log.Info(logevent.RouterReduced, "reduction", reduction, "open", open, "limit", limit, "growthPerS", m.gauge.Growth(), "cores", m.cfg.CPUShare)
	}
	m.reduction = reduction
	return fleet.Room{Connections: limit, Open: max(open, 0), Cores: fleet.Cores(m.cfg.CPUShare), Reduction: reduction, Crowded: m.crowded}
}

// logDelay logs a sample in which goroutines waited for longer than loggedDelay, with what was
// done with new connections since the sample before.
func (m *Monitor) logDelay(s Status, counts map[string]int64) {
	if s.Delay >= loggedDelay {
		attrs := []any{"delayMs", s.Delay.Milliseconds(), "load", s.Utilisation, "connections", s.Connections}
		for _, name := range connectionOutcomes {
			attrs = append(attrs, name, counts[name]-m.counts[name])
		}
		m.cfg.Log.Warn(logevent.ProcessorDelayed, attrs...)
	}
}

// Status returns the result of the last sample.
func (m *Monitor) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// utilisation returns the used fraction of the CPU time or of the connections, whichever
// is larger. The CPU time counts from the second call on.
func (m *Monitor) utilisation(now time.Time) float64 {
	load := m.connectionsUsed()
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

// connectionsUsed returns the used fraction of the connections.
func (m *Monitor) connectionsUsed() float64 {
	if m.cfg.MaxConnections == 0 {
		return 0
	}
	return float64(m.cfg.Occupied()) / float64(m.cfg.MaxConnections)
}

// ProcessCPUTime returns the user and system CPU time that this process has used.
func ProcessCPUTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "read CPU time of the process")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
