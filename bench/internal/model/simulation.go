// Package model simulates a fleet in virtual time: dispatch reducers with modelled routers
// and targets. It measures fairness, utilisation and waits independently of the reducers.
package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of the simulated fleet.
const (
	// retryDelay is how long a router waits before it retries a failed attempt.
	retryDelay = 250 * time.Millisecond
	// confirmInterval is the time between two confirmations of the configuration.
	confirmInterval = time.Second
	// configValidity is how long a confirmed configuration remains valid.
	configValidity = 5 * time.Second
	// configFetchDelay is the time to fetch a newer configuration after a peer's message
	// carried its version.
	configFetchDelay = 5 * time.Millisecond
	// leaseRenewInterval and leaseDuration apply to the lease of the dispatchers.
	leaseRenewInterval = 500 * time.Millisecond
	leaseDuration      = 2 * time.Second
	// leaseAcquireDelay is the time a successor takes to acquire an expired lease.
	leaseAcquireDelay = 100 * time.Millisecond
	// drainTimeout is how long the targets of a data centre that was taken out keep running.
	drainTimeout = 90 * time.Second
	// maxBrokenRetries is how often a router retries a request whose attempts broke.
	maxBrokenRetries = 4
	// engineWarmUp and engineRestartDelay are the WarmUp and RestartDelay of all engines.
	engineWarmUp       = 20 * time.Second
	engineRestartDelay = 5 * time.Second
)

// Config configures Run.
type Config struct {
	// Trace is the fleet, its load and its disturbances.
	Trace *workload.Trace
	// NewReducer returns the reducer of the dispatcher with the given index, from 0.
	NewReducer func(index int) fleet.Reducer
	// DispatcherPerRouter gives each router its own dispatcher, without network delay. By
	// default two dispatchers share one lease.
	DispatcherPerRouter bool
	// AnnouncedRouters is the number of routers to which each target announces itself.
	AnnouncedRouters int
	// ProgressInterval is the time between two progress reports of a running request.
	ProgressInterval time.Duration
	// StandingGrants lets routers use standing grants while they receive no messages from the
	// active dispatcher.
	StandingGrants bool
	// SampleInterval is the time between two samples of fairness and utilisation; 0 disables
	// sampling.
	SampleInterval time.Duration
	// OnEvent, if not nil, is called with the index of a dispatcher and every event that is
	// passed to its reducer.
	OnEvent func(dispatcher int, now time.Time, ev fleet.Event)
}

// Simulation is the state of one run.
type Simulation struct {
	cfg            Config
	queue          *virtual.Queue
	routers        []*router
	dispatchers    []*dispatcher
	engines        []*engine.Engine
	engineByTarget map[fleet.TargetID]*engine.Engine
	config         fleet.Confirmed
	meter          *meter
	result         *Result
	requestCount   int
}

// Run simulates a trace to its end and returns the measurements.
func Run(cfg Config) *Result {
	sim := newSimulation(cfg)
	sim.schedule()
	sim.queue.RunUntil(virtual.Start.Add(cfg.Trace.Duration))
	sim.collectResults()
	return sim.result
}

func newSimulation(cfg Config) *Simulation {
	sim := &Simulation{
		cfg: cfg, queue: virtual.NewQueue(), engineByTarget: map[fleet.TargetID]*engine.Engine{},
		config: fleet.Confirmed{
			Version: 1, Hash: "1", Fleet: cfg.Trace.Fleet,
			DataCentresOut: map[fleet.DataCentreName]bool{},
		},
		result: newResult(cfg.Trace),
	}
	sim.meter = newMeter(sim)
	sim.addEngines()
	dispatcherCount := 2
	if cfg.DispatcherPerRouter {
		dispatcherCount = cfg.Trace.Routers
	}
	for i := range dispatcherCount {
		sim.dispatchers = append(sim.dispatchers, newDispatcher(sim, i))
	}
	dcs := cfg.Trace.Fleet.DataCentres
	for i := range cfg.Trace.Routers {
		sim.routers = append(sim.routers, newRouter(sim, i, dcs[i%len(dcs)]))
	}
	return sim
}

func (sim *Simulation) addEngines() {
	counts := map[fleet.ServiceName]int{}
	for _, group := range sim.cfg.Trace.Targets {
		for range group.Count {
			counts[group.Service]++
			service := group.Service
			e := engine.New(engine.Config{
				Target:  fleet.TargetID(fmt.Sprintf("%s-%d", service, counts[service])),
				Service: service, DataCentre: group.DataCentre, Slots: group.Slots,
				UnitInterval: group.UnitInterval, BatchGrowth: group.BatchGrowth, PrefillTime: group.PrefillTime,
				CachedPrefixes: group.CachedPrefixes, WarmUp: engineWarmUp, RestartDelay: engineRestartDelay,
				Queue:     sim.queue,
				OnService: func(c fleet.CustomerName, amount float64) { sim.meter.recordService(service, c, amount) },
			}, true)
			sim.engines = append(sim.engines, e)
			sim.engineByTarget[e.Config().Target] = e
		}
	}
}

// schedule schedules the initial and periodic events, the disturbances and the first
// arrival.
func (sim *Simulation) schedule() {
	for _, d := range sim.dispatchers {
		d.start()
	}
	for _, r := range sim.routers {
		r.start()
	}
	for i, e := range sim.engines {
		sim.queue.After(time.Duration(i)*fleet.AnnounceInterval/time.Duration(len(sim.engines)), func() { sim.announcePeriodically(i, e) })
	}
	for i := range sim.cfg.Trace.Disturbances {
		d := sim.cfg.Trace.Disturbances[i]
		sim.queue.After(d.At, func() { sim.applyDisturbance(d) })
	}
	sim.scheduleArrival(0)
	if sim.cfg.SampleInterval > 0 {
		sim.queue.Every(sim.cfg.SampleInterval, sim.meter.sample)
	}
}

// scheduleArrival schedules the arrival with index i, which schedules the next one.
func (sim *Simulation) scheduleArrival(i int) {
	arrivals := sim.cfg.Trace.Arrivals
	if i >= len(arrivals) {
		return
	}
	sim.queue.At(virtual.Start.Add(arrivals[i].At), func() {
		sim.requestCount++
		sim.routers[arrivals[i].Router].receiveRequest(&arrivals[i], fleet.RequestID(fmt.Sprintf("r%07d", sim.requestCount)))
		sim.scheduleArrival(i + 1)
	})
}

// announcePeriodically has the engine with index i announce itself to its routers now and
// after every AnnounceInterval.
func (sim *Simulation) announcePeriodically(i int, e *engine.Engine) {
	if e.Up() {
		e.Advance()
		announcement := e.Announce()
		for offset := range min(sim.cfg.AnnouncedRouters, len(sim.routers)) {
			r := sim.routers[(i+offset)%len(sim.routers)]
			sim.queue.After(sim.cfg.Trace.OneWayDelay, func() { r.relayAnnouncement(announcement) })
		}
	}
	sim.queue.After(fleet.AnnounceInterval, func() { sim.announcePeriodically(i, e) })
}

// collectResults completes the result at the end of the trace.
func (sim *Simulation) collectResults() {
	for _, e := range sim.engines {
		s := sim.result.service(e.Config().Service)
		s.Overloads += e.Overloads
		s.OverloadCrashes += e.OverloadCrashes
		s.JobCrashes += e.JobCrashes
		s.PrefixHits += e.PrefixHits
		s.Admitted += e.Admitted
	}
	for _, r := range sim.routers {
		r.recordUnfinishedWaits()
	}
	sim.meter.collectResults()
}
