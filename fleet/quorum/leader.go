package quorum

import (
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// leadership is the state of a leader.
type leadership struct {
	since     time.Time
	first     fleet.Index
	heartbeat time.Time
	peers     map[fleet.HostID]*progress
	proposals []proposal
}

// proposal is a command that waits for its commitment.
type proposal struct {
	index fleet.Index
	id    ProposalID
}

// progress is what a leader knows of another member.
type progress struct {
	incarnation fleet.Incarnation
	// since is when this leader took the member up.
	since time.Time
	match fleet.Index
	next  fleet.Index
	// waiting is set while an answer to entries or a snapshot part is awaited.
	waiting bool
	sent    time.Time
	// confirmed is when the newest answered heartbeat was sent.
	confirmed time.Time
	// snapshot and offset tell how far the transfer of a snapshot is.
	snapshot fleet.Index
	offset   int
}

// becomeLeader takes up leadership with an entry of its own term: only its commitment
// tells that all earlier entries are committed.
func (r *Replica) becomeLeader() {
	r.campaign = campaign{}
	r.leading, r.leader = true, r.identity.Host
	r.termLead = termLeader{term: r.vote.Term, host: r.identity.Host}
	r.lead = leadership{since: r.now, first: r.log.last() + 1, peers: map[fleet.HostID]*progress{}}
	r.appendEntry(Entry{Kind: EntryMembers, Members: r.members()})
	r.tickLeader()
}

// appendEntry adds an entry of this term to the log.
func (r *Replica) appendEntry(e Entry) fleet.Index {
	e.Index, e.Term = r.log.last()+1, r.vote.Term
	r.log.append(e)
	r.save(Record{Entry: &e})
	return e.Index
}

func (r *Replica) propose(p Propose) {
	if !r.Ready() {
		r.emit(Dropped{ID: p.ID, Refused: true})
		return
	}
	i := r.appendEntry(Entry{Kind: EntryCommand, Data: p.Data})
	r.lead.proposals = append(r.lead.proposals, proposal{index: i, id: p.ID})
	r.replicate()
}

// Ready says whether the replica leads and knows all that was ever committed.
func (r *Replica) Ready() bool { return r.leading && r.applied >= r.lead.first }

func (r *Replica) tickLeader() {
	lost := r.now.Sub(r.lead.since) > MaxElectionTimeout && !r.contactWithin(MaxElectionTimeout)
	if lost && !r.cfg.Faults.AnswerUnconfirmed {
		r.stepDown()
		return
	}
	if !r.now.Before(r.lead.heartbeat) {
		r.lead.heartbeat = r.now.Add(HeartbeatInterval)
		r.sendHeartbeats()
	}
	r.promote()
	r.tend()
	r.replicate()
}

// confirm asks all members at once whether they still follow this leader.
func (r *Replica) confirm() {
	if !r.leading {
		return
	}
	r.lead.heartbeat = r.now.Add(HeartbeatInterval)
	r.sendHeartbeats()
}

// ConfirmedSince says whether a majority followed this leader at some moment since t.
func (r *Replica) ConfirmedSince(t time.Time) bool {
	at, ok := r.confirmedAt()
	return r.leading && ok && !at.Before(t)
}

func (r *Replica) sendHeartbeats() {
	for _, p := range r.others() {
		m := r.message(KindHeartbeat, p)
		m.Commit = min(r.commit, r.progressOf(p).match)
		m.Sent = r.now.Sub(r.started)
		r.emit(Send{Message: m})
	}
}

// progressOf returns the progress of a member, made anew for a new incarnation.
func (r *Replica) progressOf(m Member) *progress {
	p := r.lead.peers[m.Host]
	if p == nil || p.incarnation != m.Incarnation {
		p = &progress{incarnation: m.Incarnation, since: r.now, next: r.log.last() + 1}
		r.lead.peers[m.Host] = p
	}
	return p
}

// replicate sends each member what it lacks, one batch at a time: whatever is
// proposed while a batch is on its way goes into the next.
func (r *Replica) replicate() {
	for _, m := range r.others() {
		p := r.progressOf(m)
		if p.waiting && r.now.Sub(p.sent) < resendInterval {
			continue
		}
		if p.waiting {
			p.next = p.match + 1
		}
		if p.match >= r.log.last() {
			p.waiting = false
			continue
		}
		p.waiting, p.sent = true, r.now
		r.sendEntries(m, p)
	}
}

func (r *Replica) sendEntries(to Member, p *progress) {
	term, known := r.log.term(p.next - 1)
	if !known {
		r.sendSnapshot(to, p)
		return
	}
	m := r.message(KindAppend, to)
	m.LastIndex, m.LastTerm = p.next-1, term
	m.Entries = r.log.from(p.next, maxAppendEntries, maxAppendBytes)
	m.Commit = r.commit
	r.emit(Send{Message: m})
}

func (r *Replica) sendSnapshot(to Member, p *progress) {
	s := &r.log.snapshot
	if p.snapshot != s.Index {
		p.snapshot, p.offset = s.Index, 0
	}
	end := min(p.offset+snapshotPartSize, len(s.Data))
	m := r.message(KindSnapshot, to)
	m.Snapshot = &SnapshotPart{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Size: len(s.Data), Offset: p.offset, Data: s.Data[p.offset:end],
	}
	r.emit(Send{Message: m})
}

// receiveFromFollower handles the answers to a leader.
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
		if sent := r.started.Add(m.Sent); sent.After(p.confirmed) {
			p.confirmed = sent
		}
	case KindAppendReply:
		r.receiveAppendReply(p, m)
	case KindSnapshotReply:
		// The offset goes back when the follower was restarted in between.
		if p.snapshot == m.LastIndex && m.Offset != p.offset {
			p.offset, p.waiting = m.Offset, false
		}
	}
	r.replicate()
}

func (r *Replica) receiveAppendReply(p *progress, m *Message) {
	if !m.Granted {
		if m.LastIndex+1 < p.next {
			p.next, p.waiting = max(m.LastIndex, p.match)+1, false
		}
		return
	}
	p.waiting = false
	p.match = max(p.match, m.Match)
	p.next = p.match + 1
	r.advanceCommit()
}

// advanceCommit commits what a majority has on disk. Entries of earlier terms are
// committed by one of this term after them.
func (r *Replica) advanceCommit() {
	i := r.majorityMatch()
	term, known := r.log.term(i)
	if i <= r.commit || !known || term != r.vote.Term && !r.cfg.Faults.CommitOldTerms {
		return
	}
	r.setCommit(i)
}

// majorityMatch returns the last entry that more than half of the voters have on disk.
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

// confirmedAt returns the latest moment at which a majority is known to have heard
// this leader.
func (r *Replica) confirmedAt() (time.Time, bool) {
	var times []time.Time
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case r.isSelf(m):
			times = append(times, r.now)
		default:
			times = append(times, r.progressOf(m).confirmed)
		}
	}
	if len(times) == 0 {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	at := times[len(times)/2]
	return at, !at.IsZero()
}

// contactWithin says whether a majority answered heartbeats sent within d.
func (r *Replica) contactWithin(d time.Duration) bool {
	at, ok := r.confirmedAt()
	return ok && r.now.Sub(at) < d
}
