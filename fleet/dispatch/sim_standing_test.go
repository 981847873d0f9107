package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// reuse starts the next request on the slot of a completed one while no dispatcher answers.
// The end and the start are in the same report.
func (o *simRouter) reuse(done *simAttempt) {
	silent := o.s.now.Sub(o.lastContact)
	if silent < 300*time.Millisecond || silent > fleet.ShortenLease(StandingValidity) {
		return
	}
	q := o.nextWaiting(done.request.service)
	if q == nil {
		return
	}
	a := &simAttempt{
		grant: done.grant + "+", epoch: o.epoch, request: q, ticket: o.ticket(q), target: done.target, incarnation: done.incarnation,
	}
	use := fleet.StandingUse{Standing: done.grant, Running: a.running()}
	o.report(func(m *fleet.RouterReport) { m.Standing = append(m.Standing, use) })
	o.start(a)
}

// nextWaiting removes and returns the oldest waiting request of a service whose content is
// neither a suspect nor quarantined.
func (o *simRouter) nextWaiting(service fleet.ServiceName) *simRequest {
	i := slices.IndexFunc(o.waiting, func(q *simRequest) bool {
		_, suspect := o.suspects[q.content]
		_, barred := o.quarantines[q.content]
		return !suspect && !barred && q.service == service
	})
	if i < 0 {
		return nil
	}
	q := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	return q
}

// useStanding starts waiting requests on standing grants.
func (o *simRouter) useStanding() {
	for _, g := range o.standing {
		used := 0
		for _, a := range o.attempts {
			if a.standing == g.ID {
				used++
			}
		}
		for used < int(g.Slots) && o.s.now.Before(o.standingUntil) {
			q := o.nextWaiting(g.Service)
			if q == nil {
				break
			}
			a := &simAttempt{
				grant: fleet.GrantID(fmt.Sprintf("%s/%s", g.ID, q.id)), standing: g.ID, epoch: o.epoch, request: q,
				ticket: o.ticket(q), target: o.s.target(g.Target), incarnation: g.Incarnation,
			}
			use := fleet.StandingUse{Standing: g.ID, Running: a.running()}
			o.report(func(m *fleet.RouterReport) { m.Standing = append(m.Standing, use) })
			if !o.start(a) {
				break
			}
			used++
		}
	}
}
