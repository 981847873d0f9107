package quorum

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// candidacy is the state of a pre-vote or an election in which this replica is a candidate.
type candidacy struct {
	active  bool
	preVote bool
	term    fleet.Term
	votes   map[fleet.HostID]bool
	// ownVoteWrite is the sequence of the Write that holds the replica's own vote.
	ownVoteWrite fleet.Sequence
}

// leaderLeaseMayHold reports whether a leader was heard within MinElectionTimeout, or this
// replica leads under a lease.
func (r *Replica) leaderLeaseMayHold() bool {
	if r.cfg.Faults.VoteDespiteLeader {
		return false
	}
	if r.leading {
		return r.LeaseHeld(r.now)
	}
	return r.now.Sub(r.leaderHeardAt) < MinElectionTimeout
}

// isLogUpToDate reports whether the log of the sender of m is at least as up to date as
// this one, as Raft defines it for votes.
func (r *Replica) isLogUpToDate(m *Message) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex >= r.log.last()
}

// startPreVote asks the voters whether they would grant a vote. Without this round a
// replica that was partitioned would raise the term and depose a working leader.
func (r *Replica) startPreVote() {
	r.resetElectionTimeout()
	if r.leaderLeaseMayHold() {
		return
	}
	r.leader = ""
	r.candidacy = candidacy{active: true, preVote: true, term: r.vote.Term + 1, votes: map[fleet.HostID]bool{}}
	r.requestVotes(KindPreVote)
	r.countVotes()
}

// startElection enters a new term and requests votes in it.
func (r *Replica) startElection() {
	r.setVote(Vote{Term: r.vote.Term + 1, For: r.identity.Host})
	r.candidacy = candidacy{active: true, term: r.vote.Term, votes: map[fleet.HostID]bool{}, ownVoteWrite: r.lastWrite()}
	r.resetElectionTimeout()
	r.requestVotes(KindVote)
}

// transferLeadership asks the voter with the most complete log to start an election at
// once, and steps down. Stepping down ends the lease, so that no answer under it can
// follow the election of the successor.
func (r *Replica) transferLeadership() {
	if !r.leading {
		return
	}
	var successor Member
	best := fleet.Index(0)
	for _, m := range r.others() {
		if p := r.progressOf(m); m.Voter && p.match > best {
			successor, best = m, p.match
		}
	}
	if best < r.commit || best == 0 {
		return
	}
	r.sendAfterWrites(r.message(KindHandover, successor))
	r.stepDown()
}

// receiveHandover starts an election at the request of the current leader.
func (r *Replica) receiveHandover(m *Message) {
	if m.Term != r.vote.Term || m.From != r.leader || !r.isVoter() {
		return
	}
	r.leader = ""
	r.handover = true
	r.startElection()
	r.handover = false
}

// requestVotes sends a PreVote or Vote to all other voters.
func (r *Replica) requestVotes(kind Kind) {
	for _, p := range r.others() {
		if !p.Voter {
			continue
		}
		m := r.message(kind, p)
		m.Term = r.candidacy.term
		m.LastIndex, m.LastTerm = r.log.last(), r.log.lastTerm()
		m.Handover = r.handover
		r.sendAfterWrites(m)
	}
}

// receivePreVote answers whether a vote would be granted; it changes no state.
func (r *Replica) receivePreVote(m *Message) {
	answer := r.reply(KindPreVoteReply, m)
	answer.Granted = m.Term > r.vote.Term && r.isLogUpToDate(m) && !r.leaderLeaseMayHold()
	if answer.Granted {
		answer.Term = m.Term
	}
	r.sendAfterWrites(answer)
}

// receivePreVoteReply counts a granted pre-vote, or adopts a higher term.
func (r *Replica) receivePreVoteReply(m *Message) {
	if !m.Granted {
		r.adoptTerm(m.Term)
		return
	}
	if r.candidacy.active && r.candidacy.preVote && m.Term == r.candidacy.term {
		r.addVote(m)
	}
}

// receiveVote grants at most one vote a term. While a leader's lease may hold, the request
// is dropped without adopting its term, so that a candidate can't depose a working leader;
// votes that the leader itself asked for are exempt.
func (r *Replica) receiveVote(m *Message) {
	if r.leaderLeaseMayHold() && !m.Handover {
		return
	}
	r.adoptTerm(m.Term)
	answer := r.reply(KindVoteReply, m)
	free := r.vote.For == "" || r.vote.For == m.From
	if m.Term == r.vote.Term && free && !r.leading && r.isLogUpToDate(m) {
		answer.Granted = true
		r.resetElectionTimeout()
		if r.vote.For == "" {
			r.setVote(Vote{Term: m.Term, For: m.From})
		}
	}
	if r.cfg.Faults.SkipVoteSync {
		r.emit(Send{Message: answer})
		return
	}
	r.sendAfterWrites(answer)
}

// receiveVoteReply counts a granted vote, or adopts a higher term.
func (r *Replica) receiveVoteReply(m *Message) {
	r.adoptTerm(m.Term)
	if m.Granted && r.candidacy.active && !r.candidacy.preVote && m.Term == r.candidacy.term {
		r.addVote(m)
	}
}

// addVote counts the vote of the sender of m if it is a voter of this incarnation.
func (r *Replica) addVote(m *Message) {
	if _, voter := r.isMember(m.From, m.FromIncarnation); !voter {
		return
	}
	r.candidacy.votes[m.From] = true
	r.countVotes()
}

// countVotes starts the election after a won pre-vote, and becomes leader after a won
// election. The replica's own vote counts once it is durable.
func (r *Replica) countVotes() {
	c := &r.candidacy
	if !c.active {
		return
	}
	own := c.preVote || c.ownVoteWrite <= r.storage.durable
	won := r.majority(func(m Member) bool {
		return c.votes[m.Host] || own && r.isSelf(m)
	})
	if !won {
		return
	}
	if c.preVote {
		r.startElection()
		return
	}
	r.becomeLeader()
}

// LeaseHeld reports whether this replica leads and no other leader can have been elected
// at the time now.
func (r *Replica) LeaseHeld(now time.Time) bool {
	return now.Before(r.LeaseEnd())
}

// LeaseEnd returns the time up to which no other leader can be elected, by this replica's
// clock. It is the zero time when the replica does not lead.
func (r *Replica) LeaseEnd() time.Time {
	if !r.leading {
		return time.Time{}
	}
	if r.cfg.Faults.SkipQuorumCheck {
		return r.now.Add(time.Hour)
	}
	confirmed, ok := r.confirmedAt()
	if !ok {
		return time.Time{}
	}
	return confirmed.Add(fleet.ShortenLease(MinElectionTimeout))
}
