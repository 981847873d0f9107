// Package engine models a target in virtual time: a model engine with continuous batching,
// or a plain service. Tokens are generated as a continuous flow, so the model needs only one
// event for each first token and each completion.
package engine

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Config describes a target.
type Config struct {
	Target     fleet.TargetID
	Service    fleet.ServiceName
	DataCentre fleet.DataCentreName
	Slots      fleet.Slots
	// UnitInterval is the time per unit of cost of a request that runs alone.
	UnitInterval time.Duration
	// BatchGrowth is the relative growth of UnitInterval from one request to a full batch;
	// 1 doubles it.
	BatchGrowth float64
	// PrefillTime is the time to the first token if the prompt prefix is not cached.
	PrefillTime time.Duration
	// CachedPrefixes is the number of prompt prefixes in the cache; 0 means no cache.
	CachedPrefixes int
	// WarmUp is the time with running jobs after which a cold engine has its full capacity.
	WarmUp time.Duration
	// RestartDelay is how long a crashed engine stays down.
	RestartDelay time.Duration
	// Queue is the virtual clock.
	Queue *virtual.Queue
	// OnService is called with each amount of service, in cost, delivered to a customer.
	OnService func(fleet.CustomerName, float64)
}

// Effects of overload and of the prefix cache.
const (
	// overloadPrefillFactor multiplies the prefill time of a job admitted above the capacity.
	overloadPrefillFactor = 4
	// An engine crashes if it has more than crashLoadFactor times its capacity for crashAfter.
	crashLoadFactor = 2
	crashAfter      = 2 * time.Second
	// cachedPrefillDivisor divides the prefill time of a prompt whose prefix is cached.
	cachedPrefillDivisor = 4
)

// Job is one request on an engine.
type Job struct {
	Request  fleet.RequestID
	Customer fleet.CustomerName
	// Cost is the service that completes the job.
	Cost fleet.Cost
	// Prefix identifies the prompt prefix; 0 means none.
	Prefix fleet.PrefixHash
	// Crashes makes the job crash the engine at its first token.
	Crashes bool
	// OnFirstToken is called at the first token with the time since admission.
	OnFirstToken func(time.Duration)
	// OnEnd is called once, with the cost spent and whether the job was completed.
	OnEnd func(spent fleet.Cost, completed bool)

	began         time.Time
	prefillLeft   time.Duration
	delivered     float64
	hasFirstToken bool
}

// Spent returns the service delivered to the job so far, rounded down.
func (j *Job) Spent() fleet.Cost { return fleet.Cost(j.delivered) }

// Engine is one modelled target.
type Engine struct {
	cfg         Config
	incarnation fleet.Incarnation
	down        bool
	leaving     bool
	jobs        []*Job
	// advancedAt is the time up to which service was delivered.
	advancedAt time.Time
	// busyTime is the time with running jobs that counts towards WarmUp, at most WarmUp.
	busyTime time.Duration
	// overloadedSince is when the load first exceeded crashLoadFactor times the capacity;
	// zero if it does not.
	overloadedSince time.Time
	// stepGeneration is the number of the newest scheduled step; older ones are ignored.
	stepGeneration uint64
	// cachedPrefixes lists the cached prefixes, most recently used first.
	cachedPrefixes []fleet.PrefixHash
	sequence       fleet.Sequence

	// Overloads counts admissions above the capacity, OverloadCrashes crashes from overload,
	// JobCrashes crashes that a job caused, PrefixHits admissions with a cached prefix, and
	// Admitted all admissions.
	Overloads, OverloadCrashes, JobCrashes, PrefixHits, Admitted int
	// LastStart is when the engine admitted its newest job.
	LastStart time.Time
}

// New returns a running engine. A warm engine has its full capacity at once.
func New(cfg Config, warm bool) *Engine {
	e := &Engine{cfg: cfg, incarnation: 1, advancedAt: cfg.Queue.Now()}
	if warm {
		e.busyTime = cfg.WarmUp
	}
	return e
}

// Config returns the configuration of the engine.
func (e *Engine) Config() Config { return e.cfg }

// Up reports whether the engine runs.
func (e *Engine) Up() bool { return !e.down }

// Running returns the number of running jobs.
func (e *Engine) Running() int { return len(e.jobs) }

// Incarnation returns the incarnation of the engine; each start increments it.
func (e *Engine) Incarnation() fleet.Incarnation { return e.incarnation }

// Leave makes the engine announce the state TargetLeaving. Its jobs continue.
func (e *Engine) Leave() { e.leaving = true }

// TurnCold reduces the capacity of a running engine to about half, without a restart, until
// it is warm again.
func (e *Engine) TurnCold() {
	e.Advance()
	e.busyTime = e.cfg.WarmUp / 2
}

// Capacity returns the number of jobs that the engine can run without overload. It grows
// from 1 to all slots while the engine warms up, and is 0 while the engine is down.
func (e *Engine) Capacity() int {
	if e.down {
		return 0
	}
	if e.busyTime >= e.cfg.WarmUp {
		return int(e.cfg.Slots)
	}
	return 1 + int(float64(e.cfg.Slots-1)*float64(e.busyTime)/float64(e.cfg.WarmUp))
}

// Admit starts a job. It returns false, without starting the job, if all slots are in use or
// the engine is down.
func (e *Engine) Admit(j *Job) bool {
	e.Advance()
	if e.down || len(e.jobs) >= int(e.cfg.Slots) {
		return false
	}
	j.began = e.cfg.Queue.Now()
	j.prefillLeft = e.cfg.PrefillTime
	if e.cachePrefix(j.Prefix) {
		j.prefillLeft /= cachedPrefillDivisor
		e.PrefixHits++
	}
	e.jobs = append(e.jobs, j)
	e.Admitted++
	e.LastStart = j.began
	if len(e.jobs) > e.Capacity() {
		e.Overloads++
		j.prefillLeft = e.cfg.PrefillTime * overloadPrefillFactor
	}
	e.scheduleStep()
	return true
}

// Cancel ends the job of a request, if it runs, as not completed.
func (e *Engine) Cancel(id fleet.RequestID) {
	e.Advance()
	for _, j := range e.jobs {
		if j.Request == id {
			e.remove(j)
			j.OnEnd(j.Spent(), false)
			e.scheduleStep()
			return
		}
	}
}

// Stop stops the engine and ends all its jobs as not completed.
func (e *Engine) Stop() {
	e.Advance()
	e.down = true
	e.stepGeneration++
	broken := e.jobs
	e.jobs = nil
	for _, j := range broken {
		j.OnEnd(j.Spent(), false)
	}
}

// Start starts a stopped engine with a new incarnation, cold and with an empty cache.
func (e *Engine) Start() {
	e.down, e.leaving = false, false
	e.incarnation++
	e.sequence = 0
	e.busyTime = 0
	e.overloadedSince = time.Time{}
	e.cachedPrefixes = nil
	e.advancedAt = e.cfg.Queue.Now()
}

// Advance delivers the service for the time since the last call.
func (e *Engine) Advance() {
	now := e.cfg.Queue.Now()
	elapsed := now.Sub(e.advancedAt)
	e.advancedAt = now
	if e.down || elapsed <= 0 || len(e.jobs) == 0 {
		return
	}
	interval := e.unitInterval()
	e.busyTime = min(e.busyTime+elapsed, e.cfg.WarmUp)
	for _, j := range e.jobs {
		prefill := min(j.prefillLeft, elapsed)
		j.prefillLeft -= prefill
		amount := min(float64(elapsed-prefill)/interval, float64(j.Cost)-j.delivered)
		j.delivered += amount
		e.cfg.OnService(j.Customer, amount)
	}
}

// unitInterval returns the nanoseconds per unit of cost at the current load.
func (e *Engine) unitInterval() float64 {
	load := float64(len(e.jobs))
	interval := float64(e.cfg.UnitInterval) * (1 + e.cfg.BatchGrowth*(load-1)/max(float64(e.cfg.Slots)-1, 1))
	if capacity := float64(e.Capacity()); load > capacity {
		interval *= load / capacity
	}
	return interval
}

// scheduleStep schedules the next first token, completion or crash from overload.
func (e *Engine) scheduleStep() {
	e.stepGeneration++
	if e.down || len(e.jobs) == 0 {
		e.overloadedSince = time.Time{}
		return
	}
	interval := e.unitInterval()
	next := time.Duration(1<<62 - 1)
	for _, j := range e.jobs {
		if !j.hasFirstToken {
			next = min(next, j.prefillLeft)
		}
		next = min(next, j.prefillLeft+time.Duration((float64(j.Cost)-j.delivered)*interval)+1)
	}
	next = min(next, e.timeToOverloadCrash())
	generation := e.stepGeneration
	e.cfg.Queue.After(next, func() {
		if generation == e.stepGeneration {
			e.step()
		}
	})
}

// timeToOverloadCrash returns the time until the engine crashes at the current load, or a
// practically infinite time if that load causes no crash.
func (e *Engine) timeToOverloadCrash() time.Duration {
	now := e.cfg.Queue.Now()
	if len(e.jobs) <= crashLoadFactor*e.Capacity() {
		e.overloadedSince = time.Time{}
		return 1<<62 - 1
	}
	if e.overloadedSince.IsZero() {
		e.overloadedSince = now
	}
	return e.overloadedSince.Add(crashAfter).Sub(now)
}

// step handles the first tokens, completions and crashes that are due.
func (e *Engine) step() {
	e.Advance()
	now := e.cfg.Queue.Now()
	if !e.overloadedSince.IsZero() && len(e.jobs) > crashLoadFactor*e.Capacity() && now.Sub(e.overloadedSince) >= crashAfter {
		e.crashFromOverload()
		return
	}
	for _, j := range append([]*Job(nil), e.jobs...) {
		if !j.hasFirstToken && j.prefillLeft <= 0 {
			j.hasFirstToken = true
			if j.Crashes {
				e.JobCrashes++
				e.restart()
				return
			}
			j.OnFirstToken(now.Sub(j.began))
		}
		if j.delivered >= float64(j.Cost)-1e-6 {
			e.remove(j)
			j.OnEnd(j.Cost, true)
		}
	}
	e.scheduleStep()
}

func (e *Engine) crashFromOverload() {
	e.OverloadCrashes++
	e.restart()
}

func (e *Engine) restart() {
	e.Stop()
	e.cfg.Queue.After(e.cfg.RestartDelay, e.Start)
}

func (e *Engine) remove(j *Job) {
	for i := range e.jobs {
		if e.jobs[i] == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return
		}
	}
}

// cachePrefix makes a prefix the most recently used one in the cache and reports whether it
// was cached before.
func (e *Engine) cachePrefix(prefix fleet.PrefixHash) bool {
	if prefix == 0 || e.cfg.CachedPrefixes == 0 {
		return false
	}
	for i, cached := range e.cachedPrefixes {
		if cached == prefix {
			copy(e.cachedPrefixes[1:i+1], e.cachedPrefixes[:i])
			e.cachedPrefixes[0] = prefix
			return true
		}
	}
	e.cachedPrefixes = append([]fleet.PrefixHash{prefix}, e.cachedPrefixes...)
	if len(e.cachedPrefixes) > e.cfg.CachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[:e.cfg.CachedPrefixes]
	}
	return false
}

// Leaving reports whether Leave was called since the last start.
func (e *Engine) Leaving() bool { return e.leaving }
