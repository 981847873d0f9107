package quorum

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Role returns what the replica is at the moment.
func (r *Replica) Role() Role {
	switch {
	case r.leading:
		return Leader
	case !r.isVoter():
		return Learner
	case r.campaign.active:
		return Candidate
	}
	return Follower
}

// Term returns the current term.
func (r *Replica) Term() fleet.Term { return r.vote.Term }

// HasQuorumContact says whether the replica has been in contact with a majority within d: as a
// leader by its followers' answers, otherwise by a leader's heartbeat.
func (r *Replica) HasQuorumContact(d time.Duration) bool {
	if r.leading {
		return r.contactWithin(d)
	}
	return r.leader != "" && r.now.Sub(r.heard) < d
}

// KnownLeader returns the leader that the replica follows, or "".
func (r *Replica) KnownLeader() fleet.HostID { return r.leader }

// Status returns the replica's view of the quorum. Its members are the committed ones:
// a change under way is still lost if its leader is.
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
