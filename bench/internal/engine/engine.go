// Package engine models a target: a model engine that batches continuously, or a
// plain service. Time is virtual and tokens flow as a fluid, so the model needs
// one event for each first token and each completion only.
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
	// BatchGrowth is the relative growth of UnitInterval from one request to a full batch.
	BatchGrowth float64
	// Prefill is the time to the first token of a prompt that is not cached.
	PrefillTime time.Duration
	// CachedPrefixes is how many prompt prefixes the cache holds; 0 means no cache.
	CachedPrefixes int
	// WarmUp is the busy time after which a started engine bears all its slots.
	WarmUp time.Duration
	// Restart is how long an engine that fell over stays down.
	RestartDelay time.Duration
	// Queue gives the virtual time.
	Queue *virtual.Queue
	// Served is told of each amount of service delivered.
	OnService func(fleet.CustomerName, float64)
}

// Factors of an engine that is given more than it bears.
const (
	// overloadPrefill multiplies the time to the first token.
	overloadPrefillFactor = 4
	// fallFactor times the bearable load, for fallAfter, makes the engine fall over.
	crashLoadFactor = 2
	crashAfter      = 2 * time.Second
	// cachedPrefill divides the time to the first token of a cached prompt.
	cachedPrefillDivisor = 4
)

// Job is one request on an engine.
type Job struct {
	Request  fleet.RequestID
	Customer fleet.CustomerName
	Cost     fleet.Cost
	Prefix   fleet.PrefixHash
	// Crashes makes the job crash the engine at its first token.
	Crashes bool
	// FirstToken is called at the first token with the time since the job began.
	OnFirstToken func(time.Duration)
	// Ended is called once, with the cost spent and whether the job was completed.
	OnEnd func(spent fleet.Cost, completed bool)

	began         time.Time
	prefillLeft   time.Duration
	delivered     float64
	hasFirstToken bool
}

// Spent returns the cost delivered so far.
func (j *Job) Spent() fleet.Cost { return fleet.Cost(j.delivered) }

// Engine is one modelled target.
type Engine struct {
	cfg             Config
	incarnation     fleet.Incarnation
	down            bool
	leaving         bool
	jobs            []*Job
	advancedAt      time.Time
	busyTime        time.Duration
	overloadedSince time.Time
	stepGeneration  uint64
	cachedPrefixes  []fleet.PrefixHash
	sequence        fleet.Sequence

	// Overloads counts admissions above what the engine bears, Falls the times it fell
	// over, Crashes the times a job crashed it, Hits the prompts found in its cache and
	// Admitted all admissions.
	Overloads, OverloadCrashes, JobCrashes, PrefixHits, Admitted int
	// LastStart is when it admitted its newest job.
	LastStart time.Time
}

// New makes an engine. A warm one bears all its slots at once.
func New(cfg Config, warm bool) *Engine {
	e := &Engine{cfg: cfg, incarnation: 1, advancedAt: cfg.Queue.Now()}
	if warm {
		e.busyTime = cfg.WarmUp
	}
	return e
}

// Config returns the configuration of the engine.
func (e *Engine) Config() Config { return e.cfg }

// Up says whether the engine runs.
func (e *Engine) Up() bool { return !e.down }

// Running returns the number of jobs.
func (e *Engine) Running() int { return len(e.jobs) }

// Incarnation returns the number of the engine's current start.
func (e *Engine) Incarnation() fleet.Incarnation { return e.incarnation }

// Leave makes the engine announce that it leaves.
func (e *Engine) Leave() { e.leaving = true }

// TurnCold makes a running engine bear only half its slots until it is warm again.
func (e *Engine) TurnCold() {
	e.Advance()
	e.busyTime = e.cfg.WarmUp / 2
}

// Bearable returns how many jobs the engine bears now.
func (e *Engine) Capacity() int {
	if e.down {
		return 0
	}
	if e.busyTime >= e.cfg.WarmUp {
		return int(e.cfg.Slots)
	}
	return 1 + int(float64(e.cfg.Slots-1)*float64(e.busyTime)/float64(e.cfg.WarmUp))
}

// Admit starts a job. It returns false when all slots are in use or the engine is
// down; the job has not run then.
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

// Cancel ends a job early.
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

// Stop ends the engine and breaks all its jobs.
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

// Start starts a stopped engine anew: cold, with a higher incarnation.
func (e *Engine) Start() {
	e.down, e.leaving = false, false
	e.incarnation++
	e.sequence = 0
	e.busyTime = 0
	e.overloadedSince = time.Time{}
	e.cachedPrefixes = nil
	e.advancedAt = e.cfg.Queue.Now()
}

// Advance delivers the service of the time since the last call.
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

// interval returns the nanoseconds per unit of cost at the present load.
func (e *Engine) unitInterval() float64 {
	load := float64(len(e.jobs))
	interval := float64(e.cfg.UnitInterval) * (1 + e.cfg.BatchGrowth*(load-1)/max(float64(e.cfg.Slots)-1, 1))
	if capacity := float64(e.Capacity()); load > capacity {
		interval *= load / capacity
	}
	return interval
}

// plan schedules the next first token, completion or fall.
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

// planFall returns the time until the engine falls over at the present load.
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

// remember moves a prefix to the front of the cache and says whether it was held.
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

// Leaving says whether the engine announces that it leaves.
func (e *Engine) Leaving() bool { return e.leaving }
