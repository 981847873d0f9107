package placement

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// rolloutContact is the time without a notice of a control host in contact with a majority after
	// which the share of a roll-out does not rise. Control hosts send one at least once a second.
	rolloutContact = 2 * time.Second
	// defaultRollbackTime is the RollbackTime of a Config that has none.
	defaultRollbackTime = 5 * time.Second
	// suspendDivisor divides RollbackTime into the time after which a roll-out is suspended at a
	// router without contact. The rest is for the decision at the leader and for its commit.
	suspendDivisor = 2
)

// RolloutsNoticed passes on the roll-outs that a control host names in a notice.
type RolloutsNoticed struct {
	// Control is the address of the control host.
	Control netip.AddrPort
	// Confirmed is true if the control host is in contact with a majority.
	Confirmed bool
	Rollouts  []fleet.Rollout
}

// EventName implements fleet.Event.
func (RolloutsNoticed) EventName() string { return "RolloutsNoticed" }

// RolloutApplied is the effect of logging that this router applies another state of a roll-out.
type RolloutApplied struct {
	// Rollout is the newest state that a control host named.
	fleet.Rollout
	// AppliedShare is the share that this router applies: the lowest that control hosts name.
	AppliedShare float64
	// Suspended is true while the router sends nothing to the new version because no control host
	// confirms the state.
	Suspended bool
	// Age is the time since a control host confirmed the state; 0 if none has yet.
	Age time.Duration
}

// EffectName implements fleet.Effect.
func (RolloutApplied) EffectName() string { return "RolloutApplied" }

// rollout is the newest roll-out of a service at this router.
type rollout struct {
	// newest is the newest state that a control host named.
	newest fleet.Rollout
	// views has what each control host named last while it was in contact with a majority.
	views map[netip.AddrPort]rolloutView
	// share is the part of the calls that goes to the new version while the roll-out is active.
	share float64
	// confirmedAt is when a control host in contact with a majority last named the newest state; zero
	// for never.
	confirmedAt time.Time
	// completedAt is when this router learnt that the roll-out is completed.
	completedAt time.Time
	// replaced has the software versions that the roll-out replaces, once it is completed.
	replaced map[fleet.SoftwareVersion]bool
	outcomes rolloutOutcomes
	// logged is the state in the last RolloutApplied, without its ages.
	logged RolloutApplied
}

// rolloutView is the share that a control host named.
type rolloutView struct {
	share float64
	at    time.Time
}

// rolloutsNoticed takes over the roll-outs of a notice.
func (r *Router) rolloutsNoticed(ev RolloutsNoticed) {
	for i := range ev.Rollouts {
		r.noticeRollout(&ev, &ev.Rollouts[i])
	}
	r.noteReplacedVersions()
	r.refreshRollouts()
}

// noticeRollout takes over a roll-out unless a newer one of its service is known. The end of a
// roll-out is final.
func (r *Router) noticeRollout(ev *RolloutsNoticed, named *fleet.Rollout) {
	s := r.rollouts[named.Service]
	if s == nil || named.Number > s.newest.Number {
		s = &rollout{newest: *named, views: map[netip.AddrPort]rolloutView{}, replaced: map[fleet.SoftwareVersion]bool{}, outcomes: newRolloutOutcomes()}
		r.rollouts[named.Service] = s
	}
	if named.Number < s.newest.Number {
		return
	}
	if named.Revision > s.newest.Revision && s.newest.State == fleet.RolloutActive {
		s.newest = *named
	}
	if s.newest.State != fleet.RolloutActive {
		s.outcomes = rolloutOutcomes{}
	}
	if s.newest.State == fleet.RolloutCompleted && s.completedAt.IsZero() {
		s.completedAt = r.now
	}
	if ev.Confirmed {
		s.views[ev.Control] = rolloutView{share: named.Share, at: r.now}
		if named.Revision >= s.newest.Revision {
			s.confirmedAt = r.now
		}
	}
}

// refreshRollouts updates the shares that are applied, and emits the changes.
func (r *Router) refreshRollouts() {
	for _, service := range slices.Sorted(maps.Keys(r.rollouts)) {
		s := r.rollouts[service]
		s.refreshShare(r.now)
		applied := RolloutApplied{Rollout: s.newest, AppliedShare: s.share, Suspended: r.isSuspended(s)}
		applied.Left = 0
		if applied == s.logged {
			continue
		}
		s.logged = applied
		applied.Left, applied.Age = s.newest.Left, s.age(r.now)
		r.emit(applied)
	}
}

// refreshShare sets the share to the lowest that control hosts in contact with a majority name.
// Without any, it does not rise.
func (s *rollout) refreshShare(now time.Time) {
	low := s.newest.Share
	maps.DeleteFunc(s.views, func(_ netip.AddrPort, v rolloutView) bool { return now.Sub(v.at) >= rolloutContact })
	for _, v := range s.views {
		low = min(low, v.share)
	}
	if len(s.views) == 0 {
		low = min(low, s.share)
	}
	s.share = low
}

// age returns the time since a control host confirmed the newest state, or 0 if none has yet.
func (s *rollout) age(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(s.confirmedAt)
}

// isSuspended reports whether an active roll-out has not been confirmed for so long that the new
// version may have been found bad.
func (r *Router) isSuspended(s *rollout) bool {
	return s.newest.State == fleet.RolloutActive &&
		(s.confirmedAt.IsZero() || r.now.Sub(s.confirmedAt) >= r.cfg.RollbackTime/suspendDivisor)
}

// activeRollout returns the roll-out of a service if it is active, or nil.
func (r *Router) activeRollout(service fleet.ServiceName) *rollout {
	if s := r.rollouts[service]; s != nil && s.newest.State == fleet.RolloutActive {
		return s
	}
	return nil
}

// noteReplacedVersions records the versions of the targets that the roll-outs replace. Those that
// appear later than SilentAfter after the end come from other changes of the deployment; until
// then, a router that has just started learns of the old targets.
func (r *Router) noteReplacedVersions() {
	for service, s := range r.rollouts {
		completed := s.newest.State == fleet.RolloutCompleted && r.now.Sub(s.completedAt) < r.cfg.SilentAfter
		if s.newest.State != fleet.RolloutActive && !completed {
			continue
		}
		for _, t := range r.services[service] {
			if v := t.entry.SoftwareVersion; v != s.newest.To {
				s.replaced[v] = true
			}
		}
	}
}
