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
	retryPause = 250 * time.Millisecond
	// configInterval is the time between two confirmations of the configuration.
	configInterval = time.Second
	// configValidity is how long a confirmation may be relied on.
	configValidity = 5 * time.Second
	// fetchDelay is the time to fetch a newer configuration that a peer mentioned.
	fetchDelay = 5 * time.Millisecond
	// renewInterval and leaseDuration are those of the dispatchers' lease.
	renewInterval = 500 * time.Millisecond
	leaseDuration = 2 * time.Second
	// electDelay is the time a successor needs to get a lapsed lease.
	electDelay = 100 * time.Millisecond
	// drainLimit is how long targets of a data centre taken out keep running.
	drainLimit = 90 * time.Second
	// mostBroken is how many broken attempts a router tries again.
	mostBroken = 4
	// engineWarmUp and engineRestart are those of all modelled engines.
	engineWarmUp  = 20 * time.Second
	engineRestart = 5 * time.Second
)

// Config describes a run.
type Config struct {
	Trace *workload.Trace
	// NewReducer makes the reducer of a dispatcher, numbered from 0.
	NewReducer func(index int) fleet.Reducer
	// PerRouter gives every router a dispatcher of its own, without delay.
	PerRouter bool
	// AnnounceTo is how many routers each target announces itself to.
	AnnounceTo int
	// ProgressInterval is the time between two progress reports of a running request.
	ProgressInterval time.Duration
	// Standing lets routers use standing grants while the dispatcher is silent.
	Standing bool
	// Sample is the interval at which fairness and utilisation are sampled; 0 turns it off.
	Sample time.Duration
	// Event, when set, is told of every event that a dispatcher's reducer gets.
	Event func(dispatcher int, now time.Time, ev fleet.Event)
}

// Fleet is a modelled fleet.
type Fleet struct {
	cfg         Config
	queue       *virtual.Queue
	routers     []*router
	dispatchers []*dispatcher
	engines     []*engine.Engine
	byTarget    map[fleet.TargetID]*engine.Engine
	config      fleet.Confirmed
	meter       *meter
	result      *Result
	requests    int
}

// Run runs a trace to its end and returns what was measured.
func Run(cfg Config) *Result {
	f := newFleet(cfg)
	f.schedule()
	f.queue.RunUntil(virtual.Start.Add(cfg.Trace.Duration))
	f.finish()
	return f.result
}

func newFleet(cfg Config) *Fleet {
	f := &Fleet{
		cfg: cfg, queue: virtual.NewQueue(), byTarget: map[fleet.TargetID]*engine.Engine{},
		config: fleet.Confirmed{
			Version: 1, Hash: "1", Fleet: cfg.Trace.Fleet,
			DataCentresOut: map[fleet.DataCentreName]bool{},
		},
		result: newResult(cfg.Trace),
	}
	f.meter = newMeter(f)
	f.addEngines()
	dispatchers := 2
	if cfg.PerRouter {
		dispatchers = cfg.Trace.Routers
	}
	for i := range dispatchers {
		f.dispatchers = append(f.dispatchers, newDispatcher(f, i))
	}
	dcs := cfg.Trace.Fleet.DataCentres
	for i := range cfg.Trace.Routers {
		f.routers = append(f.routers, newRouter(f, i, dcs[i%len(dcs)]))
	}
	return f
}

func (f *Fleet) addEngines() {
	counts := map[fleet.ServiceName]int{}
	for _, g := range f.cfg.Trace.Targets {
		for range g.Count {
			counts[g.Service]++
			service := g.Service
			e := engine.New(engine.Config{
				Target:  fleet.TargetID(fmt.Sprintf("%s-%d", service, counts[service])),
				Service: service, DataCentre: g.DataCentre, Slots: g.Slots,
				UnitInterval: g.UnitInterval, BatchGrowth: g.BatchGrowth, Prefill: g.Prefill,
				CachedPrefixes: g.CachedPrefixes, WarmUp: engineWarmUp, Restart: engineRestart,
				Queue:  f.queue,
				Served: func(c fleet.CustomerName, amount float64) { f.meter.serve(service, c, amount) },
			}, true)
			f.engines = append(f.engines, e)
			f.byTarget[e.Config().Target] = e
		}
	}
}

// schedule plans everything that does not follow from something else.
func (f *Fleet) schedule() {
	for _, d := range f.dispatchers {
		d.run()
	}
	for _, r := range f.routers {
		r.run()
	}
	for i, e := range f.engines {
		f.queue.After(time.Duration(i)*fleet.AnnounceInterval/time.Duration(len(f.engines)), func() { f.announce(i, e) })
	}
	for i := range f.cfg.Trace.Disturbances {
		d := f.cfg.Trace.Disturbances[i]
		f.queue.After(d.At, func() { f.disturb(d) })
	}
	f.arrive(0)
	if f.cfg.Sample > 0 {
		f.queue.Every(f.cfg.Sample, f.meter.sample)
	}
}

// arrive takes the arrival with the given index and plans the next one.
func (f *Fleet) arrive(i int) {
	arrivals := f.cfg.Trace.Arrivals
	if i >= len(arrivals) {
		return
	}
	f.queue.At(virtual.Start.Add(arrivals[i].At), func() {
		f.requests++
		f.routers[arrivals[i].Router].arrive(&arrivals[i], fleet.RequestID(fmt.Sprintf("r%07d", f.requests)))
		f.arrive(i + 1)
	})
}

func (f *Fleet) announce(i int, e *engine.Engine) {
	if e.Up() {
		e.Advance()
		a := e.Announce()
		for k := range min(f.cfg.AnnounceTo, len(f.routers)) {
			r := f.routers[(i+k)%len(f.routers)]
			f.queue.After(f.cfg.Trace.OneWay, func() { r.relay(a) })
		}
	}
	f.queue.After(fleet.AnnounceInterval, func() { f.announce(i, e) })
}

// finish closes what still runs at the end of the trace.
func (f *Fleet) finish() {
	for _, e := range f.engines {
		s := f.result.service(e.Config().Service)
		s.Overloads += e.Overloads
		s.Falls += e.Falls
		s.Crashes += e.Crashes
		s.PrefixHits += e.Hits
		s.Admitted += e.Admitted
	}
	for _, r := range f.routers {
		r.finish()
	}
	f.meter.finish()
}
