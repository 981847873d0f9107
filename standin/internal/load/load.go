package load

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/caller"
)

const (
	// firstBackoff and maxBackoff bound the wait before an attempt is repeated.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Run sends the load and returns what was seen.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	res := newResult()
	var wg sync.WaitGroup
	worker := 0
	end := cfg.Clock.Now().Add(cfg.Duration)
	for _, c := range cfg.Customers {
		for range c.Workers {
			worker++
			w := &runner{cfg: &cfg, gen: newGenerator(&cfg, c, worker), res: res, end: end}
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.run(ctx)
			}()
		}
	}
	wg.Wait()
	if cfg.Records == nil {
		return res, nil
	}
	records, err := cfg.Records()
	if err != nil {
		return res, err
	}
	res.verify(records)
	return res, nil
}

// runner is one worker of a customer.
type runner struct {
	cfg *Config
	gen *generator
	res *Result
	end time.Time

	hosts      []caller.Host
	hostsUntil time.Time
}

func (w *runner) run(ctx context.Context) {
	for ctx.Err() == nil && w.cfg.Clock.Now().Before(w.end) {
		r := w.gen.next()
		if w.deliver(ctx, r) && r.runOnce && w.gen.percent(w.cfg.ResendPercent) {
			w.res.add(&w.res.Resent, 1)
			w.deliver(ctx, r)
		}
		sleep(ctx, w.cfg.Pause)
	}
}

// deliver sends a request, again if need be, until it has its answer.
func (w *runner) deliver(ctx context.Context, r request) bool {
	w.res.add(&w.res.Requests, 1)
	for n := 1; ; n++ {
		done, wait := w.attempt(ctx, r)
		if done {
			return true
		}
		if wait < 0 || ctx.Err() != nil || n == w.cfg.Attempts {
			break
		}
		sleep(ctx, max(wait, min(firstBackoff<<min(n-1, 8), maxBackoff)))
	}
	w.res.add(&w.res.Unanswered, 1)
	return false
}

// attempt sends a request once. It returns whether the right answer came, and how
// long to wait at least before the next attempt; a negative wait means to give up.
func (w *runner) attempt(ctx context.Context, r request) (done bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.RequestTimeout)
	defer cancel()
	host, err := w.host(ctx, r)
	if err != nil {
		w.res.add(&w.res.NoHosts, 1)
		return false, 0
	}
	a, err := caller.Send(ctx, w.cfg.Client, host.Address, r.Request)
	w.res.add(&w.res.Attempts, 1)
	switch {
	case err != nil && a.Status != 0:
		w.hosts = nil
		w.res.add(&w.res.Cut, 1)
		if strings.HasPrefix(a.ContentType, "text/event-stream") {
			w.res.add(&w.res.CutStreams, 1)
		}
		w.cfg.Log.Warn("Cut", "host", host.Address.String(), "request", string(a.RequestID), "bytes", len(a.Body), "error", err.Error())
		return false, 0
	case err != nil:
		w.hosts = nil
		w.res.add(&w.res.ConnectionErrors, 1)
		w.cfg.Log.Warn("ConnectionError", "host", host.Address.String(), "error", err.Error())
		return false, 0
	case a.Failure != nil:
		return w.failed(r, a)
	}
	return w.check(r, a), -1
}

// failed counts a failure and tells whether to try again.
func (w *runner) failed(r request, a caller.Answer) (done bool, wait time.Duration) {
	f := a.Failure
	w.res.failed(a.RequestID, *f)
	w.cfg.Log.Info("Failure", "request", string(a.RequestID), "verdict", f.Verdict.String(), "reason", string(f.Reason), "detail", f.Detail)
	wait = min(time.Duration(f.RetryAfterSeconds*float64(time.Second)), maxBackoff)
	switch {
	case f.Verdict == fleet.NotRun || f.Reason == fleet.ReasonStillRunning:
		return false, wait
	case r.runOnce:
		w.res.add(&w.res.InDoubt, 1)
		return false, -1
	}
	return false, wait
}

func (w *runner) check(r request, a caller.Answer) bool {
	if string(a.Body) == r.want {
		w.res.answered(r, a)
		return true
	}
	w.res.add(&w.res.Wrong, 1)
	w.cfg.Log.Error("WrongAnswer", "request", string(a.RequestID), "status", a.Status, "bytes", len(a.Body), "want", len(r.want), "body", string(a.Body[:min(len(a.Body), 200)]))
	return false
}

// host returns a host to use, and asks again when the kept answer has lapsed.
func (w *runner) host(ctx context.Context, r request) (caller.Host, error) {
	if now := w.cfg.Clock.Now(); len(w.hosts) == 0 || !now.Before(w.hostsUntil) {
		first := w.gen.rng.IntN(len(w.cfg.Hosts))
		entry := append(append(w.cfg.Hosts[:0:0], w.cfg.Hosts[first:]...), w.cfg.Hosts[:first]...)
		answer, err := caller.AskHosts(ctx, w.cfg.Client, entry, r.Customer, r.Service)
		if err != nil {
			return caller.Host{}, err
		}
		w.hosts = answer.Hosts
		w.hostsUntil = now.Add(time.Duration(answer.ValidSeconds * float64(time.Second)))
	}
	return w.hosts[w.gen.rng.IntN(len(w.hosts))], nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
