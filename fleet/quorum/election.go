package quorum

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// campaign is an election that this replica stands in.
type campaign struct {
	active  bool
	preVote bool
	term    fleet.Term
	votes   map[fleet.HostID]bool
	// saved is the Write with the replica's own vote.
	saved fleet.Sequence
}

// hearsLeader says whether a leader was heard so lately that its lease may hold.
func (r *Replica) hearsLeader() bool {
	if r.cfg.Faults.IgnoreLeader {
		return false
	}
	if r.leading {
		return r.LeaseHeld(r.now)
	}
	return r.now.Sub(r.heard) < MinElectionTimeout
}

// upToDate says whether the log of the sender of m holds all that this one does.
func (r *Replica) upToDate(m *Message) bool {
	if m.LastTerm != r.log.lastTerm() {
		return m.LastTerm > r.log.lastTerm()
	}
	return m.LastIndex >= r.log.last()
}

// startPreVote asks whether an election could be won, so that a replica which was
// cut off does not raise the term for nothing.
func (r *Replica) startPreVote() {
	r.resetElection()
	if r.hearsLeader() {
		return
	}
	r.leader = ""
	r.campaign = campaign{active: true, preVote: true, term: r.vote.Term + 1, votes: map[fleet.HostID]bool{}}
	r.askVotes(KindPreVote)
	r.tally()
}

func (r *Replica) startVote() {
	r.setVote(Vote{Term: r.vote.Term + 1, For: r.identity.Host})
	r.campaign = campaign{active: true, term: r.vote.Term, votes: map[fleet.HostID]bool{}, saved: r.lastWrite()}
	r.resetElection()
	r.askVotes(KindVote)
}

// stepAside makes the voter that has most of the log stand for election, and stops
// leading. A leased answer must not be given any more, which the end of the leadership
// ensures.
func (r *Replica) stepAside() {
	if !r.leading {
		return
	}
	var heir Member
	best := fleet.Index(0)
	for _, m := range r.others() {
		if p := r.progressOf(m); m.Voter && p.match > best {
			heir, best = m, p.match
		}
	}
	if best < r.commit || best == 0 {
		return
	}
	r.sendDurably(r.message(KindHandover, heir))
	r.stepDown()
}

// receiveHandover stands for election at the wish of the leader.
func (r *Replica) receiveHandover(m *Message) {
	if m.Term != r.vote.Term || m.From != r.leader || !r.isVoter() {
		return
	}
	r.leader = ""
	r.handover = true
	r.startVote()
	r.handover = false
}

func (r *Replica) askVotes(kind Kind) {
	for _, p := range r.others() {
		if !p.Voter {
			continue
		}
		m := r.message(kind, p)
		m.Term = r.campaign.term
		m.LastIndex, m.LastTerm = r.log.last(), r.log.lastTerm()
		m.Handover = r.handover
		r.sendDurably(m)
	}
}

func (r *Replica) receivePreVote(m *Message) {
	answer := r.reply(KindPreVoteReply, m)
	answer.Granted = m.Term > r.vote.Term && r.upToDate(m) && !r.hearsLeader()
	if answer.Granted {
		answer.Term = m.Term
	}
	r.sendDurably(answer)
}

func (r *Replica) receivePreVoteReply(m *Message) {
	if !m.Granted {
		r.adoptTerm(m.Term)
		return
	}
	if r.campaign.active && r.campaign.preVote && m.Term == r.campaign.term {
		r.addVote(m)
	}
}

// receiveVote answers a candidate. While a leader is heard it is not even told the
// term, so that it can't depose one that works.
func (r *Replica) receiveVote(m *Message) {
	if r.hearsLeader() && !m.Handover {
		return
	}
	r.adoptTerm(m.Term)
	answer := r.reply(KindVoteReply, m)
	free := r.vote.For == "" || r.vote.For == m.From
	if m.Term == r.vote.Term && free && !r.leading && r.upToDate(m) {
		answer.Granted = true
		r.resetElection()
		if r.vote.For == "" {
			r.setVote(Vote{Term: m.Term, For: m.From})
		}
	}
	if r.cfg.Faults.SkipVoteSync {
		r.emit(Send{Message: answer})
		return
	}
	r.sendDurably(answer)
}

func (r *Replica) receiveVoteReply(m *Message) {
	r.adoptTerm(m.Term)
	if m.Granted && r.campaign.active && !r.campaign.preVote && m.Term == r.campaign.term {
		r.addVote(m)
	}
}

func (r *Replica) addVote(m *Message) {
	if _, voter := r.isMember(m.From, m.FromIncarnation); !voter {
		return
	}
	r.campaign.votes[m.From] = true
	r.tally()
}

// tally goes on to the vote or to leadership once a majority agrees. The replica's
// own vote counts when it is durable.
func (r *Replica) tally() {
	c := &r.campaign
	if !c.active {
		return
	}
	own := c.preVote || c.saved <= r.storage.durable
	won := r.majority(func(m Member) bool {
		return c.votes[m.Host] || own && r.isSelf(m)
	})
	if !won {
		return
	}
	if c.preVote {
		r.startVote()
		return
	}
	r.becomeLeader()
}

// LeaseHeld says whether no other leader can have been elected by now.
func (r *Replica) LeaseHeld(now time.Time) bool {
	return now.Before(r.LeaseEnd())
}

// LeaseEnd returns the moment up to which no other leader can be elected; the zero
// time when the replica does not lead.
func (r *Replica) LeaseEnd() time.Time {
	if !r.leading {
		return time.Time{}
	}
	if r.cfg.Faults.AnswerUnconfirmed {
		return r.now.Add(time.Hour)
	}
	confirmed, ok := r.confirmedAt()
	if !ok {
		return time.Time{}
	}
	return confirmed.Add(fleet.ShortenLease(MinElectionTimeout))
}
