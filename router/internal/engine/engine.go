// Package engine feeds events to the router's reducer and performs the resulting
// effects.
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

// Performer performs effects. Perform must not block; it may post events.
type Performer interface {
	Perform(e fleet.Effect)
}

// PerformerFunc makes a function a Performer.
type PerformerFunc func(e fleet.Effect)

// Perform implements Performer by calling f.
func (f PerformerFunc) Perform(e fleet.Effect) { f(e) }

// Config configures an Engine.
type Config struct {
	Router *routing.Router
	Clock  fleet.Clock
	Log    *slog.Logger
	// Events records every event before it is reduced; nil records none.
	Events *eventlog.Writer
}

// Engine feeds events to the reducer one at a time and performs the effects in order.
// It is safe for concurrent use.
type Engine struct {
	cfg        Config
	performers map[string]Performer

	mu       sync.Mutex
	draining bool
	queue    []func()
	done     chan struct{}
	wg       sync.WaitGroup
}

// New returns an Engine. Register all performers by Handle before Start.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, performers: map[string]Performer{}, done: make(chan struct{})}
}

// Handle registers the performer of the effects with the given names. Effects without a
// performer are logged and dropped.
func (e *Engine) Handle(p Performer, names ...string) {
	for _, n := range names {
		e.performers[n] = p
	}
}

// Start begins to post a Tick every routing.TickInterval.
func (e *Engine) Start() {
	e.wg.Add(1)
	go e.postTicks()
}

// Stop ends the ticks. Events are still reduced.
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

// Post queues an event for the reducer. It may return before the event has been
// reduced.
func (e *Engine) Post(ev fleet.Event) {
	e.run(func() { e.reduce(ev) })
}

// Inspect calls f while no event is being reduced, and returns once f has returned.
func (e *Engine) Inspect(f func(r *routing.Router)) {
	done := make(chan struct{})
	e.run(func() {
		f(e.cfg.Router)
		close(done)
	})
	<-done
}

// run calls f now, or queues it for the goroutine that is calling queued functions.
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

// maxBatch is how many queued functions a goroutine calls before another one takes
// over, so that no caller of Post is held up for long.
const maxBatch = 32

// drainQueue calls the queued functions until the queue is empty. After maxBatch of them
// it continues in a new goroutine.
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

// perform performs an effect, unless it depends on a grant that has expired.
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
