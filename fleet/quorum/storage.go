package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// storageState tracks which state has reached the disk.
type storageState struct {
	// unwritten holds the records of the current event. With replaceAll they replace
	// everything stored.
	unwritten  []Record
	replaceAll bool
	sequence   fleet.Sequence
	// durable is the latest Write known to be durable.
	durable fleet.Sequence
	// termWrite is the sequence of the Write that holds the current term and vote.
	termWrite fleet.Sequence
	// index is the last entry that is durable.
	index fleet.Index
	// commit is the highest commit index stored in a record.
	commit fleet.Index
	// pendingWrites lists the Writes that are not durable yet.
	pendingWrites []pendingWrite
	// held lists the messages to send once a Write is durable, oldest first.
	held []heldMessage
}

// pendingWrite holds the last entry of the log that is durable once a Write is.
type pendingWrite struct {
	sequence fleet.Sequence
	index    fleet.Index
}

// heldMessage is a message to send once the Write with this sequence is durable.
type heldMessage struct {
	sequence fleet.Sequence
	message  Message
}

// save adds a record to the Write of the current event.
func (r *Replica) save(rec Record) { r.storage.unwritten = append(r.storage.unwritten, rec) }

// lastWrite returns the sequence of the latest Write, including that of the current event.
func (r *Replica) lastWrite() fleet.Sequence {
	if len(r.storage.unwritten) > 0 {
		return r.storage.sequence + 1
	}
	return r.storage.sequence
}

// sendAfterWrites sends m once everything saved so far is durable.
func (r *Replica) sendAfterWrites(m Message) {
	if r.lastWrite() == r.storage.durable {
		r.emit(Send{Message: m})
		return
	}
	r.storage.held = append(r.storage.held, heldMessage{sequence: r.lastWrite(), message: m})
}

// flush emits the Write of the current event, if there is anything to write.
func (r *Replica) flush() {
	s := &r.storage
	if len(s.unwritten) == 0 {
		return
	}
	s.sequence++
	s.pendingWrites = append(s.pendingWrites, pendingWrite{sequence: s.sequence, index: r.log.last()})
	r.emit(Write{Sequence: s.sequence, Replace: s.replaceAll, Records: s.unwritten})
	s.unwritten, s.replaceAll = nil, false
}

// truncateLog drops the entries from i on. They no longer count as durable.
func (r *Replica) truncateLog(i fleet.Index) {
	r.log.truncate(i)
	s := &r.storage
	s.index = min(s.index, i-1)
	for j := range s.pendingWrites {
		s.pendingWrites[j].index = min(s.pendingWrites[j].index, i-1)
	}
}

// written handles the durability of all Writes up to seq.
func (r *Replica) written(seq fleet.Sequence) {
	s := &r.storage
	s.durable = max(s.durable, seq)
	for len(s.pendingWrites) > 0 && s.pendingWrites[0].sequence <= s.durable {
		s.index = max(s.index, s.pendingWrites[0].index)
		s.pendingWrites = s.pendingWrites[1:]
	}
	for len(s.held) > 0 && s.held[0].sequence <= s.durable {
		r.emit(Send{Message: s.held[0].message})
		s.held = s.held[1:]
	}
	if r.leading {
		r.advanceCommit()
	}
	r.countVotes()
}

// takeSnapshot snapshots the state machine and compacts the log once it holds
// SnapshotEntries entries and at least half the size of the last snapshot, or maxLogBytes.
func (r *Replica) takeSnapshot() {
	covered := int(r.applied - r.log.snapshot.Index)
	due := covered >= r.cfg.SnapshotEntries && r.log.bytes >= len(r.log.snapshot.Data)/2
	if covered == 0 || !due && r.log.bytes < maxLogBytes {
		return
	}
	term, _ := r.log.term(r.applied)
	r.log.compact(Snapshot{
		Index: r.applied, Term: term,
		Members: r.log.members(r.applied), Data: r.cfg.Machine.Snapshot(),
	})
	r.rewriteStorage()
}

// rewriteStorage replaces everything stored by the current state.
func (r *Replica) rewriteStorage() {
	identity, vote, snapshot := r.identity, r.vote, r.log.snapshot
	records := []Record{{Identity: &identity}, {Vote: &vote}}
	if len(r.initial) > 0 {
		records = append(records, Record{Initial: &Initial{Members: r.initial}})
	}
	records = append(records, Record{Snapshot: &snapshot})
	for _, e := range r.log.afterSnapshot() {
		records = append(records, Record{Entry: &e})
	}
	r.storage.unwritten, r.storage.replaceAll = records, true
}
