package dispatch

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// phase is the state of a dispatcher with regard to its lease.
type phase int

const (
	// passive: the dispatcher holds no lease. Reports are applied and nothing is sent.
	passive phase = iota
	// reconciling: a new lease holder asks the routers for full reports.
	reconciling
	// active: tickets are granted.
	active
)

// recentRouterWindow is how recently a router must have reported for a new lease holder to
// wait for its full report. It waits no longer than until its predecessor's grants have
// expired.
const recentRouterWindow = 10 * time.Second

// lease is the newest lease that the dispatcher held.
type lease struct {
	epoch fleet.Epoch
	// since is when the take-over began, until when the lease ends unless it is renewed.
	until time.Time
	since time.Time
	// reconcileBy is when the predecessor's grants have expired at every router.
	reconcileBy time.Time
}

// leaseHeld renews the lease. Under a higher epoch, or after the lease was lost, it takes
// over.
func (r *Reducer) leaseHeld(e LeaseHeld) {
	if e.Epoch < r.lease.epoch {
		return
	}
	if e.Epoch == r.lease.epoch && r.phase != passive {
		r.lease.until = e.NotAfter
		return
	}
	r.lease = lease{epoch: e.Epoch, until: e.NotAfter, since: r.now}
	r.takeOver(e.Predecessor)
}

// takeOver requests a full report from every router. After a predecessor it also discards
// retained limits and counts the requests that the targets announced as running.
func (r *Reducer) takeOver(predecessor bool) {
	r.phase = reconciling
	r.lease.reconcileBy = r.now
	if predecessor {
		r.lease.reconcileBy = r.now.Add(GrantValidity)
	}
	for _, rt := range r.routerList {
		rt.reconciled = false
		if rt.connected {
			rt.resyncRequestedAt = r.now
			r.outboxOf(rt).resync = true
		}
	}
	if predecessor {
		for _, t := range r.targetList {
			t.limiter.retained, t.limiter.revision = 0, 0
			r.presumeRunning(t)
		}
	}
	r.finishReconciling()
}

// finishReconciling starts to grant once every recently heard router has sent a full report,
// or once the predecessor's grants have expired.
func (r *Reducer) finishReconciling() {
	if r.phase != reconciling {
		return
	}
	if r.now.Before(r.lease.reconcileBy) && !r.allReconciled() {
		return
	}
	r.phase = active
	for _, c := range r.sortedContents() {
		r.replicateContent(c)
	}
	if r.allReconciled() {
		r.shortenPresumedDoubts()
	}
	for _, s := range r.serviceList {
		r.restoreCounters(s)
	}
	if r.lease.reconcileBy.After(r.lease.since) {
		r.restoreLimits()
	}
}

// shortenPresumedDoubts lets the targets' next announcements end presumed attempts, once all
// routers have reported what they run.
func (r *Reducer) shortenPresumedDoubts() {
	for _, t := range r.targetList {
		for _, a := range t.attempts {
			if a.presumed {
				a.clearedBy = t.watermarkAfter(r.now)
			}
		}
	}
}

// restoreLimits sets the limit of every target to the one that routers retained or, without
// one, to the number of attempts that it has now.
func (r *Reducer) restoreLimits() {
	for _, t := range r.targetList {
		limit := t.limiter.retained
		if limit == 0 {
			limit = fleet.Slots(len(t.attempts))
		}
		if !r.cfg.disabled.slowStart {
			t.limiter.limit = max(1, limit)
		}
		r.refresh(t)
	}
}

// allReconciled reports whether at least one router, and every recently heard one, has sent a
// full report under this lease.
func (r *Reducer) allReconciled() bool {
	known := false
	for _, rt := range r.routerList {
		if !rt.reconciled && r.now.Sub(rt.heardAt) < recentRouterWindow && !r.cfg.disabled.reconciling {
			return false
		}
		known = known || rt.reconciled
	}
	return known
}

// presumeRunning adds attempts for the requests that a target announced as running and that no
// router has reported. They are in doubt until a router reports them or the target's
// announcements omit them.
func (r *Reducer) presumeRunning(t *target) {
	if r.cfg.disabled.reconciling || t.service == nil {
		return
	}
	for _, id := range t.last.Running {
		if t.hasAttempt(id) {
			continue
		}
		r.nextGrant++
		a := &attempt{
			id:       fleet.GrantID(fmt.Sprintf("%d-p%d", r.lease.epoch, r.nextGrant)),
			ticket:   fleet.Ticket{Request: id, Service: t.service.name},
			target:   t,
			customer: t.service.presumed, weight: 1, targetIncarnation: t.last.Incarnation, expires: r.now.Add(StandingValidity), presumed: true,
		}
		r.addAttempt(a)
		r.markInDoubt(a)
	}
	r.refresh(t)
}

// hasAttempt reports whether the target has an attempt of the request.
func (t *target) hasAttempt(id fleet.RequestID) bool {
	for _, a := range t.attempts {
		if a.ticket.Request == id {
			return true
		}
	}
	return false
}

// replacePresumed removes the presumed attempt of a request that a router now reports.
func (r *Reducer) replacePresumed(t *target, id fleet.RequestID) {
	for _, a := range t.attempts {
		if a.presumed && a.ticket.Request == id {
			r.removeAttempt(a)
			return
		}
	}
}
