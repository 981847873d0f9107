package quorum

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Role returns the replica's current role.
func (r *Replica) Role() Role {
	switch {
	case r.leading:
		return Leader
	case !r.isVoter():
		return Learner
	case r.candidacy.active:
		return Candidate
	}
	return Follower
}

// Term returns the current term.
func (r *Replica) Term() fleet.Term { return r.vote.Term }

// HasQuorumContact reports whether the replica has been in contact with a majority within
// d as of the last event: a leader by its followers' answers, another replica by a message
// of the leader.
func (r *Replica) HasQuorumContact(d time.Duration) bool {
	if r.leading {
		return r.confirmedWithin(d)
	}
	return r.leader != "" && r.now.Sub(r.leaderHeardAt) < d
}

// KnownLeader returns the leader that the replica follows or is, or "".
func (r *Replica) KnownLeader() fleet.HostID { return r.leader }

// Status returns the replica's view of the quorum. It lists the committed members, since an
// uncommitted change may still be lost with its leader.
func (r *Replica) Status() fleet.StatusReply {
	s := fleet.StatusReply{
		Host: r.identity.Host, Incarnation: r.identity.Incarnation,
		Standing: string(r.Role()), Leader: r.leader, Term: r.vote.Term,
		Last: r.log.last(), Commit: r.commit, Snapshot: r.log.snapshot.Index,
	}
	for _, m := range r.committedMembers() {
		state := fleet.MemberState{Host: m.Host, Incarnation: m.Incarnation, Voter: m.Voter}
		switch {
		case r.isSelf(m):
			state.Match = r.storage.index
		case r.leading:
			state.Match = r.progressOf(m).match
		}
		s.Members = append(s.Members, state)
	}
	return s
}
