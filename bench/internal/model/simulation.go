// Package model drives dispatch reducers with modelled routers and targets in
// virtual time, and measures fairness, utilisation and waits on its own account.
package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Timing of the modelled fleet.
const (
	// retryPause is how long a router waits after a failed attempt.
	retryDelay = 250 * time.Millisecond
	// configInterval is the time between two confirmations of the configuration.
	confirmInterval = time.Second
	// configValidity is how long a confirmation may be relied on.
	configValidity = 5 * time.Second
	// fetchDelay is the time to fetch a newer configuration that a peer mentioned.
	configFetchDelay = 5 * time.Millisecond
	// renewInterval and leaseDuration are those of the dispatchers' lease.
	leaseRenewInterval = 500 * time.Millisecond
	leaseDuration      = 2 * time.Second
	// electDelay is the time a successor needs to get a lapsed lease.
	leaseAcquireDelay = 100 * time.Millisecond
	// drainLimit is how long targets of a data centre taken out keep running.
	drainTimeout = 90 * time.Second
	// mostBroken is how many broken attempts a router tries again.
	maxBrokenRetries = 4
	// engineWarmUp and engineRestart are those of all modelled engines.
	engineWarmUp       = 20 * time.Second
	engineRestartDelay = 5 * time.Second
)

// Config describes a run.
type Config struct {
	Trace *workload.Trace
	// NewReducer makes the reducer of a dispatcher, numbered from 0.
	NewReducer func(index int) fleet.Reducer
	// PerRouter gives every router a dispatcher of its own, without delay.
	DispatcherPerRouter bool
	// AnnounceTo is how many routers each target announces itself to.
	AnnouncedRouters int
	// ProgressInterval is the time between two progress reports of a running request.
	ProgressInterval time.Duration
	// Standing lets routers use standing grants while the dispatcher is silent.
	StandingGrants bool
	// Sample is the interval at which fairness and utilisation are sampled; 0 turns it off.
	SampleInterval time.Duration
	// Event, when set, is told of every event that a dispatcher's reducer gets.
	OnEvent func(dispatcher int, now time.Time, ev fleet.Event)
}

// Fleet is a modelled fleet.
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

// Run runs a trace to its end and returns what was measured.
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

// schedule plans everything that does not follow from something else.
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

// arrive takes the arrival with the given index and plans the next one.
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

// finish closes what still runs at the end of the trace.
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
