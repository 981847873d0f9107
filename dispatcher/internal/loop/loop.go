// Package loop runs the dispatch reducer: it passes events to the reducer one at a time and
// performs the effects.
package loop

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
)

// queueLength is the number of events that can be queued for the reducer.
const queueLength = 4096

// Sender sends messages to routers without blocking. If the lease behind a message has
// expired or the router can't be reached, it posts an event about that to the Loop.
type Sender interface {
	// Send queues a message.
	Send(e dispatch.SendGrants)
}

// Config configures a Loop.
type Config struct {
	Dispatch    dispatch.Config
	Clock       fleet.Clock
	Log         *slog.Logger
	DecisionLog *explain.DecisionLog
}

// Loop runs one reducer. It is safe for concurrent use.
type Loop struct {
	cfg    Config
	sender Sender
	events chan fleet.Event
	quit   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	reducer *dispatch.Reducer
}

// New returns a Loop. SetSender and then Start must be called before events are handled.
func New(cfg Config) *Loop {
	return &Loop{
		cfg: cfg, events: make(chan fleet.Event, queueLength), quit: make(chan struct{}), done: make(chan struct{}),
		reducer: dispatch.New(cfg.Dispatch),
	}
}

// SetSender sets the Sender of messages to routers. Call it before Start.
func (l *Loop) SetSender(s Sender) { l.sender = s }

// Start handles events and ticks in the background until Stop.
func (l *Loop) Start() { go l.run() }

// Stop stops the Loop and waits for the event in progress. Queued events are dropped.
func (l *Loop) Stop() {
	close(l.quit)
	<-l.done
}

// Post queues an event for the reducer. It blocks while the queue is full, which puts
// back-pressure on routers that send too much. After Stop the event is dropped.
func (l *Loop) Post(ev fleet.Event) {
	select {
	case l.events <- ev:
	case <-l.quit:
	}
}

// View calls f with the reducer between two events. f must not keep the reducer.
func (l *Loop) View(f func(r *dispatch.Reducer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.reducer)
}

func (l *Loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.quit:
			return
		case ev := <-l.events:
			l.apply(ev)
		case <-ticker.C:
			l.apply(dispatch.Tick{})
		}
	}
}

// apply passes one event to the reducer and performs the effects.
func (l *Loop) apply(ev fleet.Event) {
	l.mu.Lock()
	effects := l.reducer.Reduce(l.cfg.Clock.Now(), ev)
	l.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.SendGrants:
			l.sender.Send(e)
		case dispatch.Decided:
			countDecision(e.Decision)
			l.cfg.DecisionLog.Add(e.Decision)
		}
	}
}
