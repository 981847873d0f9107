package quorum

import (
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// receiveFromLeader handles what the leader of a term sends.
func (r *Replica) receiveFromLeader(m *Message) {
	if m.Term < r.vote.Term {
		answer := r.reply(KindHeartbeatReply, m)
		r.sendDurably(answer)
		return
	}
	r.adoptTerm(m.Term)
	if !r.followsOneLeader(m) {
		return
	}
	r.campaign = campaign{}
	r.leader, r.heard = m.From, r.now
	r.resetElection()
	switch m.Kind {
	case KindHeartbeat:
		r.receiveHeartbeat(m)
	case KindAppend:
		r.receiveAppend(m)
	case KindSnapshot:
		r.receiveSnapshot(m)
	}
}

// receiveHeartbeat answers at once: the answer promises to hear the leader, and says
// nothing of entries. Only a new term has to be durable before.
func (r *Replica) receiveHeartbeat(m *Message) {
	r.setCommit(min(m.Commit, r.log.last()))
	answer := r.reply(KindHeartbeatReply, m)
	answer.Sent = m.Sent
	r.sendInTerm(answer)
}

func (r *Replica) receiveAppend(m *Message) {
	answer := r.reply(KindAppendReply, m)
	if m.LastIndex < r.log.base {
		answer.Granted, answer.Match = true, r.commit
		r.sendDurably(answer)
		return
	}
	if term, known := r.log.term(m.LastIndex); !known || term != m.LastTerm {
		// Everything up to the commit index agrees with any leader.
		answer.LastIndex = r.commit
		r.sendDurably(answer)
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
	r.sendDurably(answer)
}

// storeEntry adds an entry of the leader, in place of any other from its index on.
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

// receiveSnapshot collects the parts of a snapshot and adopts it once it is whole.
func (r *Replica) receiveSnapshot(m *Message) {
	part := m.Snapshot
	if part.Index <= r.commit {
		answer := r.reply(KindAppendReply, m)
		answer.Granted, answer.Match = true, r.commit
		r.sendDurably(answer)
		return
	}
	if r.incoming == nil || r.incoming.Index != part.Index || r.incoming.Term != part.Term || part.Offset == 0 {
		r.incoming = &SnapshotPart{Index: part.Index, Term: part.Term, Members: part.Members}
	}
	if part.Offset == len(r.incoming.Data) {
		r.incoming.Data = append(r.incoming.Data, part.Data...)
	}
	if len(r.incoming.Data) < part.Size {
		answer := r.reply(KindSnapshotReply, m)
		answer.LastIndex, answer.Offset = part.Index, len(r.incoming.Data)
		r.emit(Send{Message: answer})
		return
	}
	r.adoptSnapshot()
	answer := r.reply(KindAppendReply, m)
	answer.Granted, answer.Match = true, part.Index
	r.sendDurably(answer)
}

func (r *Replica) adoptSnapshot() {
	in := r.incoming
	r.incoming = nil
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
	r.rewrite()
}

// sendInTerm sends once the current term is durable.
func (r *Replica) sendInTerm(m Message) {
	if r.storage.term <= r.storage.durable {
		r.emit(Send{Message: m})
		return
	}
	r.sendDurably(m)
}

// termLeader is the leader that was seen in a term.
type termLeader struct {
	term fleet.Term
	host fleet.HostID
}

// followsOneLeader checks that no other leader was seen in the term of m.
func (r *Replica) followsOneLeader(m *Message) bool {
	seen := termLeader{term: m.Term, host: m.From}
	if r.termLead.term != m.Term {
		r.termLead = seen
	}
	return invariant.Check(r.termLead == seen && !r.leading, "OneLeaderPerTerm",
		"%s and %s both lead term %d", r.termLead.host, m.From, m.Term)
}
