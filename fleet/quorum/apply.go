package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// setCommit raises the commit index and applies what it covers.
func (r *Replica) setCommit(i fleet.Index) {
	if i <= r.commit {
		return
	}
	r.commit = i
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
	r.takeSnapshot()
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
