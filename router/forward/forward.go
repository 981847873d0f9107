// Package forward is the proxy between callers and targets: it sends requests to the
// targets that package placement chooses and passes their responses back.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

const (
	// sweepInterval is the time between two checks for idle connections to close.
	sweepInterval = time.Second
	// tickInterval is the time between two placement.Tick events.
	tickInterval = 500 * time.Millisecond
)

// HeaderNames holds the names of the headers by which callers, router and targets
// communicate.
type HeaderNames struct {
	// RequestID carries the id of a request; targets echo it in the response.
	RequestID string
	// RemainingMs carries the time left until the request's deadline in milliseconds.
	RemainingMs string
	// ExpectedTarget carries the id of the target that the request is meant for.
	ExpectedTarget string
	// ExpectedVersion carries, in callers' requests, the version of the weights that the target must
	// have; it refuses others as misdirected.
	ExpectedVersion string
	// Customer carries the customer's name to the target.
	Customer string
	// Ran is set on every response of a target that has run the request.
	Ran string
	// NotRun is set on the response of a target that did not run the request.
	NotRun string
	// LastEventID carries the id of the last stream event that the caller has received.
	LastEventID string
	// Limit carries, in responses, the number of requests a second that the target takes from
	// all routers together.
	Limit string
	// CopyFrom carries, in requests, the address of a target that probably keeps the prompt's
	// shared part.
	CopyFrom string
	// Leaving has the value 1 in the responses of a target that takes no new requests.
	Leaving string
}

// Config configures a Forwarder.
type Config struct {
	Headers   HeaderNames
	Placement placement.Config
	// Origins finds out which software began the streams that callers resume; nil means that
	// all are unknown.
	Origins fleet.StreamOrigins
	Clock   fleet.Clock
	Log     *slog.Logger
}

// Request is a request to be forwarded.
type Request struct {
	// Call is what the placement decides by; Serve sets its ID.
	Call   placement.Call
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Caller is the remote address of the caller's connection, for the log.
	Caller string
	// Header holds the end-to-end headers. Of those in HeaderNames it has only
	// LastEventID.
	Header http.Header
	Body   Body
	// Hold counts what the router holds for the request; nil means no limit. Its phase is Sent.
	Hold *bytebudget.Hold
	// NoChunks is true for a caller of HTTP/1.0. A response without a length then ends with
	// the caller's connection, so that only a reset tells that it broke off.
	NoChunks bool
}

// Forwarder forwards requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg  Config
	pool *targetconn.Pool
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	router   *placement.Router
	lastCall placement.CallID
}

// New returns a Forwarder. Start begins its periodic work.
func New(cfg Config) *Forwarder {
	return &Forwarder{
		cfg: cfg, pool: targetconn.NewPool(), done: make(chan struct{}),
		router: placement.New(cfg.Placement),
	}
}

// Start begins the periodic work: closing idle connections and ticking the placement.
func (f *Forwarder) Start() {
	f.wg.Go(func() { f.runPeriodically(sweepInterval, func() { f.pool.Sweep(f.cfg.Clock.Now()) }) })
	f.wg.Go(func() { f.runPeriodically(tickInterval, func() { f.Reduce(placement.Tick{}) }) })
}

// Stop ends the periodic work and waits for it. Call it once, after Start.
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

// Reduce passes an event to the placement reducer and returns its effects, except for
// TransferEnded, which it performs. It logs the changes of roll-outs.
func (f *Forwarder) Reduce(ev fleet.Event) []fleet.Effect {
	effects := f.reduce(ev)
	f.logRollouts(effects)
	return effects
}

func (f *Forwarder) reduce(ev fleet.Event) []fleet.Effect {
	f.mu.Lock()
	effects := f.router.Reduce(f.cfg.Clock.Now(), ev)
	f.mu.Unlock()
	return slices.DeleteFunc(effects, func(e fleet.Effect) bool {
		ended, ok := e.(placement.TransferEnded)
		if ok {
			f.logTransferEnded(ended)
		}
		return ok
	})
}

// TargetCounts returns the number of targets in each state, according to this router.
func (f *Forwarder) TargetCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.TargetCounts(f.cfg.Clock.Now())
}

func (f *Forwarder) nextCallID() placement.CallID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCall++
	return f.lastCall
}

// Serve forwards a request and writes the response to w. It returns once the response
// is complete; if it cannot complete a response that has begun, or the caller has
// disconnected, it panics with http.ErrAbortHandler, which closes the caller's connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, req Request) {
	req.Call.ID = f.nextCallID()
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	x := &exchange{forwarder: f, req: &req, ctx: ctx, out: &responseWriter{w: w, ctx: ctx, resetOnAbort: req.NoChunks, hold: req.Hold, clock: f.cfg.Clock}}
	f.findOrigin(ctx, &req.Call)
	effects := f.Reduce(placement.CallArrived{Call: req.Call})
	for len(effects) > 0 {
		switch e := effects[0].(type) {
		case placement.Send:
			effects = x.attempt(e)
		case placement.Refuse:
			f.logRefused(&req, e)
			x.out.refuse(f.cfg.Headers, req.Call.Request, e.Reason, e.RetryAfter)
			return
		case placement.GiveUp:
			x.giveUp(e)
			return
		default:
			return
		}
	}
}

// maxStreamAge is the time that a stream which is resumed may have taken so far, as a multiple of
// the route's timeout.
const maxStreamAge = 2

// findOrigin sets the origin of the stream that a call resumes, if it is known. If the caller does
// not name the stream, only a service with one software version can have begun it.
func (f *Forwarder) findOrigin(ctx context.Context, c *placement.Call) {
	if f.cfg.Origins == nil || !c.Resuming || !c.Route.ResumesStreams() {
		return
	}
	if c.Resumes == "" {
		service := placement.ServiceOf(c)
		if v, ok := f.cfg.Origins.SoleVersion(ctx, service, maxStreamAge*c.Route.Timeout); ok {
			c.Origin = &fleet.StreamOrigin{Service: service, Version: v}
		}
		return
	}
	if o, ok := f.cfg.Origins.Find(ctx, c.Resumes); ok {
		c.Origin = &o
	}
}

// shareOrigins performs the StreamBegun effects.
func (f *Forwarder) shareOrigins(effects []fleet.Effect) {
	for _, e := range effects {
		if begun, ok := e.(placement.StreamBegun); ok && f.cfg.Origins != nil {
			f.cfg.Origins.Share(begun.StreamOrigin)
		}
	}
}

// formatRetryAfter formats a duration for the Retry-After header, in seconds.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
