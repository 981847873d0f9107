package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// entryLog holds the last snapshot, the entries after it, and some retained entries that
// the snapshot covers.
type entryLog struct {
	snapshot Snapshot
	// base is the index before the first entry in memory, baseTerm its term.
	base     fleet.Index
	baseTerm fleet.Term
	entries  []Entry
	// bytes is the total size of the commands after the snapshot.
	bytes int
}

// newEntryLog returns a log that begins after a snapshot.
func newEntryLog(s Snapshot) entryLog {
	return entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
}

func (l *entryLog) last() fleet.Index { return l.base + fleet.Index(len(l.entries)) }

func (l *entryLog) lastTerm() fleet.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, and false if the log no longer or not yet holds it.
func (l *entryLog) term(i fleet.Index) (fleet.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.at(i).Term, true
}

// at returns the entry at i, which must be after base and not after the last entry.
func (l *entryLog) at(i fleet.Index) *Entry { return &l.entries[i-l.base-1] }

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// truncate drops all entries from i on. i must be after the snapshot.
func (l *entryLog) truncate(i fleet.Index) {
	for j := i; j <= l.last(); j++ {
		l.bytes -= len(l.at(j).Data)
	}
	l.entries = l.entries[:i-l.base-1]
}

// batch returns entries from i on, at most maxEntries of them and maxBytes of commands,
// but at least one if there is one.
func (l *entryLog) batch(i fleet.Index, maxEntries, maxBytes int) []Entry {
	var out []Entry
	for size := 0; i <= l.last() && len(out) < maxEntries; i++ {
		e := l.at(i)
		if size += len(e.Data); size > maxBytes && len(out) > 0 {
			break
		}
		out = append(out, *e)
	}
	return out
}

// compact replaces the snapshot by s, which must cover entries of this log, and drops
// covered entries beyond maxRetainedEntries or maxRetainedBytes.
func (l *entryLog) compact(s Snapshot) {
	l.snapshot = s
	if first := l.retentionBase(s.Index); first > l.base {
		l.baseTerm, _ = l.term(first)
		l.entries = append([]Entry(nil), l.entries[first-l.base:]...)
		l.base = first
	}
	l.bytes = 0
	for _, e := range l.afterSnapshot() {
		l.bytes += len(e.Data)
	}
}

// retentionBase returns the new base of a log with a snapshot at i.
func (l *entryLog) retentionBase(i fleet.Index) fleet.Index {
	size := 0
	for first := i; first > l.base; first-- {
		size += len(l.at(first).Data)
		if size > maxRetainedBytes || i-first >= maxRetainedEntries {
			return first
		}
	}
	return l.base
}

// afterSnapshot returns the entries after the snapshot.
func (l *entryLog) afterSnapshot() []Entry { return l.entries[l.snapshot.Index-l.base:] }

// members returns the members of the latest EntryMembers up to i.
func (l *entryLog) members(i fleet.Index) []Member {
	for ; i > l.snapshot.Index; i-- {
		if e := l.at(i); e.Kind == EntryMembers {
			return e.Members
		}
	}
	return l.snapshot.Members
}
