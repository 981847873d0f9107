package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Rules for standing grants.
const (
	// standingInterval is the time between two renewals at a router.
	standingInterval = 500 * time.Millisecond
	// standingPerScan bounds the standing grants made in one scan.
	standingPerScan = 32
	// arrivalsDecay is what is left of a router's arrivals after one scan.
	arrivalsDecay = 0.99
)

// standing is a standing grant that a router holds or may still hold.
type standing struct {
	id fleet.GrantID
	// router is nil once its holder restarted.
	router    *router
	target    *target
	targetInc fleet.Incarnation
	slots     fleet.Slots
	inUse     fleet.Slots
	// until is when the router may no longer start requests on it.
	until time.Time
	// revoked says that it is not renewed any more.
	revoked bool
}

// held returns the slots that the standing grant takes.
func (s *standing) held() fleet.Slots { return max(s.slots, s.inUse) }

func sortedStanding(m map[fleet.GrantID]*standing) []*standing {
	list := make([]*standing, 0, len(m))
	for _, s := range m {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *standing) int { return compare(a.id, b.id) })
	return list
}

// expireStanding frees what lapsed on a target, and revokes what it must not give.
func (r *Reducer) expireStanding(t *target) {
	for _, s := range slices.Clone(t.standing) {
		if r.mustRevoke(s) {
			r.revoke(s)
		}
		if s.revoked && r.now.After(s.until) {
			s.slots = 0
			r.dropStanding(s)
		}
	}
}

// mustRevoke says whether the slot is needed, or the target or the router is no longer
// fit for it. Standing grants are made of spare slots only.
func (r *Reducer) mustRevoke(s *standing) bool {
	if s.revoked {
		return false
	}
	t := s.target
	return !t.usable || t.limiter.limit < t.last.Slots || r.scarce(t.service) ||
		s.router == nil || !s.router.connected || s.router.stopping || !r.cfg.StandingGrants
}

// scarce says whether tickets wait while no slot is free.
func (r *Reducer) scarce(s *service) bool { return s.backlog.Len() > 0 }

func (r *Reducer) revoke(s *standing) {
	s.revoked = true
	if s.router != nil && s.router.connected {
		r.post(s.router).standing = true
	}
}

// dropStanding forgets a standing grant that can't be used and is not in use.
func (r *Reducer) dropStanding(s *standing) {
	if s.revoked && s.slots == 0 && s.inUse == 0 {
		r.removeStanding(s)
	}
}

func (r *Reducer) removeStanding(s *standing) {
	if i := slices.Index(s.target.standing, s); i >= 0 {
		s.target.standing = slices.Delete(s.target.standing, i, i+1)
	}
	if s.router != nil {
		delete(s.router.standing, s.id)
	}
}

// giveStanding gives spare slots of warm targets to the routers where work arrives.
func (r *Reducer) giveStanding() {
	most := r.config.Fleet.Policy.StandingSlots
	if !r.cfg.StandingGrants || most <= 0 || !r.granting() {
		return
	}
	given := 0
	for _, t := range r.targetList {
		if given >= standingPerScan {
			return
		}
		if !t.usable || t.freeIndex < 0 || t.limiter.limit < t.last.Slots || r.scarce(t.service) {
			continue
		}
		n := min(most-t.standingSlots(), t.room(r.rampedSlots(t))-1)
		if n <= 0 {
			continue
		}
		given++
		if o := r.busiestRouter(t); o != nil {
			r.stand(o, t, n)
		}
	}
}

// busiestRouter returns the router with the most arrivals for each standing grant that
// it holds, with those of the target's data centre first.
func (r *Reducer) busiestRouter(t *target) *router {
	var best *router
	var bestScore float64
	for _, o := range r.routerList {
		arrivals := o.arrivals[t.service.name]
		if !o.connected || o.stopping || arrivals == 0 {
			continue
		}
		score := arrivals / float64(1+len(o.standing))
		if o.dataCentre == t.last.DataCentre {
			score *= 2
		}
		if best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

func (r *Reducer) stand(o *router, t *target, n fleet.Slots) {
	r.nextGrant++
	s := &standing{
		id:     fleet.GrantID(strconv.FormatUint(uint64(r.lease.epoch), 36) + "-s" + strconv.FormatUint(r.nextGrant, 36)),
		router: o, target: t, targetInc: t.last.Incarnation, slots: n, until: r.now.Add(StandingValidity),
	}
	t.standing = append(t.standing, s)
	o.standing[s.id] = s
	r.post(o).standing = true
	r.refresh(t)
}

// sendStanding renews all standing grants of a router.
func (r *Reducer) sendStanding(to *router) {
	m := r.envelope(to, StandingValidity)
	m.StandingSet = true
	for _, s := range sortedStanding(to.standing) {
		if s.revoked {
			continue
		}
		s.until = r.now.Add(StandingValidity)
		m.Standing = append(m.Standing, fleet.StandingGrant{
			ID: s.id, Service: s.target.service.name, Target: s.target.id, Incarnation: s.targetInc,
			Address: s.target.last.Address, Slots: s.slots,
		})
	}
	to.standingAt = r.now
	r.emit(SendGrants{To: to.id, Message: m, Until: r.sendUntil()})
}

// standingOf returns the standing grant on which a running attempt was started; the
// router names such an attempt after it.
func (o *router) standingOf(m *fleet.RunningAttempt) *standing {
	id, _, ok := strings.Cut(string(m.Grant), "/")
	if !ok {
		return nil
	}
	s := o.standing[fleet.GrantID(id)]
	if s == nil || s.target.id != m.Target {
		return nil
	}
	return s
}

// applyStanding takes in the requests that the router started on standing grants.
func (r *Reducer) applyStanding(o *router, uses []fleet.StandingUse) {
	for i := range uses {
		r.adopt(o, &uses[i].Running)
	}
}
