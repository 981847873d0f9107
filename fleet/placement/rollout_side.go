package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// RolloutSide is the side of a roll-out that a call is given, with the reason if it differs from
// the one that the call belongs to.
type RolloutSide string

// The sides of a roll-out.
const (
	// SideOld and SideNew mean that the call belongs to the targets with the old or the new version.
	SideOld RolloutSide = "Old"
	SideNew RolloutSide = "New"
	// SideNewUnavailable means that the call goes to the old version, as the new one, to which it
	// belongs, has no healthy target, or an earlier attempt went to the old one.
	SideNewUnavailable RolloutSide = "NewUnavailable"
	// SideUnconfirmed means that the call goes to the old version, as the roll-out is suspended.
	SideUnconfirmed RolloutSide = "Unconfirmed"
	// SideOldGone means that the call may go to the new version although the roll-out is suspended,
	// as no target of the old version is left.
	SideOldGone RolloutSide = "OldGone"
)

// RolloutBasis is what the roll-out of its service decides about a call.
type RolloutBasis struct {
	// Side is empty, and the other fields are zero, if the service has no active roll-out.
	Side     RolloutSide
	Number   fleet.RolloutNumber
	Revision uint64
	// Share is the part of the calls that belongs to the new version.
	Share float64
	// Age is the time since a control host confirmed the state; 0 if none has yet.
	Age time.Duration
}

// side is one of the two groups of targets of a service with a roll-out.
type side uint8

const (
	oldSide side = iota
	newSide
)

// maxFailedConnects is the number of failed connections since its last answer from which on a target
// of the old version counts as gone while a roll-out is suspended: a router without contact to
// control does not learn that targets have stopped.
const maxFailedConnects = 3

// callRollout is what a call needs for the roll-out of its service.
type callRollout struct {
	// side is that of the targets from which the current one was chosen.
	side side
	// counted is the roll-out that counts the outcome of the current attempt; 0 for none.
	counted fleet.RolloutNumber
	// ratedFirstByte is the time to the first byte expected without what was learnt.
	ratedFirstByte time.Duration
	// failed is true if the answer is an error.
	failed bool
}

// rolloutFraction places a call in the range from 0 to 1 to which shares of roll-outs apply. The
// prefix makes it independent of the other hashes of the ID.
func rolloutFraction(id fleet.RequestID) float64 {
	const precision = 1 << 53
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash never fail.
	_, _ = d.WriteString("rollout ")
	_, _ = d.WriteString(string(id))
	return float64(d.Sum64()%precision) / precision
}

// belongsToNew reports whether a call belongs to the new version.
func (k *call) belongsToNew(s *rollout) bool {
	if k.origin != nil {
		return k.origin.Version == s.newest.To
	}
	return rolloutFraction(k.Request) < s.share
}

// sideOf returns the side of a software version. After the roll-out, only the versions that it
// replaced are old.
func (s *rollout) sideOf(v fleet.SoftwareVersion) side {
	if v == s.newest.To || s.newest.State == fleet.RolloutCompleted && !s.replaced[v] {
		return newSide
	}
	return oldSide
}

// permittedSides returns the sides whose targets a call may go to, the preferred one first.
func (r *Router) permittedSides(k *call, s *rollout) []side {
	switch {
	case s.newest.State == fleet.RolloutCompleted:
		return []side{newSide, oldSide}
	case s.newest.State == fleet.RolloutReverted:
		return []side{oldSide}
	case r.isSuspended(s):
		if r.hasOldTargets(k.service, s) {
			return []side{oldSide}
		}
		return []side{newSide, oldSide}
	case !k.belongsToNew(s):
		return []side{oldSide}
	case k.sends > 0 && s.sideOf(k.currentVersion) == oldSide:
		return []side{oldSide, newSide}
	}
	return []side{newSide, oldSide}
}

// hasOldTargets reports whether a service has serving targets of the old version that this router
// can probably reach.
func (r *Router) hasOldTargets(service fleet.ServiceName, s *rollout) bool {
	return slices.ContainsFunc(r.services[service], func(t *target) bool {
		return t.isServing() && !r.dataCentresOut[t.entry.DataCentre] && t.pauses < maxFailedConnects &&
			s.sideOf(t.entry.SoftwareVersion) == oldSide
	})
}

// onPermittedSides returns those of the targets that the roll-out of a call's service permits.
func (r *Router) onPermittedSides(k *call, targets []*target) []*target {
	s := r.rollouts[k.service]
	if s == nil {
		return targets
	}
	sides := r.permittedSides(k, s)
	return slices.DeleteFunc(targets, func(t *target) bool { return !slices.Contains(sides, s.sideOf(t.entry.SoftwareVersion)) })
}

// mayUseSide reports whether a call that was not written yet may still go to a target.
func (r *Router) mayUseSide(k *call, t *target) bool {
	s := r.rollouts[k.service]
	return s == nil || slices.Contains(r.permittedSides(k, s), s.sideOf(t.entry.SoftwareVersion))
}

// onPreferredSide returns those of the targets that are on the preferred side of the call which
// has a healthy target, or else on that which has an available one.
func (r *Router) onPreferredSide(k *call, targets []*target) []*target {
	s := r.rollouts[k.service]
	if s == nil {
		return targets
	}
	sides := r.permittedSides(k, s)
	for _, isUsable := range []func(*target) bool{r.isHealthy, r.isAvailable} {
		for _, preferred := range sides {
			isOther := func(t *target) bool { return s.sideOf(t.entry.SoftwareVersion) != preferred }
			if slices.ContainsFunc(targets, func(t *target) bool { return !isOther(t) && isUsable(t) }) {
				k.rollout.side = preferred
				return slices.DeleteFunc(targets, isOther)
			}
		}
	}
	return nil
}

// rolloutBasis returns what the roll-out decides about a call for which a target was chosen, or
// none was found.
func (r *Router) rolloutBasis(k *call, t *target) RolloutBasis {
	s := r.activeRollout(k.service)
	if s == nil {
		return RolloutBasis{}
	}
	b := RolloutBasis{Side: SideOld, Number: s.newest.Number, Revision: s.newest.Revision, Share: s.share, Age: s.age(r.now)}
	belongsToNew, suspended := k.belongsToNew(s), r.isSuspended(s)
	switch {
	case suspended && !r.hasOldTargets(k.service, s):
		b.Side = SideOldGone
	case suspended && belongsToNew:
		b.Side = SideUnconfirmed
	case belongsToNew && t != nil && s.sideOf(t.entry.SoftwareVersion) == oldSide:
		b.Side = SideNewUnavailable
	case belongsToNew:
		b.Side = SideNew
	}
	return b
}

// ratedTargets returns the number of targets among which the capacity of a service is divided: the
// serving ones. The capacity is that of one version, so that of two sides the larger one counts, or
// the one that the calls go to after the end.
func (r *Router) ratedTargets(service fleet.ServiceName) int {
	s := r.rollouts[service]
	var n [2]int
	for _, t := range r.services[service] {
		switch {
		case !t.isServing():
		case s != nil:
			n[s.sideOf(t.entry.SoftwareVersion)]++
		default:
			n[oldSide]++
		}
	}
	switch {
	case s != nil && s.newest.State == fleet.RolloutCompleted && n[newSide] > 0:
		return n[newSide]
	case s != nil && s.newest.State == fleet.RolloutReverted && n[oldSide] > 0:
		return n[oldSide]
	}
	return max(n[oldSide], n[newSide])
}

// partLoad returns the rate of the fleet's work for a shared part at the side from which a call's
// target is chosen, in tokens a second, and the number of targets there.
func (r *Router) partLoad(k *call, key PartID) (rate float64, n int) {
	s := r.rollouts[k.service]
	rate, n = r.hotParts[key], len(r.services[k.service])
	if s == nil {
		return rate, n
	}
	for _, t := range r.services[k.service] {
		if s.sideOf(t.entry.SoftwareVersion) != k.rollout.side {
			n--
		}
	}
	switch {
	case s.newest.State != fleet.RolloutActive:
	case k.rollout.side == newSide:
		rate *= s.share
	default:
		rate *= 1 - s.share
	}
	return rate, n
}
