// Package control records run-once calls in the ledger that the control hosts keep.
package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

const (
	// endAttemptTimeout bounds one attempt to record the end of a call.
	endAttemptTimeout = 5 * time.Second
	// endRetryInterval is the time between two attempts to record the end of a call.
	endRetryInterval = 500 * time.Millisecond
	// endTotalTimeout bounds all attempts together; after it the call stays in doubt in
	// the ledger.
	endTotalTimeout = 10 * time.Minute
)

// Poster passes events to the reducer.
type Poster interface {
	Post(ev fleet.Event)
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Control fleet.Caller
	Events  Poster
	Clock   fleet.Clock
	Log     *slog.Logger
}

// Ledger performs the ledger effects of the reducer.
type Ledger struct {
	cfg    LedgerConfig
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pendingBegins holds a channel for each begin without a reply; it is closed by the
	// reply.
	pendingBegins map[fleet.RequestID]chan struct{}
	wg            sync.WaitGroup
}

// NewLedger returns a Ledger. Stop ends its work.
func NewLedger(cfg LedgerConfig) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{cfg: cfg, ctx: ctx, cancel: cancel, pendingBegins: map[fleet.RequestID]chan struct{}{}}
}

// Stop waits until the ends of all calls are recorded, or ctx is done, and then cancels
// what is left.
func (l *Ledger) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	l.cancel()
}

// Perform implements engine.Performer for LedgerBegin and LedgerEnd.
func (l *Ledger) Perform(e fleet.Effect) {
	l.wg.Add(1)
	switch e := e.(type) {
	case routing.LedgerBegin:
		replied := make(chan struct{})
		l.mu.Lock()
		l.pendingBegins[e.Request] = replied
		l.mu.Unlock()
		go l.begin(e, replied)
	case routing.LedgerEnd:
		l.mu.Lock()
		begun := l.pendingBegins[e.Request]
		l.mu.Unlock()
		go l.end(e, begun)
	default:
		l.wg.Done()
	}
}

func (l *Ledger) begin(e routing.LedgerBegin, replied chan struct{}) {
	defer l.wg.Done()
	ctx, cancel := context.WithTimeout(l.ctx, e.Until.Sub(l.cfg.Clock.Now()))
	defer cancel()
	var reply fleet.LedgerBeginReply
	err := l.cfg.Control.Call(ctx, fleet.MethodLedgerBegin, e.Begin, &reply)
	if err != nil {
		l.cfg.Log.Warn(logevent.LedgerBeginFailed, "request", string(e.Request), "error", err)
	}
	l.mu.Lock()
	delete(l.pendingBegins, e.Request)
	l.mu.Unlock()
	close(replied)
	l.cfg.Events.Post(routing.LedgerBegun{Request: e.Request, Failed: err != nil, Reply: reply})
}

// end records the end of a call once its begin has got a reply or failed.
func (l *Ledger) end(e routing.LedgerEnd, begun <-chan struct{}) {
	defer l.wg.Done()
	if begun != nil {
		<-begun
	}
	ctx, cancel := context.WithTimeout(l.ctx, endTotalTimeout)
	defer cancel()
	for {
		err := l.endOnce(ctx, e)
		if err == nil {
			l.cfg.Events.Post(routing.LedgerEnded{Request: e.Request})
			return
		}
		l.cfg.Log.Warn(logevent.LedgerEndFailed, "request", string(e.Request), "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(endRetryInterval):
		}
	}
}

func (l *Ledger) endOnce(ctx context.Context, e routing.LedgerEnd) error {
	ctx, cancel := context.WithTimeout(ctx, endAttemptTimeout)
	defer cancel()
	var reply fleet.LedgerEndReply
	return l.cfg.Control.Call(ctx, fleet.MethodLedgerEnd, e.End, &reply)
}
