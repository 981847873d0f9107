package quorum

import (
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// receiveFromLeader handles heartbeats, entries and snapshots, and rejects those of an
// earlier term.
func (r *Replica) receiveFromLeader(m *Message) {
	if m.Term < r.vote.Term {
		answer := r.reply(KindHeartbeatReply, m)
		r.sendAfterWrites(answer)
		return
	}
	r.adoptTerm(m.Term)
	if !r.checkOneLeader(m) {
		return
	}
	r.candidacy = candidacy{}
	r.leader, r.leaderHeardAt = m.From, r.now
	r.resetElectionTimeout()
	switch m.Kind {
	case KindHeartbeat:
		r.receiveHeartbeat(m)
	case KindAppend:
		r.receiveAppend(m)
	case KindSnapshot:
		r.receiveSnapshot(m)
	}
}

// receiveHeartbeat answers before entries are durable, since the answer acknowledges the
// leader's lease and no entries. Only a new term has to be durable first.
func (r *Replica) receiveHeartbeat(m *Message) {
	r.setCommit(min(m.Commit, r.log.last()))
	answer := r.reply(KindHeartbeatReply, m)
	answer.Sent = m.Sent
	r.sendAfterTermWrite(answer)
}

// receiveAppend stores entries that follow one that both logs hold, and acknowledges them once
// they are durable. Otherwise its reply contains the index after which the leader has to
// continue.
func (r *Replica) receiveAppend(m *Message) {
	answer := r.reply(KindAppendReply, m)
	if m.LastIndex < r.log.base {
		answer.Granted, answer.Match = true, r.commit
		r.sendAfterWrites(answer)
		return
	}
	if term, known := r.log.term(m.LastIndex); !known || term != m.LastTerm {
		// Everything up to the commit index agrees with any leader.
		answer.LastIndex = r.commit
		r.sendAfterWrites(answer)
		return
	}
	for _, e := range m.Entries {
		r.storeEntry(e)
	}
	answer.Granted, answer.Match = true, m.LastIndex+fleet.Index(len(m.Entries))
	r.setCommit(min(m.Commit, answer.Match))
	if r.cfg.Faults.SkipEntrySync {
		r.emit(Send{Message: answer})
		return
	}
	r.sendAfterWrites(answer)
}

// storeEntry appends an entry of the leader. A conflicting entry at its index is truncated
// with all after it.
func (r *Replica) storeEntry(e Entry) {
	if term, known := r.log.term(e.Index); known {
		if term == e.Term {
			return
		}
		invariant.Check(e.Index > r.commit, "CommittedPrefix", "entry %d of term %d would replace committed entry of term %d", e.Index, e.Term, term)
		r.truncateLog(e.Index)
	}
	r.log.append(e)
	r.save(Record{Entry: &e})
}

// receiveSnapshot collects the parts of a snapshot and restores it once it is complete.
func (r *Replica) receiveSnapshot(m *Message) {
	part := m.Snapshot
	if part.Index <= r.commit {
		answer := r.reply(KindAppendReply, m)
		answer.Granted, answer.Match = true, r.commit
		r.sendAfterWrites(answer)
		return
	}
	if r.incomingSnapshot == nil || r.incomingSnapshot.Index != part.Index || r.incomingSnapshot.Term != part.Term || part.Offset == 0 {
		r.incomingSnapshot = &SnapshotPart{Index: part.Index, Term: part.Term, Members: part.Members}
	}
	if part.Offset == len(r.incomingSnapshot.Data) {
		r.incomingSnapshot.Data = append(r.incomingSnapshot.Data, part.Data...)
	}
	if len(r.incomingSnapshot.Data) < part.Size {
		answer := r.reply(KindSnapshotReply, m)
		answer.LastIndex, answer.Offset = part.Index, len(r.incomingSnapshot.Data)
		r.emit(Send{Message: answer})
		return
	}
	r.adoptSnapshot()
	answer := r.reply(KindAppendReply, m)
	answer.Granted, answer.Match = true, part.Index
	r.sendAfterWrites(answer)
}

// adoptSnapshot restores the completed snapshot and keeps the entries after it if the log
// agrees with it.
func (r *Replica) adoptSnapshot() {
	in := r.incomingSnapshot
	r.incomingSnapshot = nil
	if err := r.cfg.Machine.Restore(in.Data); err != nil {
		invariant.Check(false, "SnapshotRestored", "snapshot %d of the leader: %s", in.Index, err)
		return
	}
	snapshot := Snapshot{Index: in.Index, Term: in.Term, Members: in.Members, Data: in.Data}
	if term, known := r.log.term(in.Index); known && term == in.Term {
		r.log.compact(snapshot)
	} else {
		r.truncateLog(r.log.snapshot.Index + 1)
		r.log = newEntryLog(snapshot)
	}
	r.commit, r.applied = in.Index, in.Index
	r.rewriteStorage()
}

// sendAfterTermWrite sends m once the current term is durable.
func (r *Replica) sendAfterTermWrite(m Message) {
	if r.storage.termWrite <= r.storage.durable {
		r.emit(Send{Message: m})
		return
	}
	r.sendAfterWrites(m)
}

// termLeader is the leader observed in a term.
type termLeader struct {
	term fleet.Term
	host fleet.HostID
}

// checkOneLeader checks the invariant that a term has one leader, and reports whether m
// complies.
func (r *Replica) checkOneLeader(m *Message) bool {
	seen := termLeader{term: m.Term, host: m.From}
	if r.lastLeader.term != m.Term {
		r.lastLeader = seen
	}
	return invariant.Check(r.lastLeader == seen && !r.leading, "OneLeaderPerTerm",
		"%s and %s both lead term %d", r.lastLeader.host, m.From, m.Term)
}
