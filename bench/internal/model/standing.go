package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// standing is a standing grant and its use.
type standing struct {
	fleet.StandingGrant
	epoch fleet.Epoch
	until time.Time
	inUse fleet.Slots
}

func (r *router) setStanding(m *fleet.DispatcherGrants, sentAt time.Time) {
	until := sentAt.Add(fleet.ShortenLease(m.Validity))
	r.standing = r.standing[:0]
	for _, g := range m.Standing {
		s := standing{StandingGrant: g, epoch: m.Epoch, until: until}
		for _, a := range r.running {
			if a.standing == g.ID {
				s.inUse++
			}
		}
		r.standing = append(r.standing, s)
	}
}

// useStanding starts requests on standing grants while the dispatcher is silent.
func (r *router) useStanding() {
	now := r.f.queue.Now()
	for _, l := range r.links {
		if l.epoch == r.newestEpoch() && now.Sub(l.heard) < routing.DispatcherTimeout {
			return
		}
	}
	for i := range r.standing {
		s := &r.standing[i]
		for s.inUse < s.Slots && now.Before(s.until) {
			req := r.oldest(s.Service)
			if req == nil {
				break
			}
			r.startStanding(s, req)
		}
	}
}

func (r *router) startStanding(s *standing, req *request) {
	s.inUse++
	r.started++
	a := &attempt{
		grant: fleet.GrantID(fmt.Sprintf("%s/%s/%d", s.ID, r.id, r.started)), epoch: s.epoch, req: req,
		target: s.Target, incarnation: s.Incarnation, standing: s.ID,
	}
	r.f.result.StandingUsed++
	use := fleet.StandingUse{Standing: s.ID, Running: a.describe()}
	for _, l := range r.links {
		l.change(func(report *fleet.RouterReport) { report.Standing = append(report.Standing, use) })
	}
	r.start(a)
}

// oldest returns the request of a service that waits longest, nil when none does.
func (r *router) oldest(service fleet.ServiceName) *request {
	list := r.order[service]
	for len(list) > 0 && !list[0].waits {
		list = list[1:]
	}
	r.order[service] = list
	if len(list) == 0 {
		return nil
	}
	return list[0]
}
