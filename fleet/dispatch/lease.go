package dispatch

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// phase is how far a dispatcher is with its lease.
type phase int

const (
	// passive means without a lease: reports are taken in, nothing is sent.
	passive phase = iota
	// settling means that a new lease holder asks the routers what they have.
	settling
	// active means that tickets are granted.
	active
)

// recentlyHeard is how long a new lease holder waits for a router that it heard of
// before, within the time in which a predecessor's grants lapse.
const recentlyHeard = 10 * time.Second

// lease is the lease that the dispatcher holds.
type lease struct {
	epoch fleet.Epoch
	until time.Time
	since time.Time
	// settleBy is when grants of a predecessor have lapsed at every router.
	settleBy time.Time
}

// leaseHeld takes a renewal, or takes over under a new epoch.
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

// takeOver forgets what rests on an earlier lease and asks every router what it has.
func (r *Reducer) takeOver(predecessor bool) {
	r.phase = settling
	r.lease.settleBy = r.now
	if predecessor {
		r.lease.settleBy = r.now.Add(GrantValidity)
	}
	for _, o := range r.routerList {
		o.settled = false
		if o.connected {
			o.resyncAt = r.now
			r.post(o).resync = true
		}
	}
	if predecessor {
		for _, t := range r.targetList {
			t.limiter.retained, t.limiter.revision = 0, 0
			r.presumeRunning(t)
		}
	}
	r.settle()
}

// settle starts to grant once every connected router has reported what it has, or
// once no grant of a predecessor can be used any more.
func (r *Reducer) settle() {
	if r.phase != settling {
		return
	}
	if r.now.Before(r.lease.settleBy) && !r.allSettled() {
		return
	}
	r.phase = active
	for _, c := range r.sortedContents() {
		r.remember(c)
	}
	if r.allSettled() {
		r.shortenPresumed()
	}
	for _, s := range r.serviceList {
		r.restoreCounters(s)
	}
	if r.lease.settleBy.After(r.lease.since) {
		r.presumeLimits()
	}
}

// shortenPresumed lets the next announcements clear what no router claimed, once all
// routers have told what they have.
func (r *Reducer) shortenPresumed() {
	for _, t := range r.targetList {
		for _, a := range t.attempts {
			if a.presumed {
				a.clearedBy = t.proofAfter(r.now)
			}
		}
	}
}

// presumeLimits gives every target the limit that routers remember, or the number of
// requests that it bears now.
func (r *Reducer) presumeLimits() {
	for _, t := range r.targetList {
		limit := t.limiter.retained
		if limit == 0 {
			limit = fleet.Slots(len(t.attempts))
		}
		if !r.cfg.off.slowStart {
			t.limiter.limit = max(1, limit)
		}
		r.refresh(t)
	}
}

func (r *Reducer) allSettled() bool {
	known := false
	for _, o := range r.routerList {
		if !o.settled && r.now.Sub(o.heardAt) < recentlyHeard && !r.cfg.off.settling {
			return false
		}
		known = known || o.settled
	}
	return known
}

// presumeRunning counts the requests that a target announced as running and that no
// router has claimed; they stay in doubt until a router or the target clears them.
func (r *Reducer) presumeRunning(t *target) {
	if r.cfg.off.settling || t.service == nil {
		return
	}
	for _, id := range t.last.Running {
		if t.runs(id) {
			continue
		}
		r.nextGrant++
		a := &attempt{
			id:       fleet.GrantID(fmt.Sprintf("%d-p%d", r.lease.epoch, r.nextGrant)),
			ticket:   fleet.Ticket{Request: id, Service: t.service.name},
			target:   t,
			customer: t.service.presumed, weight: 1, targetInc: t.last.Incarnation, expires: r.now.Add(StandingValidity), presumed: true,
		}
		r.addAttempt(a)
		r.doubt(a)
	}
	r.refresh(t)
}

// runs says whether an attempt of the request counts on the target.
func (t *target) runs(id fleet.RequestID) bool {
	for _, a := range t.attempts {
		if a.ticket.Request == id {
			return true
		}
	}
	return false
}

// replacePresumed drops the presumed attempt of a request that a router now claims.
func (r *Reducer) replacePresumed(t *target, id fleet.RequestID) {
	for _, a := range t.attempts {
		if a.presumed && a.ticket.Request == id {
			r.removeAttempt(a)
			return
		}
	}
}
