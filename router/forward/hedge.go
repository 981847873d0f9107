package forward

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

var (
	// hedges counts hedged attempts: Sent, and by how their requests ended Won, Lost (the slow attempt
	// was answered first) or Failed (neither was answered). LoserMs is the time that the targets of
	// those that were not passed on spent, in milliseconds.
	hedges = expvar.NewMap("ForwardHedges")
	// hedgeRefusals counts the slow attempts that were not hedged, by obstacle.
	hedgeRefusals = expvar.NewMap("ForwardHedgeRefusals")
)

// race is a request with an attempt that is hedged if it is slow. The response to one of the two
// attempts is passed on to the caller; the other attempt is ended when that response begins.
//
// Each attempt has an exchange of its own, whose responseWriter it uses only after it has won.
type race struct {
	// request has what the attempts have in common.
	request *exchange
	// attempt is the number of the slow attempt, delay the time after which it is hedged.
	attempt int
	delay   time.Duration
	// done is closed when the hedged attempt has ended.
	done chan struct{}

	mu    sync.Mutex
	timer fleet.Timer
	// closed is true once no hedged attempt may begin any more.
	closed bool
	// conn has the request of the slow attempt; nil before it is written.
	conn *targetconn.Conn
	slow *entrant
	// hedge is nil until the hedged attempt begins.
	hedge  *entrant
	winner *entrant
}

// entrant is one of the attempts of a race.
type entrant struct {
	x       *exchange
	cancel  context.CancelFunc
	endedAt time.Time
	outcome placement.Outcome
	effects []fleet.Effect
	// panicked is what the attempt panicked with.
	panicked any
}

// attemptWithHedge sends the request to a target, and to another one if the first is slow. It returns
// the effects that follow.
func (x *exchange) attemptWithHedge(s placement.Send) []fleet.Effect {
	r := &race{request: x, attempt: s.Attempt, delay: s.ExtraAfter, done: make(chan struct{})}
	r.slow = r.enter()
	defer r.slow.cancel()
	r.startTimer()
	r.run(r.slow, s)
	if r.closeEntry() {
		if r.slow.outcome == placement.Answered {
			// The caller need not wait for the end of the other attempt. The flush fails only if the
			// caller has disconnected.
			_ = http.NewResponseController(x.out.w).Flush()
		}
		<-r.done
		if r.hedge.panicked != nil {
			// In this goroutine the server recovers from the panic.
			panic(r.hedge.panicked)
		}
		r.logEnd()
	}
	return x.conclude(r.settle(x))
}

// enter returns an attempt with an exchange of its own.
func (r *race) enter() *entrant {
	x := r.request
	ctx, cancel := context.WithCancel(x.ctx)
	out := *x.out
	return &entrant{cancel: cancel, x: &exchange{forwarder: x.forwarder, req: x.req, ctx: ctx, out: &out, events: x.events, race: r}}
}

func (r *race) startTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = r.request.forwarder.cfg.Clock.AfterFunc(r.delay, r.hedgeIfSlow)
}

func (r *race) run(e *entrant, s placement.Send) {
	outcome, effects := e.x.perform(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.outcome, e.effects, e.endedAt = outcome, effects, e.x.forwarder.cfg.Clock.Now()
}

// closeEntry lets no hedged attempt begin any more, and reports whether one has begun.
func (r *race) closeEntry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
	return r.hedge != nil
}

func (r *race) stop() {
	r.closed = true
	r.timer.Stop()
}

// hedgeIfSlow sends the request to another target if the placement decides so. It runs in the
// goroutine of the timer.
func (r *race) hedgeIfSlow() {
	s, ok := r.beginHedge()
	if !ok {
		return
	}
	defer close(r.done)
	defer r.hedge.cancel()
	defer func() { r.hedge.panicked = recover() }()
	r.run(r.hedge, s)
}

func (r *race) beginHedge() (placement.Send, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.slow.x
	if r.closed || hasInput(r.conn) || callerDisconnected(x.ctx) {
		return placement.Send{}, false
	}
	r.closed = true
	for _, e := range x.forwarder.Reduce(placement.ExtraDue{Call: x.req.Call.ID, Attempt: r.attempt}) {
		switch e := e.(type) {
		case placement.Send:
			hedges.Add("Sent", 1)
			r.hedge = r.enter()
			return e, true
		case placement.ExtraRefused:
			x.forwarder.logHedgeRefused(x.req, e)
		}
	}
	return placement.Send{}, false
}

// hasInput reports whether a part of the response, or the end of the connection, has arrived and has
// not been read. A router short of processor time may be late to read it.
func hasInput(c *targetconn.Conn) bool {
	if c == nil {
		return false
	}
	_, err := peek(c.Conn)
	return err == nil || errors.Is(err, unix.ECONNRESET)
}

// writing records that an attempt is about to write its request to a connection. The time of the
// target begins only now.
func (r *race) writing(x *exchange, c *targetconn.Conn) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if x != r.slow.x {
		return
	}
	r.conn = c
	if !r.closed && r.timer.Stop() {
		r.timer = x.forwarder.cfg.Clock.AfterFunc(r.delay, r.hedgeIfSlow)
	}
}

// awaitResponse waits for the first byte of the response to an attempt, or for its end. From then on the
// slow attempt is not hedged.
func (r *race) awaitResponse(x *exchange, c *targetconn.Conn) {
	if r == nil {
		return
	}
	// The following read fails in the same way.
	_, _ = c.Reader.Peek(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if x == r.slow.x {
		r.stop()
	}
}

// claim makes an attempt the one whose response is passed on, and ends the other one. It returns false
// if that one has won before.
func (r *race) claim(x *exchange) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, other := r.entrants(x)
	if r.winner == nil {
		r.winner = e
		r.stop()
		if other != nil {
			other.cancel()
		}
	}
	return r.winner == e
}

// entrants returns the entrant of an exchange, and the other one if there is one.
func (r *race) entrants(x *exchange) (own, other *entrant) {
	if x == r.slow.x {
		return r.slow, r.hedge
	}
	return r.hedge, r.slow
}

// isOtherRunning reports whether the other attempt may still succeed.
func (r *race) isOtherRunning(x *exchange) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, other := r.entrants(x)
	return other != nil && other.outcome == ""
}

// isHedged reports whether a hedged attempt has begun.
func (r *race) isHedged() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedge != nil
}

// isLost reports whether the other attempt has won.
func (r *race) isLost(x *exchange) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	own, _ := r.entrants(x)
	return r.winner != nil && r.winner != own
}

// settle hands over to the exchange of the request what its attempts leave, and returns the outcome and
// the effects that decide how the request goes on. Both attempts have ended.
func (r *race) settle(x *exchange) (placement.Outcome, []fleet.Effect) {
	decisive := r.slow
	var effects []fleet.Effect
	for _, e := range []*entrant{r.slow, r.hedge} {
		if e == nil {
			continue
		}
		// The placement returns effects only for the attempt that ends last.
		effects = append(effects, e.effects...)
		if e.x.failed != nil {
			x.failed = e.x.failed
		}
		if r.winner == e || r.winner == nil && (e.outcome == placement.CallerGone || e.outcome == placement.Expired) {
			decisive = e
		}
	}
	if r.winner != nil {
		x.out, x.events = decisive.x.out, decisive.x.events
	}
	return decisive.outcome, effects
}

// logEnd logs and counts the end of a request with a hedged attempt.
func (r *race) logEnd() {
	result, loser := "Failed", r.hedge
	attempt := 0
	switch r.winner {
	case r.hedge:
		result, loser, attempt = "Won", r.slow, r.hedge.x.send.Attempt
	case r.slow:
		result, attempt = "Lost", r.slow.x.send.Attempt
	}
	hedges.Add(result, 1)
	x := loser.x
	cost := loser.endedAt.Sub(x.sentAt)
	hedges.Add("LoserMs", cost.Milliseconds())
	x.forwarder.cfg.Log.Info(logevent.HedgeEnded, logevent.FieldRequest, string(x.req.Call.Request), logevent.FieldRoute, x.req.Call.Route.Name,
		logevent.FieldAttempt, r.hedge.x.send.Attempt, logevent.FieldWinner, attempt, logevent.FieldTarget, string(x.send.Target),
		logevent.FieldOutcome, string(loser.outcome), logevent.FieldLoserTime, cost.Milliseconds())
}

// logHedgeRefused counts and logs a slow attempt that is not hedged.
func (f *Forwarder) logHedgeRefused(req *Request, e placement.ExtraRefused) {
	hedgeRefusals.Add(string(e.Obstacle), 1)
	f.cfg.Log.Info(logevent.HedgeRefused, append([]any{
		logevent.FieldRequest, string(req.Call.Request), logevent.FieldRoute, req.Call.Route.Name, logevent.FieldAttempt, e.Attempt,
		logevent.FieldReason, string(e.Obstacle),
	}, hedgeAttrs(&e.Hedge)...)...)
}

// hedgeAttrs returns the log fields for what a decision on a hedged attempt was based on.
func hedgeAttrs(h *placement.HedgeBasis) []any {
	return []any{
		logevent.FieldHedgeOf, h.Of, logevent.FieldSlowAfter, h.Slow.After.Milliseconds(), logevent.FieldSlowSource, string(h.Slow.Source),
		logevent.FieldSlowAge, h.Slow.Age.Milliseconds(), logevent.FieldWaited, h.Waited.Milliseconds(), logevent.FieldRemaining, h.Remaining.Milliseconds(),
		logevent.FieldHedgesLeft, h.Left, logevent.FieldRetriesLeft, h.RetriesLeft,
	}
}
