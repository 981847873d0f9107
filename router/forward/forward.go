// Package forward passes the requests of callers on to targets, and the targets'
// answers back, as package placement decides.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

const (
	// sweepInterval is the time between two rounds over the unused connections.
	sweepInterval = time.Second
	// tickInterval is the time between two ticks of the placement.
	tickInterval = 500 * time.Millisecond
)

// HeaderNames names the headers by which callers, router and targets understand each other.
type HeaderNames struct {
	// RequestID carries the id of a request; targets echo it.
	RequestID string
	// RemainingMs carries the milliseconds that the caller still waits.
	RemainingMs string
	// ExpectedTarget carries the id of the target that a request is meant for.
	ExpectedTarget string
	// Customer carries the customer's name to the target.
	Customer string
	// Ran is what a target's answer bears that it has run.
	Ran string
	// NotRun marks the answer of a target that did not run the request.
	NotRun string
	// LastEventID carries the id of the last event of a stream that the caller has.
	LastEventID string
}

// Config configures a Forwarder.
type Config struct {
	Headers   HeaderNames
	Placement placement.Config
	Clock     fleet.Clock
	Log       *slog.Logger
}

// Request is a request as it is passed on.
type Request struct {
	// Call is what its placement depends on; its ID is set by Serve.
	Call   placement.Call
	Method string
	// URI is the path and query as they were sent.
	URI  string
	Host string
	// Header has the end-to-end headers, without those that Dialect names, but for
	// LastEvent.
	Header http.Header
	Body   []byte
}

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	cfg  Config
	pool *targetconn.Pool
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	router   *placement.Router
	lastCall placement.CallID
}

// New makes a Forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg: cfg, pool: targetconn.NewPool(), done: make(chan struct{}),
		router: placement.New(cfg.Placement),
	}
}

// Start begins the work that is due from time to time.
func (f *Forwarder) Start() {
	f.wg.Go(func() { f.runPeriodically(sweepInterval, func() { f.pool.Sweep(f.cfg.Clock.Now()) }) })
	f.wg.Go(func() { f.runPeriodically(tickInterval, func() { f.Reduce(placement.Tick{}) }) })
}

// Stop ends what Start began.
func (f *Forwarder) Stop() {
	close(f.done)
	f.wg.Wait()
}

func (f *Forwarder) runPeriodically(d time.Duration, do func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
			do()
		}
	}
}

// Reduce gives an event to the placement and returns its effects.
func (f *Forwarder) Reduce(ev fleet.Event) []fleet.Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Reduce(f.cfg.Clock.Now(), ev)
}

// TargetCounts returns the number of targets by what this router believes of them.
func (f *Forwarder) TargetCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Counts(f.cfg.Clock.Now())
}

func (f *Forwarder) nextCallID() placement.CallID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCall++
	return f.lastCall
}

// Serve passes a request on and its answer back. It returns once the caller has the
// whole answer; a caller that can't have it sees its connection closed.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, req Request) {
	req.Call.ID = f.nextCallID()
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	x := &exchange{f: f, req: &req, ctx: ctx, out: &responseWriter{w: w}}
	effects := f.Reduce(placement.CallArrived{Call: req.Call})
	for len(effects) > 0 {
		switch e := effects[0].(type) {
		case placement.Send:
			effects = x.attempt(e)
		case placement.Refuse:
			f.logRefused(&req, e)
			x.out.fail(http.StatusServiceUnavailable, f.cfg.Headers, req.Call.Request, e.Reason, e.RetryAfter)
			return
		case placement.GiveUp:
			x.giveUp(e)
			return
		default:
			return
		}
	}
}

// retryAfter formats a time to come back, in seconds.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
