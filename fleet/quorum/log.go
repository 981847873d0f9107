package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	bytes    int
}

func (l *entryLog) last() fleet.Index { return l.snapshot.Index + fleet.Index(len(l.entries)) }

func (l *entryLog) lastTerm() fleet.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i and whether it is known.
func (l *entryLog) term(i fleet.Index) (fleet.Term, bool) {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term, true
	case i < l.snapshot.Index || i > l.last():
		return 0, false
	}
	return l.at(i).Term, true
}

// at returns the entry at i, which is after the snapshot and not after the last.
func (l *entryLog) at(i fleet.Index) *Entry { return &l.entries[i-l.snapshot.Index-1] }

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// truncate drops all entries from i on.
func (l *entryLog) truncate(i fleet.Index) {
	for j := i; j <= l.last(); j++ {
		l.bytes -= len(l.at(j).Data)
	}
	l.entries = l.entries[:i-l.snapshot.Index-1]
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

// compact makes s the snapshot and drops the entries that it covers.
func (l *entryLog) compact(s Snapshot) {
	var rest []Entry
	if s.Index < l.last() {
		rest = append(rest, l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot, l.entries, l.bytes = s, rest, 0
	for i := range rest {
		l.bytes += len(rest[i].Data)
	}
}

// members returns the members that the newest Members entry up to i names.
func (l *entryLog) members(i fleet.Index) []Member {
	for ; i > l.snapshot.Index; i-- {
		if e := l.at(i); e.Kind == EntryMembers {
			return e.Members
		}
	}
	return l.snapshot.Members
}
