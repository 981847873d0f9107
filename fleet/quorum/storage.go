package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// storageState tracks what has reached the disk.
type storageState struct {
	dirty    []Record
	replace  bool
	sequence fleet.Sequence
	durable  fleet.Sequence
	// term is the Write that holds the current term and vote.
	term fleet.Sequence
	// index is the last entry that is durable.
	index fleet.Index
	// commit is the last entry that a record tells to be committed.
	commit fleet.Index
	marks  []mark
	held   []heldMessage
}

// mark tells which entry is durable with a Write.
type mark struct {
	sequence fleet.Sequence
	index    fleet.Index
}

// heldMessage waits for a Write.
type heldMessage struct {
	sequence fleet.Sequence
	message  Message
}

// save adds a record to the Write of this event.
func (r *Replica) save(rec Record) { r.storage.dirty = append(r.storage.dirty, rec) }

// lastWrite returns the sequence of the last Write, that of this event included.
func (r *Replica) lastWrite() fleet.Sequence {
	if len(r.storage.dirty) > 0 {
		return r.storage.sequence + 1
	}
	return r.storage.sequence
}

// sendDurably sends once everything saved so far is durable.
func (r *Replica) sendDurably(m Message) {
	if r.lastWrite() == r.storage.durable {
		r.emit(Send{Message: m})
		return
	}
	r.storage.held = append(r.storage.held, heldMessage{sequence: r.lastWrite(), message: m})
}

// flush asks for the Write of this event.
func (r *Replica) flush() {
	s := &r.storage
	if len(s.dirty) == 0 {
		return
	}
	s.sequence++
	s.marks = append(s.marks, mark{sequence: s.sequence, index: r.log.last()})
	r.emit(Write{Sequence: s.sequence, Replace: s.replace, Records: s.dirty})
	s.dirty, s.replace = nil, false
}

// truncateLog drops the entries from i on, which other entries take the place of.
func (r *Replica) truncateLog(i fleet.Index) {
	r.log.truncate(i)
	s := &r.storage
	s.index = min(s.index, i-1)
	for j := range s.marks {
		s.marks[j].index = min(s.marks[j].index, i-1)
	}
}

// written records that all Writes up to seq are durable.
func (r *Replica) written(seq fleet.Sequence) {
	s := &r.storage
	s.durable = max(s.durable, seq)
	for len(s.marks) > 0 && s.marks[0].sequence <= s.durable {
		s.index = max(s.index, s.marks[0].index)
		s.marks = s.marks[1:]
	}
	for len(s.held) > 0 && s.held[0].sequence <= s.durable {
		r.emit(Send{Message: s.held[0].message})
		s.held = s.held[1:]
	}
	if r.leading {
		r.advanceCommit()
	}
	r.tally()
}

// takeSnapshot snapshots the state machine and drops the entries it covers, when
// there are enough of them to be worth the write.
func (r *Replica) takeSnapshot() {
	covered := int(r.applied - r.log.snapshot.Index)
	worthwhile := covered >= r.cfg.SnapshotEntries && r.log.bytes >= len(r.log.snapshot.Data)/2
	if covered == 0 || !worthwhile && r.log.bytes < maxLogBytes {
		return
	}
	term, _ := r.log.term(r.applied)
	r.log.compact(Snapshot{
		Index: r.applied, Term: term,
		Members: r.log.members(r.applied), Data: r.cfg.Machine.Snapshot(),
	})
	r.rewrite()
}

// rewrite replaces everything stored by the present state.
func (r *Replica) rewrite() {
	identity, vote, snapshot := r.identity, r.vote, r.log.snapshot
	records := []Record{{Identity: &identity}, {Vote: &vote}}
	if len(r.initial) > 0 {
		records = append(records, Record{Initial: &Initial{Members: r.initial}})
	}
	records = append(records, Record{Snapshot: &snapshot})
	for _, e := range r.log.after() {
		records = append(records, Record{Entry: &e})
	}
	r.storage.dirty, r.storage.replace = records, true
}
