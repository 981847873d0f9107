// Package engine executes the requests of a stand-in target. It admits requests up to its
// slots, fewer while it is cold, and retains their answers for a while, so that they can
// be resumed and cancelled by request id.
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

// ColdFailure selects how a cold target fails requests above its ColdSlots.
type ColdFailure string

// Failures of a cold target.
const (
	// ColdOverloaded refuses the request before it starts.
	ColdOverloaded ColdFailure = "Overloaded"
	// ColdError records the request as started and fails it.
	ColdError ColdFailure = "Error"
	// ColdCrash ends the process.
	ColdCrash ColdFailure = "Crash"
)

const (
	// answerRetention is how long the answer of a finished request can be resumed.
	answerRetention = 30 * time.Second
	// unreadTimeout is how long a request keeps running after its last reader was removed.
	unreadTimeout = 10 * time.Second
	// freezePollInterval is how often a frozen request checks whether the fault has ended.
	freezePollInterval = 20 * time.Millisecond
	// maxCachedPrefixes is the capacity of the prefix cache.
	maxCachedPrefixes = 64
	// cachedPrefixSpeedup divides the time to the first token on a hit in the prefix cache.
	cachedPrefixSpeedup = 2
)

// Config configures an Engine.
type Config struct {
	Clock  fleet.Clock
	Record *record.Record
	Faults *fault.Injector
	// Slots limits the concurrent requests.
	Slots fleet.Slots
	// ColdSlots limits the concurrent requests while the target is cold.
	ColdSlots fleet.Slots
	// WarmAfter is the number of completed requests after which the target is warm; 0 means
	// that it starts warm.
	WarmAfter   int
	ColdFailure ColdFailure
	// Crash ends the process; the reason is logged.
	Crash func(reason string)
}

// Admission is the outcome of Engine.Start.
type Admission int

// Outcomes of Engine.Start.
const (
	// Admitted means that the request runs.
	Admitted Admission = iota
	// Overloaded means that the request was refused before it started.
	Overloaded
	// Failed means that the request was started and failed.
	Failed
)

// Job is a request to execute.
type Job struct {
	Run    record.Run
	Answer Answer
	// Prefix is the hash of the prompt's prefix; 0 means none.
	Prefix fleet.PrefixHash
	// FirstPartDelay is the time until the first part of the answer, PartDelay the time
	// between parts.
	FirstPartDelay time.Duration
	PartDelay      time.Duration
	// PartCount is the number of parts of the answer; Part returns part i, from 0.
	PartCount int
	Part      func(i int) string
}

// Engine executes requests. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu         sync.Mutex
	executions map[fleet.RequestID]*Execution
	running    map[*Execution]bool
	// completed counts the requests completed since the start or the last ResetToCold.
	completed int
	// prefixes is the prefix cache, the least recently used first.
	prefixes []fleet.PrefixHash
}

// New returns an engine without requests; it is cold if WarmAfter is above 0.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, executions: map[fleet.RequestID]*Execution{}, running: map[*Execution]bool{}}
}

// Start admits a request and executes it in the background. The Execution is nil unless
// the outcome is Admitted. An error means that the run could not be recorded.
func (e *Engine) Start(job Job) (*Execution, Admission, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= int(e.cfg.Slots) {
		return nil, Overloaded, nil
	}
	if e.cold() && len(e.running) >= int(e.cfg.ColdSlots) {
		return nil, e.rejectCold(job), nil
	}
	runNumber, err := e.cfg.Record.Start(job.Run)
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
	go e.run(ctx, x, runNumber, job)
	return x, Admitted, nil
}

func (e *Engine) cold() bool { return e.completed < e.cfg.WarmAfter }

// rejectCold fails a request in the way that ColdFailure selects. The caller holds e.mu.
func (e *Engine) rejectCold(job Job) Admission {
	switch e.cfg.ColdFailure {
	case ColdCrash:
		_, _ = e.cfg.Record.Start(job.Run)
		e.cfg.Crash("more requests than ColdSlots on a cold target")
	case ColdError:
		_, _ = e.cfg.Record.Start(job.Run)
		return Failed
	}
	return Overloaded
}

// usePrefix reports whether the prefix is in the cache and makes it the most recently used
// one. The caller holds e.mu.
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

func (e *Engine) run(ctx context.Context, x *Execution, runNumber int, job Job) {
	last, err := e.produceAnswer(ctx, x, job)
	// The slot is released before a reader can see the end of the answer, so that a
	// router that has the complete answer can use the slot at once.
	e.releaseSlot(x, err == nil)
	// The error is ignored: checks of the record then see a run without an end.
	_ = e.cfg.Record.End(runNumber, e.cfg.Clock.Now())
	x.finish(last, err)
	e.cfg.Clock.AfterFunc(answerRetention, func() { e.remove(x) })
}

// produceAnswer appends the parts of the answer with their delays, except for the last
// part, which it returns when that is due. It returns ErrCancelled if the request is
// cancelled.
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

// Find returns the running or retained execution of a request, or nil.
func (e *Engine) Find(id fleet.RequestID) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[id]
}

// Cancel cancels the execution of a request, waits for its end and reports whether the
// request was known.
func (e *Engine) Cancel(id fleet.RequestID) bool {
	x := e.Find(id)
	if x == nil {
		return false
	}
	x.cancel()
	<-x.ended
	return true
}

// AddReader registers a reader of an answer and returns the function that removes it. If a
// removal leaves no readers, and there are none unreadTimeout later, the execution is
// cancelled.
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

// ResetToCold puts the target back into its cold state and empties the prefix cache.
func (e *Engine) ResetToCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completed = 0
	e.prefixes = nil
}

// Running returns the sorted ids of the running requests.
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

// Prefixes returns the cached prefix hashes, the least recently used first.
func (e *Engine) Prefixes() []fleet.PrefixHash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]fleet.PrefixHash(nil), e.prefixes...)
}
