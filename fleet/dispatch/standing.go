package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of standing grants.
const (
	// standingInterval is the time between two renewals of a router's standing grants.
	standingInterval = 500 * time.Millisecond
	// standingPerScan is the largest number of standing grants made in one scan.
	standingPerScan = 32
	// arrivalsDecay is the factor by which a router's arrivals decay with each scan.
	arrivalsDecay = 0.99
)

// standing is a standing grant that a router holds or may still hold.
type standing struct {
	id fleet.GrantID
	// router is nil once its holder restarted.
	router            *router
	target            *target
	targetIncarnation fleet.Incarnation
	// slots is the number of slots granted; inUse is the number of attempts that run on them.
	slots fleet.Slots
	inUse fleet.Slots
	// until is when the router may no longer start requests on the grant.
	until time.Time
	// revoked is set once the grant is no longer renewed.
	revoked bool
}

// reservedSlots returns the number of slots that the standing grant occupies.
func (s *standing) reservedSlots() fleet.Slots { return max(s.slots, s.inUse) }

func sortedStanding(m map[fleet.GrantID]*standing) []*standing {
	list := make([]*standing, 0, len(m))
	for _, s := range m {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *standing) int { return compare(a.id, b.id) })
	return list
}

// expireStanding revokes the standing grants of a target that must end, and frees the slots
// of revoked ones once their validity is over.
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

// mustRevoke reports whether an unrevoked standing grant has to be revoked, because its slots
// are needed or because its target or router may no longer have one. Standing grants are made
// of spare slots only.
func (r *Reducer) mustRevoke(s *standing) bool {
	if s.revoked {
		return false
	}
	t := s.target
	return !t.usable || t.limiter.limit < t.last.Slots || r.hasBacklog(t.service) ||
		s.router == nil || !s.router.connected || s.router.stopping || !r.cfg.StandingGrants
}

// hasBacklog reports whether tickets of the service wait for a slot.
func (r *Reducer) hasBacklog(s *service) bool { return s.backlog.Len() > 0 }

func (r *Reducer) revoke(s *standing) {
	s.revoked = true
	if s.router != nil && s.router.connected {
		r.outboxOf(s.router).standing = true
	}
}

// dropStanding removes a standing grant that has ended and is not in use.
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

// grantSpareSlots gives spare slots of warm targets to the routers with the most arrivals.
func (r *Reducer) grantSpareSlots() {
	most := r.config.Fleet.Policy.StandingSlots
	if !r.cfg.StandingGrants || most <= 0 || !r.mayGrantNow() {
		return
	}
	given := 0
	for _, t := range r.targetList {
		if given >= standingPerScan {
			return
		}
		if !t.usable || t.freeIndex < 0 || t.limiter.limit < t.last.Slots || r.hasBacklog(t.service) {
			continue
		}
		n := min(most-t.standingSlots(), t.freeSlots(r.rampedSlots(t))-1)
		if n <= 0 {
			continue
		}
		given++
		if rt := r.busiestRouter(t); rt != nil {
			r.grantStanding(rt, t, n)
		}
	}
}

// busiestRouter returns the connected router with the highest ratio of arrivals to one plus
// its standing grants; nil if none has arrivals. Arrivals count double in the target's data
// centre.
func (r *Reducer) busiestRouter(t *target) *router {
	var best *router
	var bestScore float64
	for _, rt := range r.routerList {
		arrivals := rt.arrivals[t.service.name]
		if !rt.connected || rt.stopping || arrivals == 0 {
			continue
		}
		score := arrivals / float64(1+len(rt.standing))
		if rt.dataCentre == t.last.DataCentre {
			score *= 2
		}
		if best == nil || score > bestScore {
			best, bestScore = rt, score
		}
	}
	return best
}

func (r *Reducer) grantStanding(rt *router, t *target, n fleet.Slots) {
	r.nextGrant++
	s := &standing{
		id:     fleet.GrantID(strconv.FormatUint(uint64(r.lease.epoch), 36) + "-s" + strconv.FormatUint(r.nextGrant, 36)),
		router: rt, target: t, targetIncarnation: t.last.Incarnation, slots: n, until: r.now.Add(StandingValidity),
	}
	t.standing = append(t.standing, s)
	rt.standing[s.id] = s
	r.outboxOf(rt).standing = true
	r.refresh(t)
}

// sendStanding renews all standing grants of a router that are not revoked.
func (r *Reducer) sendStanding(to *router) {
	m := r.envelope(to, StandingValidity)
	m.StandingSet = true
	for _, s := range sortedStanding(to.standing) {
		if s.revoked {
			continue
		}
		s.until = r.now.Add(StandingValidity)
		m.Standing = append(m.Standing, fleet.StandingGrant{
			ID: s.id, Service: s.target.service.name, Target: s.target.id, Incarnation: s.targetIncarnation,
			Address: s.target.last.Address, Slots: s.slots,
		})
	}
	to.standingSentAt = r.now
	r.emit(SendGrants{To: to.id, Message: m, Until: r.sendUntil()})
}

// standingOf returns the standing grant on which a running attempt was started, or nil. The
// ID of such an attempt is that of the standing grant, a slash and a suffix.
func (rt *router) standingOf(m *fleet.RunningAttempt) *standing {
	id, _, ok := strings.Cut(string(m.Grant), "/")
	if !ok {
		return nil
	}
	s := rt.standing[fleet.GrantID(id)]
	if s == nil || s.target.id != m.Target {
		return nil
	}
	return s
}

// applyStanding applies the requests that the router started on standing grants.
func (r *Reducer) applyStanding(rt *router, uses []fleet.StandingUse) {
	for i := range uses {
		r.adoptAttempt(rt, &uses[i].Running)
	}
}
