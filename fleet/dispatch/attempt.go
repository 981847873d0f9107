package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// attempt is a granted attempt of a request that may hold a slot of its target.
type attempt struct {
	id     fleet.GrantID
	ticket fleet.Ticket
	// router is who has it; inDoubt says that this can't be confirmed any more.
	router      *router
	incarnation fleet.Incarnation
	target      *target
	targetInc   fleet.Incarnation
	customer    *customer
	weight      fleet.Weight
	standing    *standing

	estimate fleet.Cost
	charged  fleet.Cost
	spent    fleet.Cost

	grantedAt time.Time
	// expires is the last moment at which the router may start the request.
	expires time.Time
	// firstToken says that the time to the first token was taken in; streamingFrom is
	// when, if it was not slow.
	firstToken    bool
	streamingFrom time.Time
	// counted says that the attempt counts in the round of its target's limit.
	counted bool
	inDoubt bool
	// again is the ticket to queue once the attempt turns out not to run: the router
	// said that it still waits while the grant was on its way.
	again *fleet.Ticket
	// clearedBy is the announcement whose list of running requests tells whether an
	// attempt in doubt still runs.
	clearedBy proof
	// bound is when an attempt in doubt has ended in any case.
	bound time.Time
	// suspect is the content that the attempt tries again; nil for most attempts.
	suspect *content
	// presumed says that only the target's announcement told of the attempt.
	presumed bool

	targetIndex int
}

// addAttempt makes an attempt count against its target and customer.
func (r *Reducer) addAttempt(a *attempt) {
	r.attempts[a.id] = a
	a.targetIndex = len(a.target.attempts)
	a.target.attempts = append(a.target.attempts, a)
	if a.standing == nil {
		a.target.granted++
	} else {
		a.standing.inUse++
	}
	if a.suspect != nil {
		a.target.suspects++
		a.suspect.running = a
	}
	a.customer.attempts++
	a.customer.service.attempts++
	a.customer.service.mostAttempts = max(a.customer.service.mostAttempts, a.customer.service.attempts)
	if a.router != nil {
		a.router.attempts[a.id] = a
		a.router.byTicket[a.ticket.ID] = a
	}
}

// removeAttempt frees the slot of an attempt that surely does not run.
func (r *Reducer) removeAttempt(a *attempt) {
	delete(r.attempts, a.id)
	t := a.target
	last := t.attempts[len(t.attempts)-1]
	t.attempts[a.targetIndex] = last
	last.targetIndex = a.targetIndex
	t.attempts = t.attempts[:len(t.attempts)-1]
	if a.standing == nil {
		t.granted--
	} else {
		a.standing.inUse--
		r.dropStanding(a.standing)
	}
	if a.suspect != nil {
		t.suspects--
		r.releaseSuspect(a)
	}
	r.leaveRouter(a)
	a.customer.attempts--
	a.customer.service.attempts--
	a.customer.noteIdle(r.now)
	r.refresh(t)
}

func (r *Reducer) leaveRouter(a *attempt) {
	if a.router == nil {
		return
	}
	delete(a.router.attempts, a.id)
	if a.router.byTicket[a.ticket.ID] == a {
		delete(a.router.byTicket, a.ticket.ID)
	}
}

// doubt keeps the attempt counted although its router can't tell about it.
func (r *Reducer) doubt(a *attempt) {
	from := later(r.now, a.expires)
	if a.router != nil {
		// It may start another request on the slot for as long as standing grants last.
		from = later(from, a.router.heardAt.Add(StandingValidity))
	}
	r.doubtFrom(a, from)
}

// doubtFrom keeps the attempt counted until a list of the target's running requests that
// was made after from leaves it out.
func (r *Reducer) doubtFrom(a *attempt, from time.Time) {
	if a.inDoubt {
		return
	}
	if r.cfg.off.doubt {
		r.finish(a, a.spent)
		return
	}
	a.inDoubt = true
	a.bound = from.Add(a.customer.service.spec.RequestTimeout)
	a.clearedBy = a.target.proofAfter(from)
}

// clearDoubt ends the attempts in doubt that the target's announcement rules out.
func (r *Reducer) clearDoubt(t *target) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		a := t.attempts[i]
		if !a.inDoubt || a.targetInc != t.last.Incarnation || !t.listProves(a.clearedBy) {
			continue
		}
		if contains(t.last.Running, a.ticket.Request) {
			continue
		}
		r.ruleOut(a)
	}
}

// ruleOut ends an attempt that surely does not run any more. How it ended is not
// known, so what it was charged stands.
func (r *Reducer) ruleOut(a *attempt) {
	again, o := a.again, a.router
	r.finish(a, max(a.charged, a.spent))
	if again != nil && o != nil && o.connected {
		r.receive(o, again)
	}
}

// expireDoubt ends the attempts in doubt whose bound has passed.
func (r *Reducer) expireDoubt(t *target) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := t.attempts[i]; a.inDoubt && r.now.After(a.bound) {
			r.ruleOut(a)
		}
	}
}

// finish settles the charge of an attempt and frees its slot.
func (r *Reducer) finish(a *attempt, cost fleet.Cost) {
	r.charge(a, cost)
	r.removeAttempt(a)
}

// progress takes in the cost of a running attempt so far.
func (r *Reducer) progress(a *attempt, p *fleet.Progress) {
	a.inDoubt, a.again = false, nil
	r.observeFirstToken(a, p.FirstToken)
	a.spent = max(a.spent, p.Spent)
	if r.cfg.Charging == ChargeProgressively {
		r.charge(a, max(a.charged, a.spent))
	}
}

// charge changes what an attempt is charged. A cost beyond the largest allowed one is
// charged in full and widens the bound on the gap.
func (r *Reducer) charge(a *attempt, cost fleet.Cost) {
	if a.presumed {
		return
	}
	s := a.customer.service
	if cost > r.maxCost(s) && a.charged <= r.maxCost(s) {
		r.overMaxCost++
		r.decide(a.ticket.Request, a.customer.name, "CostOverMax", "", "")
	}
	s.largestCost = max(s.largestCost, cost)
	a.customer.charge(a, max(cost, 0))
}

func (r *Reducer) observeFirstToken(a *attempt, d time.Duration) {
	if r.cfg.off.latency || d <= 0 || a.firstToken || a.targetInc != a.target.last.Incarnation {
		return
	}
	a.firstToken = true
	if a.router != nil && !a.grantedAt.IsZero() {
		a.router.observeLag(r.now.Sub(a.grantedAt) - d)
	}
	before := a.target.limiter.limit
	s := a.customer.service
	slow := a.target.limiter.firstToken(d, s.firstToken.usual())
	s.firstToken.observe(d, slow)
	if !slow {
		a.streamingFrom = r.now
	}
	if a.target.limiter.limit != before {
		r.limitChanged(a.target)
		r.refresh(a.target)
	}
}

// observeOverdue takes a first token that is late by far for a slow one, without
// waiting for it.
func (r *Reducer) observeOverdue(t *target) {
	if t.service == nil || len(t.attempts) == 0 || r.cfg.off.latency {
		return
	}
	late := t.limiter.late(t.service.firstToken.usual())
	if late == 0 {
		return
	}
	for _, a := range t.attempts {
		if a.firstToken || a.inDoubt || a.router == nil || a.router.lag == 0 || a.grantedAt.IsZero() {
			continue
		}
		if waited := r.now.Sub(a.grantedAt); waited > late+lagFactor*(a.router.lag+leastLag) {
			r.observeFirstToken(a, waited)
		}
	}
}

// countStreaming counts the attempts that have streamed for long as normal in the round
// of their target's limit, for long requests would keep it low for minutes.
func (r *Reducer) countStreaming(t *target) {
	before := t.limiter.limit
	if before >= t.last.Slots {
		return
	}
	for _, a := range t.attempts {
		if a.counted || a.inDoubt || a.streamingFrom.IsZero() || r.now.Sub(a.streamingFrom) < streamsNormally {
			continue
		}
		a.counted = true
		t.limiter.counted(t.last.Slots)
	}
	if t.limiter.limit != before {
		r.limitChanged(t)
	}
}

// streamsNormally is how long a request streams before it counts like a completed one.
const streamsNormally = 10 * time.Second

// The time that a grant and the report of a first token take may be lagFactor times
// the longest of late, which is taken to be at least leastLag.
const (
	lagFactor = 2
	leastLag  = 10 * time.Millisecond
	lagDecay  = 0.995
)

// observeLag takes in the time that a grant and the report of a first token took.
func (o *router) observeLag(d time.Duration) {
	o.lag = max(d, time.Duration(float64(o.lag)*lagDecay), 1)
}

// ended takes in the end of an attempt.
func (r *Reducer) ended(a *attempt, e *fleet.GrantEnd) {
	a.spent = max(a.spent, e.Spent)
	r.decide(a.ticket.Request, a.customer.name, string(e.Outcome), "", string(a.target.id))
	switch e.Outcome {
	case fleet.OutcomeCompleted:
		r.completed(a, e)
	case fleet.OutcomeUnknown:
		r.doubtFrom(a, r.now)
		return
	case fleet.OutcomeOverloaded, fleet.OutcomeUnreached:
		r.targetFailed(a)
	case fleet.OutcomeBroken:
		r.targetFailed(a)
		r.blame(a, false)
		r.releaseSuspect(a)
		r.doubtFrom(a, r.now)
		return
	}
	r.finish(a, a.spent)
}

func (r *Reducer) completed(a *attempt, e *fleet.GrantEnd) {
	if a.targetInc == a.target.last.Incarnation {
		r.observeFirstToken(a, e.FirstToken)
		before := a.target.limiter.limit
		a.target.limiter.failures = 0
		if !a.counted {
			a.target.limiter.counted(a.target.last.Slots)
		}
		if a.target.limiter.limit != before {
			r.limitChanged(a.target)
		}
	}
	a.customer.estimator.learn(a.ticket.Hint, a.spent)
	a.customer.service.cost.add(float64(a.spent))
	r.clearSuspect(a)
}

// targetFailed lowers the limit of a target that broke or refused an attempt.
func (r *Reducer) targetFailed(a *attempt) {
	if a.targetInc != a.target.last.Incarnation {
		return
	}
	before := a.target.limiter.limit
	a.target.limiter.failed(r.now)
	if a.target.limiter.limit != before {
		r.limitChanged(a.target)
	}
	r.refresh(a.target)
}
