package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// setCommit raises the commit index to i and applies the newly committed entries.
func (r *Replica) setCommit(i fleet.Index) {
	if i <= r.commit {
		return
	}
	r.applyTo(i)
	if r.cfg.RecordCommits && i > r.storage.commit {
		r.storage.commit = i
		r.save(Record{Commit: &i})
	}
	r.takeSnapshot()
}

// applyTo raises the commit index to i without recording it, and applies entries up to it.
func (r *Replica) applyTo(i fleet.Index) {
	r.commit = max(r.commit, i)
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
}

// apply executes one committed entry and reports the result of a proposal of this leader.
func (r *Replica) apply(e *Entry) {
	var result any
	if e.Kind == EntryCommand {
		result = r.cfg.Machine.Apply(e.Index, e.Data)
	}
	if !r.leading || len(r.leadership.proposals) == 0 || r.leadership.proposals[0].index != e.Index {
		return
	}
	r.emit(Committed{ID: r.leadership.proposals[0].id, Result: result})
	r.leadership.proposals = r.leadership.proposals[1:]
}
