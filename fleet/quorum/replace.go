package quorum

import (
	"fmt"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// promoteLag is how many entries a learner may lack to become a voter.
const promoteLag = 16

// changing says whether the newest change of members is not committed yet.
func (r *Replica) changing() bool {
	for i := r.log.last(); i > r.commit; i-- {
		if r.log.at(i).Kind == EntryMembers {
			return true
		}
	}
	return false
}

// replaceMember makes the new incarnation of a host a learner and drops its old one.
func (r *Replica) replaceMember(ev Replace) {
	if !r.Ready() || r.changing() {
		r.emit(Dropped{ID: ev.ID, Refused: true})
		return
	}
	old, isMember := r.memberOf(ev.Host)
	if isMember && ev.Operation != "" && old.Operation == ev.Operation {
		r.emit(Committed{ID: ev.ID})
		return
	}
	inc, waits := r.hello.strangers[ev.Host]
	if !waits || isMember && old.Incarnation == inc {
		reason := fmt.Sprintf("replica %q has not come back with an empty data folder; start it with one first", ev.Host)
		r.emit(Dropped{ID: ev.ID, Refused: true, Reason: reason})
		return
	}
	members := []Member{{Host: ev.Host, Incarnation: inc, Operation: ev.Operation}}
	for _, m := range r.members() {
		if m.Host != ev.Host {
			members = append(members, m)
		}
	}
	delete(r.hello.strangers, ev.Host)
	i := r.appendEntry(Entry{Kind: EntryMembers, Members: sortMembers(members)})
	r.lead.proposals = append(r.lead.proposals, proposal{index: i, id: ev.ID})
	r.replicate()
}

// promote makes a learner that has caught up a voter.
func (r *Replica) promote() {
	if !r.Ready() || r.changing() {
		return
	}
	for _, m := range r.members() {
		if m.Voter || r.progressOf(m).match+promoteLag < r.log.last() {
			continue
		}
		r.appendEntry(Entry{Kind: EntryMembers, Members: promoted(r.members(), m.Host)})
		return
	}
}

// promoted returns the members with a host made a voter.
func promoted(members []Member, host fleet.HostID) []Member {
	out := append([]Member(nil), members...)
	for i := range out {
		if out[i].Host == host {
			out[i].Voter = true
		}
	}
	return out
}
