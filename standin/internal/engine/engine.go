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
	answerRetention = 30 * time.Second
	// detachedLimit is how long work without a reader runs on.
	unreadTimeout = 10 * time.Second
	// frozenPoll is the time between two looks at whether a freeze has ended.
	freezePollInterval = 20 * time.Millisecond
	// cachedPrefixes is the number of prompt prefixes that the cache holds.
	maxCachedPrefixes = 64
	// cachedFactor is by how much a cached prefix shortens the time to the first token.
	cachedPrefixSpeedup = 2
)

// Config configures an Engine.
type Config struct {
	Clock  fleet.Clock
	Record *record.Record
	Faults *fault.Injector
	// Slots is the number of requests that run at the same time.
	Slots fleet.Slots
	// ColdSlots is the number that run at the same time while the target is cold.
	ColdSlots fleet.Slots
	// WarmAfter is the number of completed requests that make a cold target warm;
	// 0 means that it is never cold.
	WarmAfter   int
	ColdFailure ColdFailure
	// Crash ends the process.
	Crash func(reason string)
}

// Refusal says why a request was not admitted.
type Admission int

// The refusals.
const (
	// Admitted means that the request runs.
	Admitted Admission = iota
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
	FirstPartDelay time.Duration
	PartDelay      time.Duration
	// Parts is the number of parts, and Part returns one of them.
	PartCount int
	Part      func(i int) string
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu         sync.Mutex
	executions map[fleet.RequestID]*Execution
	running    map[*Execution]bool
	completed  int
	prefixes   []fleet.PrefixHash
}

// New makes an engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, executions: map[fleet.RequestID]*Execution{}, running: map[*Execution]bool{}}
}

// Start admits a request and runs it in the background.
func (e *Engine) Start(job Job) (*Execution, Admission, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= int(e.cfg.Slots) {
		return nil, Overloaded, nil
	}
	if e.cold() && len(e.running) >= int(e.cfg.ColdSlots) {
		return nil, e.rejectCold(job), nil
	}
	run, err := e.cfg.Record.Start(job.Run)
	if err != nil {
		return nil, Failed, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := newExecution(job.Run.RequestID, job.Answer, cancel)
	e.executions[x.ID] = x
	e.running[x] = true
	if e.usePrefix(job.Prefix) {
		job.FirstPartDelay /= cachedPrefixSpeedup
	}
	go e.run(ctx, x, run, job)
	return x, Admitted, nil
}

func (e *Engine) cold() bool { return e.completed < e.cfg.WarmAfter }

// failCold applies the failure of a cold target; the lock is held.
func (e *Engine) rejectCold(job Job) Admission {
	switch e.cfg.ColdFailure {
	case ColdCrash:
		_, _ = e.cfg.Record.Start(job.Run)
		e.cfg.Crash("more requests than a cold target bears")
	case ColdError:
		_, _ = e.cfg.Record.Start(job.Run)
		return Failed
	}
	return Overloaded
}

// cached says whether the prefix is in the cache, and puts it there; the lock is held.
func (e *Engine) usePrefix(prefix fleet.PrefixHash) bool {
	if prefix == 0 {
		return false
	}
	for i, cached := range e.prefixes {
		if cached == prefix {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), prefix)
			return true
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxCachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *Engine) run(ctx context.Context, x *Execution, run int, job Job) {
	last, err := e.produceAnswer(ctx, x, job)
	// The slot is free before anyone can know that the answer is whole.
	e.releaseSlot(x, err == nil)
	// The file is only for checkers; a failed write shows as a run without an end.
	_ = e.cfg.Record.End(run, e.cfg.Clock.Now())
	x.finish(last, err)
	e.cfg.Clock.AfterFunc(answerRetention, func() { e.remove(x) })
}

// produce adds all parts of the answer but the last one, which it returns in time.
func (e *Engine) produceAnswer(ctx context.Context, x *Execution, job Job) (last string, err error) {
	delay := job.FirstPartDelay
	for i := range job.PartCount {
		if err := e.sleep(ctx, delay); err != nil {
			return "", err
		}
		for e.cfg.Faults.Active(fault.Freeze) {
			if err := e.sleep(ctx, freezePollInterval); err != nil {
				return "", err
			}
		}
		last = job.Part(i)
		if i < job.PartCount-1 {
			x.appendPart(last)
		}
		delay = job.PartDelay
	}
	return last, nil
}

func (e *Engine) releaseSlot(x *Execution, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, x)
	if completed {
		e.completed++
	}
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	done := make(chan struct{})
	timer := e.cfg.Clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ErrCancelled
	case <-done:
		return nil
	}
}

func (e *Engine) remove(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.executions[x.ID] == x {
		delete(e.executions, x.ID)
	}
}

// Find returns the work with the request id, or nil.
func (e *Engine) Find(id fleet.RequestID) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[id]
}

// Cancel stops the work with the request id and says whether it was known. It
// returns once the work has stopped.
func (e *Engine) Cancel(id fleet.RequestID) bool {
	x := e.Find(id)
	if x == nil {
		return false
	}
	x.cancel()
	<-x.ended
	return true
}

// Attach tells that a reader of the work came, and returns the function that tells
// that it left. Work without readers is cancelled after a while.
func (e *Engine) AddReader(x *Execution) (removeReader func()) {
	x.addReaders(1)
	return func() {
		if x.addReaders(-1) > 0 {
			return
		}
		e.cfg.Clock.AfterFunc(unreadTimeout, func() {
			if x.addReaders(0) == 0 {
				x.cancel()
			}
		})
	}
}

// TurnCold makes the target cold again.
func (e *Engine) ResetToCold() {
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
	for x := range e.running {
		ids = append(ids, x.ID)
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
