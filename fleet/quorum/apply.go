package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// setCommit raises the commit index and applies what it covers.
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

// applyTo applies the entries up to i, which are committed.
func (r *Replica) applyTo(i fleet.Index) {
	r.commit = max(r.commit, i)
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
}

func (r *Replica) apply(e *Entry) {
	var result any
	if e.Kind == EntryCommand {
		result = r.cfg.Machine.Apply(e.Index, e.Data)
	}
	if !r.leading || len(r.lead.proposals) == 0 || r.lead.proposals[0].index != e.Index {
		return
	}
	r.emit(Committed{ID: r.lead.proposals[0].id, Result: result})
	r.lead.proposals = r.lead.proposals[1:]
}
