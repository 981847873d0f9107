package quorum

import (
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// leadership is the state of a leader in its term.
type leadership struct {
	electedAt time.Time
	// firstIndex is the first entry of this term.
	firstIndex fleet.Index
	// nextHeartbeat is when heartbeats are due.
	nextHeartbeat time.Time
	// progress holds the state of replication to each other member.
	progress map[fleet.HostID]*progress
	// proposals holds the uncommitted proposals by index.
	proposals []proposal
}

// proposal is an appended command that awaits its commitment.
type proposal struct {
	index fleet.Index
	id    ProposalID
}

// progress is the leader's view of another member.
type progress struct {
	incarnation fleet.Incarnation
	// trackedSince is when this leader began to track the member.
	trackedSince time.Time
	// match is the last entry that the member has on disk in agreement with the leader.
	match fleet.Index
	// next is the first entry to send.
	next fleet.Index
	// awaitingReply is set between sending entries or a snapshot part and the reply to it.
	awaitingReply bool
	sentAt        time.Time
	// confirmedAt is when the latest answered heartbeat was sent.
	confirmedAt time.Time
	// snapshotIndex is the snapshot under transfer, snapshotOffset the bytes of it that the
	// member has.
	snapshotIndex  fleet.Index
	snapshotOffset int
}

// becomeLeader starts leadership with an entry of the new term: as in Raft, only its
// commitment proves that all earlier entries are committed.
func (r *Replica) becomeLeader() {
	r.candidacy = candidacy{}
	r.leading, r.leader = true, r.identity.Host
	r.lastLeader = termLeader{term: r.vote.Term, host: r.identity.Host}
	r.leadership = leadership{electedAt: r.now, firstIndex: r.log.last() + 1, progress: map[fleet.HostID]*progress{}}
	r.appendEntry(Entry{Kind: EntryMembers, Members: r.members()})
	r.tickLeader()
}

// appendEntry appends an entry of this term to the log and returns its index.
func (r *Replica) appendEntry(e Entry) fleet.Index {
	e.Index, e.Term = r.log.last()+1, r.vote.Term
	r.log.append(e)
	r.save(Record{Entry: &e})
	return e.Index
}

// propose appends a command and replicates it, or refuses it if the replica is not ready.
func (r *Replica) propose(p Propose) {
	if !r.Ready() {
		r.emit(Dropped{ID: p.ID, Refused: true})
		return
	}
	i := r.appendEntry(Entry{Kind: EntryCommand, Data: p.Data})
	r.leadership.proposals = append(r.leadership.proposals, proposal{index: i, id: p.ID})
	r.replicate()
}

// Ready reports whether the replica leads and has applied all that was committed in
// earlier terms.
func (r *Replica) Ready() bool { return r.leading && r.applied >= r.leadership.firstIndex }

// tickLeader steps down if no majority has answered for MaxElectionTimeout; otherwise it
// sends due heartbeats, maintains the membership and replicates.
func (r *Replica) tickLeader() {
	lostQuorum := r.now.Sub(r.leadership.electedAt) > MaxElectionTimeout && !r.confirmedWithin(MaxElectionTimeout)
	if lostQuorum && !r.cfg.Faults.SkipQuorumCheck {
		r.stepDown()
		return
	}
	if !r.now.Before(r.leadership.nextHeartbeat) {
		r.leadership.nextHeartbeat = r.now.Add(HeartbeatInterval)
		r.sendHeartbeats()
	}
	r.promoteLearner()
	r.maintainMembership()
	r.replicate()
}

// confirmLeadership sends heartbeats at once.
func (r *Replica) confirmLeadership() {
	if !r.leading {
		return
	}
	r.leadership.nextHeartbeat = r.now.Add(HeartbeatInterval)
	r.sendHeartbeats()
}

// ConfirmedSince reports whether the replica leads and a majority has acknowledged a
// heartbeat sent at t or later.
func (r *Replica) ConfirmedSince(t time.Time) bool {
	at, ok := r.confirmedAt()
	return r.leading && ok && !at.Before(t)
}

// sendHeartbeats sends heartbeats, which renew the lease and carry the commit index, to all
// other members.
func (r *Replica) sendHeartbeats() {
	for _, p := range r.others() {
		m := r.message(KindHeartbeat, p)
		m.Commit = min(r.commit, r.progressOf(p).match)
		m.Sent = r.now.Sub(r.started)
		r.emit(Send{Message: m})
	}
}

// progressOf returns the progress of a member; a new incarnation starts with a new one.
func (r *Replica) progressOf(m Member) *progress {
	p := r.leadership.progress[m.Host]
	if p == nil || p.incarnation != m.Incarnation {
		p = &progress{incarnation: m.Incarnation, trackedSince: r.now, next: r.log.last() + 1}
		r.leadership.progress[m.Host] = p
	}
	return p
}

// replicate sends each member the entries that it lacks, one batch at a time: entries
// proposed while a batch is in flight go into the next one.
func (r *Replica) replicate() {
	for _, m := range r.others() {
		p := r.progressOf(m)
		if p.awaitingReply && r.now.Sub(p.sentAt) < resendInterval {
			continue
		}
		if p.awaitingReply {
			p.next = p.match + 1
		}
		if p.match >= r.log.last() {
			p.awaitingReply = false
			continue
		}
		p.awaitingReply, p.sentAt = true, r.now
		r.sendEntries(m, p)
	}
}

// sendEntries sends entries from p.next on, or the snapshot if the log no longer has them.
func (r *Replica) sendEntries(to Member, p *progress) {
	term, known := r.log.term(p.next - 1)
	if !known {
		r.sendSnapshot(to, p)
		return
	}
	m := r.message(KindAppend, to)
	m.LastIndex, m.LastTerm = p.next-1, term
	m.Entries = r.log.batch(p.next, maxAppendEntries, maxAppendBytes)
	m.Commit = r.commit
	r.emit(Send{Message: m})
}

// sendSnapshot sends the next part of the latest snapshot.
func (r *Replica) sendSnapshot(to Member, p *progress) {
	s := &r.log.snapshot
	if p.snapshotIndex != s.Index {
		p.snapshotIndex, p.snapshotOffset = s.Index, 0
	}
	end := min(p.snapshotOffset+snapshotPartSize, len(s.Data))
	m := r.message(KindSnapshot, to)
	m.Snapshot = &SnapshotPart{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Size: len(s.Data), Offset: p.snapshotOffset, Data: s.Data[p.snapshotOffset:end],
	}
	r.emit(Send{Message: m})
}

// receiveFromFollower updates a member's progress from its reply.
func (r *Replica) receiveFromFollower(m *Message) {
	r.adoptTerm(m.Term)
	if !r.leading || m.Term != r.vote.Term {
		return
	}
	member, _ := r.isMember(m.From, m.FromIncarnation)
	if !member {
		return
	}
	p := r.progressOf(Member{Host: m.From, Incarnation: m.FromIncarnation})
	switch m.Kind {
	case KindHeartbeatReply:
		if sent := r.started.Add(m.Sent); sent.After(p.confirmedAt) {
			p.confirmedAt = sent
		}
	case KindAppendReply:
		r.receiveAppendReply(p, m)
	case KindSnapshotReply:
		// A follower that restarted during the transfer reports a lower offset.
		if p.snapshotIndex == m.LastIndex && m.Offset != p.snapshotOffset {
			p.snapshotOffset, p.awaitingReply = m.Offset, false
		}
	}
	r.replicate()
}

// receiveAppendReply advances the member's match index, or moves next back after a
// rejected Append.
func (r *Replica) receiveAppendReply(p *progress, m *Message) {
	if !m.Granted {
		if m.LastIndex+1 < p.next {
			p.next, p.awaitingReply = max(m.LastIndex, p.match)+1, false
		}
		return
	}
	p.awaitingReply = false
	p.match = max(p.match, m.Match)
	p.next = p.match + 1
	r.advanceCommit()
}

// advanceCommit commits what a majority has on disk. Entries of earlier terms are not
// committed by counting replicas, only with a later entry of this term.
func (r *Replica) advanceCommit() {
	i := r.majorityMatch()
	term, known := r.log.term(i)
	if i <= r.commit || !known || term != r.vote.Term && !r.cfg.Faults.CommitOldTerms {
		return
	}
	r.setCommit(i)
}

// majorityMatch returns the last entry that a majority of the voters has on disk.
func (r *Replica) majorityMatch() fleet.Index {
	var matches []fleet.Index
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case r.isSelf(m):
			matches = append(matches, r.storage.index)
		default:
			matches = append(matches, r.progressOf(m).match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	return matches[len(matches)/2]
}

// confirmedAt returns the send time of the latest heartbeats that a majority of the voters
// has acknowledged, and false if there are none.
func (r *Replica) confirmedAt() (time.Time, bool) {
	var times []time.Time
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case r.isSelf(m):
			times = append(times, r.now)
		default:
			times = append(times, r.progressOf(m).confirmedAt)
		}
	}
	if len(times) == 0 {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	at := times[len(times)/2]
	return at, !at.IsZero()
}

// confirmedWithin reports whether a majority acknowledged heartbeats sent less than d ago.
func (r *Replica) confirmedWithin(d time.Duration) bool {
	at, ok := r.confirmedAt()
	return ok && r.now.Sub(at) < d
}
