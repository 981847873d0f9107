package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

const (
	// resendTime is the time after an order in which the same one counts as resent. Operators
	// resend an order for 5 s and wait 1 s for each answer.
	resendTime = 6 * time.Second
	// maxClockSkew is the largest difference of the hosts' clocks that is allowed for. Log time
	// does not pass while nothing is committed and the leader changes, so that resendTime counts
	// by both clocks.
	maxClockSkew = 5 * time.Second
	// maxOutage is the longest time without a leader for which the end of a roll-out is planned
	// earlier. It bounds the effect of a wrong clock.
	maxOutage = 6 * time.Second
	// maxRollouts is the number of services of which the newest roll-out is kept.
	maxRollouts = 256
)

// rolloutRecord is the newest roll-out of a service.
type rolloutRecord struct {
	Service  fleet.ServiceName
	To       fleet.SoftwareVersion
	Number   fleet.RolloutNumber
	Revision uint64
	State    fleet.RolloutState
	Share    float64
	Duration time.Duration
	// OrderedAt is the wall-clock time of the order at its proposer, OrderedNow its log time.
	OrderedAt  time.Time
	OrderedNow LogTime
}

// ChangeRollout changes an active roll-out. It has no effect unless Number and Revision are
// those of the service's newest one.
type ChangeRollout struct {
	Service  fleet.ServiceName
	Number   fleet.RolloutNumber
	Revision uint64
	State    fleet.RolloutState
	Share    float64
}

// RolloutReview is a roll-out with its times, for the leader's decision.
type RolloutReview struct {
	// Rollout has the time to the limit as Left.
	fleet.Rollout
	// Due is the time in which the roll-out should end. It is shorter than Left if there was no
	// leader for some of the time.
	Due time.Duration
}

// RolloutsChanged reports newly committed roll-outs: the newest one of each service.
type RolloutsChanged struct {
	Rollouts []fleet.Rollout
}

// EffectName implements fleet.Effect.
func (RolloutsChanged) EffectName() string { return "RolloutsChanged" }

// findRollout returns the index of a service's record, or where it belongs.
func (s *State) findRollout(service fleet.ServiceName) (int, bool) {
	return slices.BinarySearchFunc(s.data.Rollouts, service, func(r rolloutRecord, name fleet.ServiceName) int {
		return cmp.Compare(r.Service, name)
	})
}

// applyStartRollout begins a roll-out. The result is a fleet.StartRolloutReply or superseded.
func (s *State) applyStartRollout(c *Command) any {
	o := c.StartRollout
	i, known := s.findRollout(o.Service)
	var newest rolloutRecord
	if known {
		newest = s.data.Rollouts[i]
	}
	switch {
	case known && newest.To == o.To && (newest.State == fleet.RolloutActive || s.isResent(&newest, c)):
		return fleet.StartRolloutReply{Rollout: newest.rollout()}
	case known && newest.State == fleet.RolloutActive:
		return fleet.StartRolloutReply{Rollout: newest.rollout(), Conflict: true}
	case o.Base == nil || o.Base.Number != newest.Number || o.Base.Revision != newest.Revision:
		return superseded{}
	}
	s.data.LastRollout++
	r := rolloutRecord{
		Service: o.Service, To: o.To, Number: s.data.LastRollout, Revision: 1, State: fleet.RolloutActive,
		Share: o.Share, Duration: o.Duration, OrderedAt: c.At, OrderedNow: s.data.Now,
	}
	s.putRollout(i, known, r)
	return fleet.StartRolloutReply{Rollout: r.rollout()}
}

// isResent reports whether an order is that of the roll-out, sent again by an operator who has not
// got the answer.
func (s *State) isResent(r *rolloutRecord, c *Command) bool {
	return s.data.Now-r.OrderedNow <= LogTime(resendTime) && c.At.Sub(r.OrderedAt) <= resendTime+maxClockSkew
}

// putRollout stores a record at its place, and drops the oldest ended one if there are too many.
func (s *State) putRollout(i int, known bool, r rolloutRecord) {
	s.data.Rollouts = slices.Clone(s.data.Rollouts)
	s.data.RolloutChanges++
	if known {
		s.data.Rollouts[i] = r
		return
	}
	s.data.Rollouts = slices.Insert(s.data.Rollouts, i, r)
	if len(s.data.Rollouts) <= maxRollouts {
		return
	}
	oldest := -1
	for i := range s.data.Rollouts {
		x := &s.data.Rollouts[i]
		if x.State != fleet.RolloutActive && (oldest < 0 || x.Number < s.data.Rollouts[oldest].Number) {
			oldest = i
		}
	}
	if oldest >= 0 {
		s.data.Rollouts = slices.Delete(s.data.Rollouts, oldest, oldest+1)
	}
}

// applyChangeRollout changes an active roll-out. The result is the fleet.Rollout or superseded.
func (s *State) applyChangeRollout(c *ChangeRollout) any {
	i, known := s.findRollout(c.Service)
	if !known {
		return superseded{}
	}
	r := s.data.Rollouts[i]
	if r.State != fleet.RolloutActive || r.Number != c.Number || r.Revision != c.Revision {
		return superseded{}
	}
	r.Revision++
	r.State, r.Share = c.State, c.Share
	s.putRollout(i, true, r)
	return r.rollout()
}

// rollout returns the record without the time left.
func (r *rolloutRecord) rollout() fleet.Rollout {
	return fleet.Rollout{
		Service: r.Service, To: r.To, Number: r.Number, Revision: r.Revision, State: r.State, Share: r.Share, Duration: r.Duration,
	}
}

// hasActiveRollout reports whether a roll-out is in progress.
func (s *State) hasActiveRollout() bool {
	return slices.ContainsFunc(s.data.Rollouts, func(r rolloutRecord) bool { return r.State == fleet.RolloutActive })
}

// handleRollouts handles requests for roll-outs, and reports whether r is one.
func (s *Server) handleRollouts(id CallID, r *Request) bool {
	switch {
	case r.StartRollout != nil:
		if r.StartRollout.Base == nil {
			s.fail(id, fleet.CodeInvalid, "Base is missing; only control hosts of a deployment with numbered configurations take orders of roll-outs")
		} else if s.requireLease(id) {
			s.propose(pendingRequest{call: id}, Command{StartRollout: r.StartRollout})
		}
	case r.ChangeRollout != nil:
		if s.requireLease(id) {
			s.propose(pendingRequest{call: id}, Command{ChangeRollout: r.ChangeRollout})
		}
	case r.ReadRollouts != nil:
		s.read(pendingRead{call: id, rollouts: true})
	default:
		return false
	}
	return true
}

// Leadership returns the term, and whether this replica leads in it and no other can lead, as of
// the last event.
func (s *Server) Leadership() (term fleet.Term, leads bool) {
	return s.replica.Term(), s.IsConfirmedLeader()
}

// RolloutReviews returns the newest roll-out of each service, with times as of the last event.
func (s *Server) RolloutReviews() []RolloutReview {
	out := make([]RolloutReview, 0, len(s.state.data.Rollouts))
	for i := range s.state.data.Rollouts {
		out = append(out, s.review(&s.state.data.Rollouts[i]))
	}
	return out
}

// review returns a roll-out with its times. The limit is the later one by log time, which does not
// pass without a leader, and by the wall clock. The end is planned by the earlier one, for which
// also counts how long this process has known the roll-out.
func (s *Server) review(r *rolloutRecord) RolloutReview {
	logged := max(0, time.Duration(s.estimateLogTime()-r.OrderedNow))
	wall := max(0, s.now.Sub(r.OrderedAt))
	elapsed := max(logged, min(wall, logged+maxOutage))
	if seen, ok := s.rolloutsSeen[r.Number]; ok {
		elapsed = max(elapsed, s.now.Sub(seen))
	}
	out := RolloutReview{Rollout: r.rollout(), Due: r.Duration - elapsed}
	out.Left = r.Duration - min(logged, wall)
	return out
}

// estimateLogTime returns the log time of a leader, and otherwise the last one known to have passed
// and the time since.
func (s *Server) estimateLogTime() LogTime {
	if s.replica.Ready() {
		return s.logTime()
	}
	return s.state.data.Now + LogTime(s.now.Sub(s.logTimeSeen.at))
}

// announceRollouts emits RolloutsChanged once per change, and records when this process learnt of
// roll-outs and of log time.
func (s *Server) announceRollouts() {
	if d := &s.state.data; s.logTimeSeen.now != d.Now || s.logTimeSeen.at.IsZero() {
		s.logTimeSeen.now, s.logTimeSeen.at = d.Now, s.now
	}
	if s.announcedRollouts == s.state.data.RolloutChanges {
		return
	}
	s.announcedRollouts = s.state.data.RolloutChanges
	seen := map[fleet.RolloutNumber]time.Time{}
	var e RolloutsChanged
	for i := range s.state.data.Rollouts {
		r := &s.state.data.Rollouts[i]
		at, known := s.rolloutsSeen[r.Number]
		if !known {
			at = s.now
		}
		seen[r.Number] = at
		e.Rollouts = append(e.Rollouts, s.review(r).Rollout)
	}
	s.rolloutsSeen = seen
	s.out = append(s.out, e)
}

// markTime commits the log time while a roll-out is in progress, so that a new leader counts its
// time from the last mark.
func (s *Server) markTime() {
	if s.leader.markPending || !s.state.hasActiveRollout() {
		return
	}
	s.leader.markPending = true
	s.propose(pendingRequest{mark: true}, Command{})
}

// read waits for a majority to confirm this leader. A lease is not enough for a read, since a
// suspended host does not notice its expiry.
func (s *Server) read(r pendingRead) {
	if !s.requireLease(r.call) {
		return
	}
	r.since = s.now
	s.pendingReads = append(s.pendingReads, r)
	s.reduceReplica(quorum.ConfirmLeadership{})
}

// answerRollouts answers a confirmed read.
func (s *Server) answerRollouts(id CallID) {
	reply := &fleet.ReadRolloutsReply{Config: s.state.data.Numbered.Config.Number}
	for _, r := range s.RolloutReviews() {
		reply.Rollouts = append(reply.Rollouts, r.Rollout)
	}
	s.answer(id, reply)
}
