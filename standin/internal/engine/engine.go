// Package engine runs the requests of a stand-in target: it admits them up to its
// slots, bears less while it is cold, and keeps their answers for a while so that
// they can be resumed and cancelled by request id.
package engine

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

// ColdFailure is what a cold target does with more requests than it bears.
type ColdFailure string

// The failures of a cold target.
const (
	// ColdOverloaded refuses the request before any work.
	ColdOverloaded ColdFailure = "Overloaded"
	// ColdError fails the request after it started.
	ColdError ColdFailure = "Error"
	// ColdCrash ends the process.
	ColdCrash ColdFailure = "Crash"
)

const (
	// keepEnded is how long the answer of ended work can be resumed.
	keepEnded = 30 * time.Second
	// detachedLimit is how long work without a reader runs on.
	detachedLimit = 10 * time.Second
	// frozenPoll is the time between two looks at whether a freeze has ended.
	frozenPoll = 20 * time.Millisecond
	// cachedPrefixes is the number of prompt prefixes that the cache holds.
	cachedPrefixes = 64
	// cachedFactor is by how much a cached prefix shortens the time to the first token.
	cachedFactor = 2
)

// Config configures an Engine.
type Config struct {
	Clock  fleet.Clock
	Record *record.Record
	Faults *fault.State
	// Slots is the number of requests that run at the same time.
	Slots fleet.Slots
	// ColdSlots is the number that run at the same time while the target is cold.
	ColdSlots fleet.Slots
	// WarmAfter is the number of completed requests that make a cold target warm;
	// 0 means that it is never cold.
	WarmAfter   int
	ColdFailure ColdFailure
	// Crash ends the process.
	Crash func(why string)
}

// Refusal says why a request was not admitted.
type Refusal int

// The refusals.
const (
	// Admitted means that the request runs.
	Admitted Refusal = iota
	// Overloaded means that the request was refused before any work.
	Overloaded
	// Failed means that the request started and failed.
	Failed
)

// Job is a request to run.
type Job struct {
	Run    record.Run
	Answer Answer
	// Prefix is the prompt's prefix; 0 means none.
	Prefix fleet.PrefixHash
	// FirstDelay is the time until the first part of the answer, Delay until each next one.
	FirstDelay time.Duration
	Delay      time.Duration
	// Parts is the number of parts, and Part returns one of them.
	Parts int
	Part  func(i int) string
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu        sync.Mutex
	works     map[fleet.RequestID]*Work
	running   map[*Work]bool
	completed int
	prefixes  []fleet.PrefixHash
}

// New makes an engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, works: map[fleet.RequestID]*Work{}, running: map[*Work]bool{}}
}

// Start admits a request and runs it in the background.
func (e *Engine) Start(j Job) (*Work, Refusal, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= int(e.cfg.Slots) {
		return nil, Overloaded, nil
	}
	if e.cold() && len(e.running) >= int(e.cfg.ColdSlots) {
		return nil, e.failCold(j), nil
	}
	n, err := e.cfg.Record.Start(j.Run)
	if err != nil {
		return nil, Failed, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := newWork(j.Run.RequestID, j.Answer, cancel)
	e.works[w.ID] = w
	e.running[w] = true
	if e.cached(j.Prefix) {
		j.FirstDelay /= cachedFactor
	}
	go e.run(ctx, w, n, j)
	return w, Admitted, nil
}

func (e *Engine) cold() bool { return e.completed < e.cfg.WarmAfter }

// failCold applies the failure of a cold target; the lock is held.
func (e *Engine) failCold(j Job) Refusal {
	switch e.cfg.ColdFailure {
	case ColdCrash:
		_, _ = e.cfg.Record.Start(j.Run)
		e.cfg.Crash("more requests than a cold target bears")
	case ColdError:
		_, _ = e.cfg.Record.Start(j.Run)
		return Failed
	}
	return Overloaded
}

// cached says whether the prefix is in the cache, and puts it there; the lock is held.
func (e *Engine) cached(p fleet.PrefixHash) bool {
	if p == 0 {
		return false
	}
	for i, have := range e.prefixes {
		if have == p {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), p)
			return true
		}
	}
	e.prefixes = append(e.prefixes, p)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *Engine) run(ctx context.Context, w *Work, n int, j Job) {
	last, err := e.produce(ctx, w, j)
	// The slot is free before anyone can know that the answer is whole.
	e.release(w, err == nil)
	// The file is only for checkers; a failed write shows as a run without an end.
	_ = e.cfg.Record.End(n, e.cfg.Clock.Now())
	w.end(last, err)
	e.cfg.Clock.AfterFunc(keepEnded, func() { e.forget(w) })
}

// produce adds all parts of the answer but the last one, which it returns in time.
func (e *Engine) produce(ctx context.Context, w *Work, j Job) (last string, err error) {
	delay := j.FirstDelay
	for i := range j.Parts {
		if err := e.wait(ctx, delay); err != nil {
			return "", err
		}
		for e.cfg.Faults.Is(fault.Freeze) {
			if err := e.wait(ctx, frozenPoll); err != nil {
				return "", err
			}
		}
		last = j.Part(i)
		if i < j.Parts-1 {
			w.add(last)
		}
		delay = j.Delay
	}
	return last, nil
}

func (e *Engine) release(w *Work, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, w)
	if completed {
		e.completed++
	}
}

func (e *Engine) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	done := make(chan struct{})
	t := e.cfg.Clock.AfterFunc(d, func() { close(done) })
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ErrCancelled
	case <-done:
		return nil
	}
}

func (e *Engine) forget(w *Work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.works[w.ID] == w {
		delete(e.works, w.ID)
	}
}

// Find returns the work with the request id, or nil.
func (e *Engine) Find(id fleet.RequestID) *Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.works[id]
}

// Cancel stops the work with the request id and says whether it was known. It
// returns once the work has stopped.
func (e *Engine) Cancel(id fleet.RequestID) bool {
	w := e.Find(id)
	if w == nil {
		return false
	}
	w.cancel()
	<-w.ended
	return true
}

// Attach tells that a reader of the work came, and returns the function that tells
// that it left. Work without readers is cancelled after a while.
func (e *Engine) Attach(w *Work) (detach func()) {
	w.attach(1)
	return func() {
		if w.attach(-1) > 0 {
			return
		}
		e.cfg.Clock.AfterFunc(detachedLimit, func() {
			if w.attach(0) == 0 {
				w.cancel()
			}
		})
	}
}

// TurnCold makes the target cold again.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completed = 0
	e.prefixes = nil
}

// Running returns the ids of the requests that run, in order.
func (e *Engine) Running() []fleet.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]fleet.RequestID, 0, len(e.running))
	for w := range e.running {
		ids = append(ids, w.ID)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Prefixes returns the prompt prefixes in the cache.
func (e *Engine) Prefixes() []fleet.PrefixHash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]fleet.PrefixHash(nil), e.prefixes...)
}
