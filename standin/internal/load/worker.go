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
	// The backoff between attempts doubles from initialBackoff to maxBackoff. maxBackoff
	// also limits the Retry-After of a failure.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Run sends the load, waits for the last answers and returns the result. With
// Config.FetchRecords the result also holds what the comparison with the records found.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	res := newResult()
	var wg sync.WaitGroup
	workerNumber := 0
	endTime := cfg.Clock.Now().Add(cfg.Duration)
	for _, c := range cfg.Customers {
		for range c.Workers {
			workerNumber++
			w := &worker{cfg: &cfg, gen: newGenerator(&cfg, c, workerNumber), res: res, endTime: endTime}
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.run(ctx)
			}()
		}
	}
	wg.Wait()
	if cfg.FetchRecords == nil {
		return res, nil
	}
	records, err := cfg.FetchRecords()
	if err != nil {
		return res, err
	}
	res.verify(records)
	return res, nil
}

// worker sends requests of a customer one after another.
type worker struct {
	cfg     *Config
	gen     *generator
	res     *Result
	endTime time.Time

	hosts         []caller.Host
	hostsExpireAt time.Time
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil && w.cfg.Clock.Now().Before(w.endTime) {
		r := w.gen.next()
		if w.sendUntilAnswered(ctx, r) && r.runOnce && w.gen.chance(w.cfg.ResendPercent) {
			w.res.addCount(&w.res.Resent, 1)
			w.sendUntilAnswered(ctx, r)
		}
		sleep(ctx, w.cfg.Pause)
	}
}

// sendUntilAnswered sends a request, with retries, and reports whether it got the right
// answer.
func (w *worker) sendUntilAnswered(ctx context.Context, r request) bool {
	w.res.addCount(&w.res.Requests, 1)
	for attempts := 1; ; attempts++ {
		done, wait := w.attempt(ctx, r)
		if done {
			return true
		}
		if wait < 0 || ctx.Err() != nil || attempts == w.cfg.MaxAttempts {
			break
		}
		sleep(ctx, max(wait, min(initialBackoff<<min(attempts-1, 8), maxBackoff)))
	}
	w.res.addCount(&w.res.Unanswered, 1)
	return false
}

// attempt sends a request once. It reports whether the right answer was received, and
// the minimum wait before the next attempt; a negative wait means not to retry.
func (w *worker) attempt(ctx context.Context, r request) (done bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.RequestTimeout)
	defer cancel()
	host, err := w.pickHost(ctx, r)
	if err != nil {
		w.res.addCount(&w.res.NoHosts, 1)
		return false, 0
	}
	answer, err := caller.Send(ctx, w.cfg.Client, host.Address, r.Request)
	w.res.addCount(&w.res.Attempts, 1)
	switch {
	case err != nil && answer.Status != 0:
		w.hosts = nil
		w.res.addCount(&w.res.Cut, 1)
		if strings.HasPrefix(answer.ContentType, "text/event-stream") {
			w.res.addCount(&w.res.CutStreams, 1)
		}
		w.cfg.Log.Warn("Cut", "host", host.Address.String(), "request", string(answer.RequestID), "bytes", len(answer.Body), "error", err.Error())
		return false, 0
	case err != nil:
		w.hosts = nil
		w.res.addCount(&w.res.ConnectionErrors, 1)
		w.cfg.Log.Warn("ConnectionError", "host", host.Address.String(), "error", err.Error())
		return false, 0
	case answer.Failure != nil:
		return w.handleFailure(r, answer)
	}
	return w.checkAnswer(r, answer), -1
}

// handleFailure counts a failure and returns the results of attempt for it. A run-once call
// that may have run is not retried.
func (w *worker) handleFailure(r request, answer caller.Answer) (done bool, wait time.Duration) {
	failure := answer.Failure
	w.res.recordFailure(answer.RequestID, *failure)
	w.cfg.Log.Info("Failure", "request", string(answer.RequestID), "verdict", failure.Verdict.String(), "reason", string(failure.Reason), "detail", failure.Detail)
	wait = min(time.Duration(failure.RetryAfterSeconds*float64(time.Second)), maxBackoff)
	switch {
	case failure.Verdict == fleet.NotRun || failure.Reason == fleet.ReasonStillRunning:
		return false, wait
	case r.runOnce:
		w.res.addCount(&w.res.InDoubt, 1)
		return false, -1
	}
	return false, wait
}

func (w *worker) checkAnswer(r request, answer caller.Answer) bool {
	if string(answer.Body) == r.wantBody {
		w.res.recordAnswer(r, answer)
		return true
	}
	w.res.addCount(&w.res.Wrong, 1)
	w.cfg.Log.Error("WrongAnswer", "request", string(answer.RequestID), "status", answer.Status, "bytes", len(answer.Body), "want", len(r.wantBody), "body", string(answer.Body[:min(len(answer.Body), 200)]))
	return false
}

// pickHost returns a random host to use. It fetches the hosts again once they have
// expired or an attempt has failed on the connection.
func (w *worker) pickHost(ctx context.Context, r request) (caller.Host, error) {
	if now := w.cfg.Clock.Now(); len(w.hosts) == 0 || !now.Before(w.hostsExpireAt) {
		first := w.gen.rng.IntN(len(w.cfg.EntryHosts))
		entry := append(append(w.cfg.EntryHosts[:0:0], w.cfg.EntryHosts[first:]...), w.cfg.EntryHosts[:first]...)
		reply, err := caller.FetchHosts(ctx, w.cfg.Client, entry, r.Customer, r.Service)
		if err != nil {
			return caller.Host{}, err
		}
		w.hosts = reply.Hosts
		w.hostsExpireAt = now.Add(time.Duration(reply.ValidSeconds * float64(time.Second)))
	}
	return w.hosts[w.gen.rng.IntN(len(w.hosts))], nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
