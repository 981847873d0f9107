package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// entryLog holds the last snapshot, the entries after it, and in memory also some
// entries before its end.
type entryLog struct {
	snapshot Snapshot
	// base is the entry before the first one kept, baseTerm its term.
	base     fleet.Index
	baseTerm fleet.Term
	entries  []Entry
	// bytes is the size of the commands after the snapshot.
	bytes int
}

// newEntryLog makes a log that begins with a snapshot.
func newEntryLog(s Snapshot) entryLog {
	return entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
}

func (l *entryLog) last() fleet.Index { return l.base + fleet.Index(len(l.entries)) }

func (l *entryLog) lastTerm() fleet.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i and whether it is known.
func (l *entryLog) term(i fleet.Index) (fleet.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.at(i).Term, true
}

// at returns the entry at i, which is after the base and not after the last.
func (l *entryLog) at(i fleet.Index) *Entry { return &l.entries[i-l.base-1] }

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// truncate drops all entries from i on, which is after the snapshot.
func (l *entryLog) truncate(i fleet.Index) {
	for j := i; j <= l.last(); j++ {
		l.bytes -= len(l.at(j).Data)
	}
	l.entries = l.entries[:i-l.base-1]
}

// from returns entries from i on, bounded by count and bytes but at least one.
func (l *entryLog) from(i fleet.Index, most, mostBytes int) []Entry {
	var out []Entry
	for size := 0; i <= l.last() && len(out) < most; i++ {
		e := l.at(i)
		if size += len(e.Data); size > mostBytes && len(out) > 0 {
			break
		}
		out = append(out, *e)
	}
	return out
}

// compact makes s the snapshot, which covers entries of this log, and drops those that
// are far before its end.
func (l *entryLog) compact(s Snapshot) {
	l.snapshot = s
	if first := l.firstKept(s.Index); first > l.base {
		l.baseTerm, _ = l.term(first)
		l.entries = append([]Entry(nil), l.entries[first-l.base:]...)
		l.base = first
	}
	l.bytes = 0
	for _, e := range l.after() {
		l.bytes += len(e.Data)
	}
}

// firstKept returns the entry before the first one that is kept with a snapshot at i.
func (l *entryLog) firstKept(i fleet.Index) fleet.Index {
	size := 0
	for first := i; first > l.base; first-- {
		size += len(l.at(first).Data)
		if size > maxKeptBytes || i-first >= keptEntries {
			return first
		}
	}
	return l.base
}

// after returns the entries after the snapshot.
func (l *entryLog) after() []Entry { return l.entries[l.snapshot.Index-l.base:] }

// members returns the members that the newest Members entry up to i names.
func (l *entryLog) members(i fleet.Index) []Member {
	for ; i > l.snapshot.Index; i-- {
		if e := l.at(i); e.Kind == EntryMembers {
			return e.Members
		}
	}
	return l.snapshot.Members
}
