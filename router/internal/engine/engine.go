// Package engine runs the router's reducer and performs its effects.
package engine

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// Performer performs effects of one kind. It must not block; it may post events.
type Performer interface {
	Perform(e fleet.Effect)
}

// PerformerFunc is a function that is a Performer.
type PerformerFunc func(e fleet.Effect)

// Perform implements Performer.
func (f PerformerFunc) Perform(e fleet.Effect) { f(e) }

// Config configures an Engine.
type Config struct {
	Router *routing.Router
	Clock  fleet.Clock
	Log    *slog.Logger
	// Events, when set, records every event.
	Events *eventlog.Writer
}

// Engine feeds events to the reducer one at a time and performs its effects in
// order. It is safe for concurrent use.
type Engine struct {
	cfg        Config
	performers map[string]Performer

	mu       sync.Mutex
	draining bool
	queue    []func()
	done     chan struct{}
	wg       sync.WaitGroup
}

// New makes an Engine. Handle registers performers before Start.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, performers: map[string]Performer{}, done: make(chan struct{})}
}

// Handle registers the performer of the named effects.
func (e *Engine) Handle(p Performer, names ...string) {
	for _, n := range names {
		e.performers[n] = p
	}
}

// Start begins to pass the time to the reducer.
func (e *Engine) Start() {
	e.wg.Add(1)
	go e.postTicks()
}

// Stop ends the passing of time.
func (e *Engine) Stop() {
	close(e.done)
	e.wg.Wait()
}

func (e *Engine) postTicks() {
	defer e.wg.Done()
	ticker := time.NewTicker(routing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-ticker.C:
			e.Post(routing.Tick{})
		}
	}
}

// Post gives an event to the reducer. It may return before the event is reduced.
func (e *Engine) Post(ev fleet.Event) {
	e.run(func() { e.reduce(ev) })
}

// Inspect calls f while no event is being reduced, and returns after it did.
func (e *Engine) Inspect(f func(r *routing.Router)) {
	done := make(chan struct{})
	e.run(func() {
		f(e.cfg.Router)
		close(done)
	})
	<-done
}

// run calls f now, or leaves it to the goroutine that is at work already.
func (e *Engine) run(f func()) {
	e.mu.Lock()
	e.queue = append(e.queue, f)
	if e.draining {
		e.mu.Unlock()
		return
	}
	e.draining = true
	e.mu.Unlock()
	e.drainQueue()
}

// handOver is how many events a goroutine reduces for others before it hands over.
const maxBatch = 32

// work empties the queue.
func (e *Engine) drainQueue() {
	for range maxBatch {
		e.mu.Lock()
		if len(e.queue) == 0 {
			e.queue, e.draining = nil, false
			e.mu.Unlock()
			return
		}
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.mu.Unlock()
		next()
	}
	go e.drainQueue()
}

func (e *Engine) reduce(ev fleet.Event) {
	now := e.cfg.Clock.Now()
	if e.cfg.Events != nil {
		if err := e.cfg.Events.Write(now, ev); err != nil {
			e.cfg.Log.Error(logevent.EventLog, "error", err)
		}
	}
	for _, eff := range e.cfg.Router.Reduce(now, ev) {
		e.perform(eff)
	}
}

// perform performs an effect, unless it rests on a grant that has lapsed meanwhile.
func (e *Engine) perform(eff fleet.Effect) {
	if ex, ok := eff.(fleet.Expiring); ok && !e.cfg.Clock.Now().Before(ex.NotAfter()) {
		e.Post(fleet.Expired{Effect: ex})
		return
	}
	if w, ok := eff.(routing.WakeAfter); ok {
		e.cfg.Clock.AfterFunc(w.Delay, func() { e.Post(routing.Tick{}) })
		return
	}
	p := e.performers[eff.EffectName()]
	if p == nil {
		e.cfg.Log.Error(logevent.EffectUnknown, "effect", eff.EffectName())
		return
	}
	p.Perform(eff)
}
