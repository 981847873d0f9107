// Package loop runs the dispatch reducer: it hands it events one after another and
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

// queueLength is the number of events that may wait for the reducer.
const queueLength = 4096

// Sender sends messages to routers without blocking. It reports an effect that came
// too late, or could not be sent, as an event.
type Sender interface {
	Send(e dispatch.SendGrants)
}

// Config configures a Loop.
type Config struct {
	Dispatch dispatch.Config
	Clock    fleet.Clock
	Log      *slog.Logger
	Record   *explain.DecisionLog
}

// Loop owns a reducer. It is safe for concurrent use.
type Loop struct {
	cfg    Config
	sender Sender
	events chan fleet.Event
	quit   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	reducer *dispatch.Reducer
}

// New makes a Loop; SetSender and Start come next.
func New(cfg Config) *Loop {
	return &Loop{
		cfg: cfg, events: make(chan fleet.Event, queueLength), quit: make(chan struct{}), done: make(chan struct{}),
		reducer: dispatch.New(cfg.Dispatch),
	}
}

// SetSender sets who sends messages to routers.
func (l *Loop) SetSender(s Sender) { l.sender = s }

// Start begins to take events.
func (l *Loop) Start() { go l.run() }

// Stop ends the loop.
func (l *Loop) Stop() {
	close(l.quit)
	<-l.done
}

// Post hands an event to the reducer. It waits while too many events are queued, so
// that a router which sends too much is slowed down.
func (l *Loop) Post(ev fleet.Event) {
	select {
	case l.events <- ev:
	case <-l.quit:
	}
}

// View calls f with the reducer between two events. It must not keep it.
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
			l.cfg.Record.Add(e.Decision)
		}
	}
}
