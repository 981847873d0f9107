package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// standingGrant is a standing grant and the number of its slots in use.
type standingGrant struct {
	fleet.StandingGrant
	epoch      fleet.Epoch
	validUntil time.Time
	inUse      fleet.Slots
}

// setStandingGrants replaces the standing grants by those of a message. Their validity counts
// from reportSentAt, when the report that the message acknowledges was sent.
func (r *router) setStandingGrants(message *fleet.DispatcherGrants, reportSentAt time.Time) {
	validUntil := reportSentAt.Add(fleet.ShortenLease(message.Validity))
	r.standingGrants = r.standingGrants[:0]
	for _, granted := range message.Standing {
		grant := standingGrant{StandingGrant: granted, epoch: message.Epoch, validUntil: validUntil}
		for _, a := range r.running {
			if a.standingGrant == granted.ID {
				grant.inUse++
			}
		}
		r.standingGrants = append(r.standingGrants, grant)
	}
}

// useStandingGrants starts waiting requests on standing grants if no message of the active
// dispatcher has arrived for DispatcherTimeout.
func (r *router) useStandingGrants() {
	now := r.sim.queue.Now()
	for _, l := range r.links {
		if l.epoch == r.newestEpoch() && now.Sub(l.lastHeard) < routing.DispatcherTimeout {
			return
		}
	}
	for i := range r.standingGrants {
		grant := &r.standingGrants[i]
		for grant.inUse < grant.Slots && now.Before(grant.validUntil) {
			req := r.oldestWaiting(grant.Service)
			if req == nil {
				break
			}
			r.startOnStandingGrant(grant, req)
		}
	}
}

func (r *router) startOnStandingGrant(grant *standingGrant, req *request) {
	grant.inUse++
	r.standingStarts++
	a := &attempt{
		grant: fleet.GrantID(fmt.Sprintf("%s/%s/%d", grant.ID, r.id, r.standingStarts)), epoch: grant.epoch, req: req,
		target: grant.Target, incarnation: grant.Incarnation, standingGrant: grant.ID,
	}
	r.sim.result.StandingStarts++
	use := fleet.StandingUse{Standing: grant.ID, Running: a.runningAttempt()}
	for _, l := range r.links {
		l.addChange(func(report *fleet.RouterReport) { report.Standing = append(report.Standing, use) })
	}
	r.startAttempt(a)
}

// oldestWaiting returns the request of a service that has waited longest, or nil.
func (r *router) oldestWaiting(service fleet.ServiceName) *request {
	queue := r.queues[service]
	for len(queue) > 0 && !queue[0].queued {
		queue = queue[1:]
	}
	r.queues[service] = queue
	if len(queue) == 0 {
		return nil
	}
	return queue[0]
}
