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
	Prefill time.Duration
	// CachedPrefixes is how many prompt prefixes the cache holds; 0 means no cache.
	CachedPrefixes int
	// WarmUp is the busy time after which a started engine bears all its slots.
	WarmUp time.Duration
	// Restart is how long an engine that fell over stays down.
	Restart time.Duration
	// Queue gives the virtual time.
	Queue *virtual.Queue
	// Served is told of each amount of service delivered.
	Served func(fleet.CustomerName, float64)
}

// Factors of an engine that is given more than it bears.
const (
	// overloadPrefill multiplies the time to the first token.
	overloadPrefill = 4
	// fallFactor times the bearable load, for fallAfter, makes the engine fall over.
	fallFactor = 2
	fallAfter  = 2 * time.Second
	// cachedPrefill divides the time to the first token of a cached prompt.
	cachedPrefill = 4
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
	FirstToken func(time.Duration)
	// Ended is called once, with the cost spent and whether the job was completed.
	Ended func(spent fleet.Cost, completed bool)

	began   time.Time
	prefill time.Duration
	done    float64
	started bool
}

// Spent returns the cost delivered so far.
func (j *Job) Spent() fleet.Cost { return fleet.Cost(j.done) }

// Engine is one modelled target.
type Engine struct {
	cfg         Config
	incarnation fleet.Incarnation
	down        bool
	leaving     bool
	jobs        []*Job
	last        time.Time
	busy        time.Duration
	overSince   time.Time
	wake        uint64
	cache       []fleet.PrefixHash
	sequence    fleet.Sequence

	// Overloads counts admissions above what the engine bears, Falls the times it fell
	// over, Crashes the times a job crashed it, Hits the prompts found in its cache and
	// Admitted all admissions.
	Overloads, Falls, Crashes, Hits, Admitted int
	// LastStart is when it admitted its newest job.
	LastStart time.Time
}

// New makes an engine. A warm one bears all its slots at once.
func New(cfg Config, warm bool) *Engine {
	e := &Engine{cfg: cfg, incarnation: 1, last: cfg.Queue.Now()}
	if warm {
		e.busy = cfg.WarmUp
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
	e.busy = e.cfg.WarmUp / 2
}

// Bearable returns how many jobs the engine bears now.
func (e *Engine) Bearable() int {
	if e.down {
		return 0
	}
	if e.busy >= e.cfg.WarmUp {
		return int(e.cfg.Slots)
	}
	return 1 + int(float64(e.cfg.Slots-1)*float64(e.busy)/float64(e.cfg.WarmUp))
}

// Admit starts a job. It returns false when all slots are in use or the engine is
// down; the job has not run then.
func (e *Engine) Admit(j *Job) bool {
	e.Advance()
	if e.down || len(e.jobs) >= int(e.cfg.Slots) {
		return false
	}
	j.began = e.cfg.Queue.Now()
	j.prefill = e.cfg.Prefill
	if e.remember(j.Prefix) {
		j.prefill /= cachedPrefill
		e.Hits++
	}
	e.jobs = append(e.jobs, j)
	e.Admitted++
	e.LastStart = j.began
	if len(e.jobs) > e.Bearable() {
		e.Overloads++
		j.prefill = e.cfg.Prefill * overloadPrefill
	}
	e.plan()
	return true
}

// Cancel ends a job early.
func (e *Engine) Cancel(id fleet.RequestID) {
	e.Advance()
	for _, j := range e.jobs {
		if j.Request == id {
			e.remove(j)
			j.Ended(j.Spent(), false)
			e.plan()
			return
		}
	}
}

// Stop ends the engine and breaks all its jobs.
func (e *Engine) Stop() {
	e.Advance()
	e.down = true
	e.wake++
	broken := e.jobs
	e.jobs = nil
	for _, j := range broken {
		j.Ended(j.Spent(), false)
	}
}

// Start starts a stopped engine anew: cold, with a higher incarnation.
func (e *Engine) Start() {
	e.down, e.leaving = false, false
	e.incarnation++
	e.sequence = 0
	e.busy = 0
	e.overSince = time.Time{}
	e.cache = nil
	e.last = e.cfg.Queue.Now()
}

// Advance delivers the service of the time since the last call.
func (e *Engine) Advance() {
	now := e.cfg.Queue.Now()
	dt := now.Sub(e.last)
	e.last = now
	if e.down || dt <= 0 || len(e.jobs) == 0 {
		return
	}
	interval := e.interval()
	e.busy = min(e.busy+dt, e.cfg.WarmUp)
	for _, j := range e.jobs {
		used := min(j.prefill, dt)
		j.prefill -= used
		amount := min(float64(dt-used)/interval, float64(j.Cost)-j.done)
		j.done += amount
		e.cfg.Served(j.Customer, amount)
	}
}

// interval returns the nanoseconds per unit of cost at the present load.
func (e *Engine) interval() float64 {
	n := float64(len(e.jobs))
	interval := float64(e.cfg.UnitInterval) * (1 + e.cfg.BatchGrowth*(n-1)/max(float64(e.cfg.Slots)-1, 1))
	if b := float64(e.Bearable()); n > b {
		interval *= n / b
	}
	return interval
}

// plan schedules the next first token, completion or fall.
func (e *Engine) plan() {
	e.wake++
	if e.down || len(e.jobs) == 0 {
		e.overSince = time.Time{}
		return
	}
	interval := e.interval()
	next := time.Duration(1<<62 - 1)
	for _, j := range e.jobs {
		if !j.started {
			next = min(next, j.prefill)
		}
		next = min(next, j.prefill+time.Duration((float64(j.Cost)-j.done)*interval)+1)
	}
	next = min(next, e.planFall())
	wake := e.wake
	e.cfg.Queue.After(next, func() {
		if wake == e.wake {
			e.step()
		}
	})
}

// planFall returns the time until the engine falls over at the present load.
func (e *Engine) planFall() time.Duration {
	now := e.cfg.Queue.Now()
	if len(e.jobs) <= fallFactor*e.Bearable() {
		e.overSince = time.Time{}
		return 1<<62 - 1
	}
	if e.overSince.IsZero() {
		e.overSince = now
	}
	return e.overSince.Add(fallAfter).Sub(now)
}

func (e *Engine) step() {
	e.Advance()
	now := e.cfg.Queue.Now()
	if !e.overSince.IsZero() && len(e.jobs) > fallFactor*e.Bearable() && now.Sub(e.overSince) >= fallAfter {
		e.fall()
		return
	}
	for _, j := range append([]*Job(nil), e.jobs...) {
		if !j.started && j.prefill <= 0 {
			j.started = true
			if j.Crashes {
				e.Crashes++
				e.restart()
				return
			}
			j.FirstToken(now.Sub(j.began))
		}
		if j.done >= float64(j.Cost)-1e-6 {
			e.remove(j)
			j.Ended(j.Cost, true)
		}
	}
	e.plan()
}

func (e *Engine) fall() {
	e.Falls++
	e.restart()
}

func (e *Engine) restart() {
	e.Stop()
	e.cfg.Queue.After(e.cfg.Restart, e.Start)
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
func (e *Engine) remember(p fleet.PrefixHash) bool {
	if p == 0 || e.cfg.CachedPrefixes == 0 {
		return false
	}
	for i, held := range e.cache {
		if held == p {
			copy(e.cache[1:i+1], e.cache[:i])
			e.cache[0] = p
			return true
		}
	}
	e.cache = append([]fleet.PrefixHash{p}, e.cache...)
	if len(e.cache) > e.cfg.CachedPrefixes {
		e.cache = e.cache[:e.cfg.CachedPrefixes]
	}
	return false
}

// Leaving says whether the engine announces that it leaves.
func (e *Engine) Leaving() bool { return e.leaving }
