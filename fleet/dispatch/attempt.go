package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// attempt is one run of a request that was granted a slot of its target. It occupies the slot
// until it is known not to run any more.
type attempt struct {
	id     fleet.GrantID
	ticket fleet.Ticket
	// router is the router that runs the attempt; nil after that router restarted and while no
	// router has reported the attempt. inDoubt is set while no router can confirm the attempt.
	router            *router
	routerIncarnation fleet.Incarnation
	target            *target
	targetIncarnation fleet.Incarnation
	customer          *customer
	weight            fleet.Weight
	standing          *standing

	// estimate is the predicted cost, charged what the customer was charged so far, and spent
	// the cost that the router reported so far.
	estimate fleet.Cost
	charged  fleet.Cost
	spent    fleet.Cost

	grantedAt time.Time
	// expires is the latest time at which the router may start the request.
	expires time.Time
	// firstTokenSeen is set once the time to the first token was recorded; streamingSince is
	// when that was, or zero if the first token was slow.
	firstTokenSeen bool
	streamingSince time.Time
	// counted reports whether the attempt counted as a success for the limit of its target.
	counted bool
	inDoubt bool
	// requeue is the ticket to queue again if the attempt turns out not to run: the router
	// reported the ticket as waiting while the grant was in flight.
	requeue *fleet.Ticket
	// clearedBy marks the first announcement whose list of running requests shows whether an
	// attempt in doubt still runs.
	clearedBy watermark
	// doubtDeadline is when an attempt in doubt is taken to have ended, since its request
	// time-out has passed.
	doubtDeadline time.Time
	// suspect is the suspect content that the attempt retries; nil for most attempts.
	suspect *content
	// presumed reports whether the attempt is known only from the target's announcement; no
	// router has reported it.
	presumed bool

	// targetIndex is the position in the target's list of attempts.
	targetIndex int
}

// addAttempt counts an attempt against its target and customer.
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
	a.customer.service.peakAttempts = max(a.customer.service.peakAttempts, a.customer.service.attempts)
	if a.router != nil {
		a.router.attempts[a.id] = a
		a.router.byTicket[a.ticket.ID] = a
	}
}

// removeAttempt frees the slot of an attempt that is known not to run.
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
	r.detachFromRouter(a)
	a.customer.attempts--
	a.customer.service.attempts--
	a.customer.updateIdleSince(r.now)
	r.refresh(t)
}

func (r *Reducer) detachFromRouter(a *attempt) {
	if a.router == nil {
		return
	}
	delete(a.router.attempts, a.id)
	if a.router.byTicket[a.ticket.ID] == a {
		delete(a.router.byTicket, a.ticket.ID)
	}
}

// markInDoubt keeps an attempt counted while its router cannot report on it.
func (r *Reducer) markInDoubt(a *attempt) {
	from := later(r.now, a.expires)
	if a.router != nil {
		// The router may start another request on the slot while its standing grants are
		// valid.
		from = later(from, a.router.heardAt.Add(StandingValidity))
	}
	r.markInDoubtFrom(a, from)
}

// markInDoubtFrom keeps an attempt counted until a list of running requests that the target
// made after from omits it, or until its request time-out has passed since from.
func (r *Reducer) markInDoubtFrom(a *attempt, from time.Time) {
	if a.inDoubt {
		return
	}
	if r.cfg.disabled.doubt {
		r.finish(a, a.spent)
		return
	}
	a.inDoubt = true
	a.doubtDeadline = from.Add(a.customer.service.spec.RequestTimeout)
	a.clearedBy = a.target.watermarkAfter(from)
}

// resolveDoubts ends the attempts in doubt that the target's newest list of running requests
// omits.
func (r *Reducer) resolveDoubts(t *target) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		a := t.attempts[i]
		if !a.inDoubt || a.targetIncarnation != t.last.Incarnation || !t.listReached(a.clearedBy) {
			continue
		}
		if contains(t.last.Running, a.ticket.Request) {
			continue
		}
		r.finishInDoubt(a)
	}
}

// finishInDoubt ends an attempt in doubt that is known not to run any more. Its outcome and
// final cost are unknown, so what was charged is not refunded.
func (r *Reducer) finishInDoubt(a *attempt) {
	requeue, rt := a.requeue, a.router
	r.finish(a, max(a.charged, a.spent))
	if requeue != nil && rt != nil && rt.connected {
		r.acceptTicket(rt, requeue)
	}
}

// expireDoubts ends the attempts in doubt whose doubtDeadline has passed.
func (r *Reducer) expireDoubts(t *target) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := t.attempts[i]; a.inDoubt && r.now.After(a.doubtDeadline) {
			r.finishInDoubt(a)
		}
	}
}

// finish sets the final charge of an attempt and frees its slot.
func (r *Reducer) finish(a *attempt, cost fleet.Cost) {
	r.charge(a, cost)
	r.removeAttempt(a)
}

// applyProgress records the cost of a running attempt so far. The report also shows that the
// attempt is not in doubt.
func (r *Reducer) applyProgress(a *attempt, p *fleet.Progress) {
	a.inDoubt, a.requeue = false, nil
	r.observeFirstToken(a, p.FirstToken)
	a.spent = max(a.spent, p.Spent)
	if r.cfg.Charging == ChargeProgressively {
		r.charge(a, max(a.charged, a.spent))
	}
}

// charge sets what an attempt is charged. A cost above the service's MaxCost is charged in
// full and widens the bound on the gap between customers' counters.
func (r *Reducer) charge(a *attempt, cost fleet.Cost) {
	if a.presumed {
		return
	}
	s := a.customer.service
	if cost > r.maxCost(s) && a.charged <= r.maxCost(s) {
		r.overMaxCost++
		r.emitDecision(a.ticket.Request, a.customer.name, "CostOverMax", "", "")
	}
	s.largestCost = max(s.largestCost, cost)
	a.customer.charge(a, max(cost, 0))
}

// observeFirstToken records the time d to the first token, once for each attempt, and adapts
// the limit of its target.
func (r *Reducer) observeFirstToken(a *attempt, d time.Duration) {
	if r.cfg.disabled.latency || d <= 0 || a.firstTokenSeen || a.targetIncarnation != a.target.last.Incarnation {
		return
	}
	a.firstTokenSeen = true
	if a.router != nil && !a.grantedAt.IsZero() {
		a.router.observeLag(r.now.Sub(a.grantedAt) - d)
	}
	before := a.target.limiter.limit
	s := a.customer.service
	slow := a.target.limiter.recordFirstToken(d, s.firstToken.p90())
	s.firstToken.observe(d, slow)
	if !slow {
		a.streamingSince = r.now
	}
	if a.target.limiter.limit != before {
		r.replicateLimit(a.target)
		r.refresh(a.target)
	}
}

// observeOverdueFirstTokens counts a first token that is long overdue as slow, without
// waiting for it.
func (r *Reducer) observeOverdueFirstTokens(t *target) {
	if t.service == nil || len(t.attempts) == 0 || r.cfg.disabled.latency {
		return
	}
	late := t.limiter.slowAfter(t.service.firstToken.p90())
	if late == 0 {
		return
	}
	for _, a := range t.attempts {
		if a.firstTokenSeen || a.inDoubt || a.router == nil || a.router.lag == 0 || a.grantedAt.IsZero() {
			continue
		}
		if waited := r.now.Sub(a.grantedAt); waited > late+lagFactor*(a.router.lag+minLag) {
			r.observeFirstToken(a, waited)
		}
	}
}

// countStreaming counts the attempts that have streamed for streamingSuccessAfter as
// successes. Otherwise long requests would keep the target's limit low for minutes.
func (r *Reducer) countStreaming(t *target) {
	before := t.limiter.limit
	if before >= t.last.Slots {
		return
	}
	for _, a := range t.attempts {
		if a.counted || a.inDoubt || a.streamingSince.IsZero() || r.now.Sub(a.streamingSince) < streamingSuccessAfter {
			continue
		}
		a.counted = true
		t.limiter.recordSuccess(t.last.Slots)
	}
	if t.limiter.limit != before {
		r.replicateLimit(t)
	}
}

// streamingSuccessAfter is how long a request streams before it counts as a success for the
// limit of its target.
const streamingSuccessAfter = 10 * time.Second

// A first token is overdue once the wait for it exceeds limiter.slowAfter by lagFactor times
// the sum of the router's lag and minLag. lagDecay is the factor applied to the lag at each
// observation below it.
const (
	lagFactor = 2
	minLag    = 10 * time.Millisecond
	lagDecay  = 0.995
)

// observeLag records the time that a grant and the report of a first token were in transit.
func (rt *router) observeLag(d time.Duration) {
	rt.lag = max(d, time.Duration(float64(rt.lag)*lagDecay), 1)
}

// applyEnd applies the reported end of an attempt.
func (r *Reducer) applyEnd(a *attempt, e *fleet.GrantEnd) {
	a.spent = max(a.spent, e.Spent)
	r.emitDecision(a.ticket.Request, a.customer.name, string(e.Outcome), "", string(a.target.id))
	switch e.Outcome {
	case fleet.OutcomeCompleted:
		r.applyCompletion(a, e)
	case fleet.OutcomeUnknown:
		r.markInDoubtFrom(a, r.now)
		return
	case fleet.OutcomeOverloaded, fleet.OutcomeUnreached:
		r.recordTargetFailure(a)
	case fleet.OutcomeBroken:
		r.recordTargetFailure(a)
		r.suspectContent(a, false)
		r.releaseSuspect(a)
		r.markInDoubtFrom(a, r.now)
		return
	}
	r.finish(a, a.spent)
}

func (r *Reducer) applyCompletion(a *attempt, e *fleet.GrantEnd) {
	if a.targetIncarnation == a.target.last.Incarnation {
		r.observeFirstToken(a, e.FirstToken)
		before := a.target.limiter.limit
		a.target.limiter.failures = 0
		if !a.counted {
			a.target.limiter.recordSuccess(a.target.last.Slots)
		}
		if a.target.limiter.limit != before {
			r.replicateLimit(a.target)
		}
	}
	a.customer.estimator.observe(a.ticket.Hint, a.spent)
	a.customer.service.cost.add(float64(a.spent))
	r.clearSuspect(a)
}

// recordTargetFailure lowers the limit of a target that broke off or refused an attempt.
func (r *Reducer) recordTargetFailure(a *attempt) {
	if a.targetIncarnation != a.target.last.Incarnation {
		return
	}
	before := a.target.limiter.limit
	a.target.limiter.recordFailure(r.now)
	if a.target.limiter.limit != before {
		r.replicateLimit(a.target)
	}
	r.refresh(a.target)
}
