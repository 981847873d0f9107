package quorum

import (
	"fmt"
	"slices"
	"time"

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
func (r *Replica) replaceMember(ev ReplaceMember) {
	if !r.Ready() || r.changing() {
		r.emit(Dropped{ID: ev.ID, Refused: true})
		return
	}
	old, isMember := r.memberOf(ev.Host)
	if isMember && ev.Operation != "" && old.Operation == ev.Operation {
		r.emit(Committed{ID: ev.ID})
		return
	}
	waiting, waits := r.hello.strangers[ev.Host]
	inc := waiting.incarnation
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

// strangerValidity is how long a stranger counts as present after its last Hello, and how
// long the storage that it lost must have been silent.
const strangerValidity = time.Second

// tend admits one host that asked to join, or drops one member that is gone.
func (r *Replica) tend() {
	if r.cfg.Membership == nil || !r.Ready() || r.changing() {
		return
	}
	if !r.admitStranger() {
		r.dropSilent()
	}
}

// admitStranger makes one stranger a learner, in place of what its host was before.
func (r *Replica) admitStranger() bool {
	hosts := make([]fleet.HostID, 0, len(r.hello.strangers))
	for h, s := range r.hello.strangers {
		if r.now.Sub(s.heard) > strangerValidity {
			delete(r.hello.strangers, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		if r.isAdmissible(h, r.hello.strangers[h].incarnation) {
			r.admit(Member{Host: h, Incarnation: r.hello.strangers[h].incarnation})
			return true
		}
	}
	return false
}

// isAdmissible says whether a stranger may become a member. A storage that still answers
// is not exchanged: the Hello of another one under its name is late or mistaken.
func (r *Replica) isAdmissible(h fleet.HostID, inc fleet.Incarnation) bool {
	old, known := r.memberOf(h)
	if !known {
		return len(r.members()) < r.cfg.Membership.MaxMembers
	}
	return old.Incarnation != inc && !r.isSelf(old) && r.silence(old) >= strangerValidity
}

func (r *Replica) admit(m Member) {
	members := slices.DeleteFunc(slices.Clone(r.members()), func(old Member) bool { return old.Host == m.Host })
	delete(r.hello.strangers, m.Host)
	r.appendEntry(Entry{Kind: EntryMembers, Members: sortMembers(append(members, m))})
}

// dropSilent drops one member that was not heard for long, when enough others follow.
func (r *Replica) dropSilent() {
	for _, m := range r.others() {
		if r.silence(m) < r.cfg.Membership.SilentAfter || m.Voter && !r.canSpare(m.Host) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(r.members()), func(old Member) bool { return old.Host == m.Host })
		r.appendEntry(Entry{Kind: EntryMembers, Members: rest})
		return
	}
}

// canSpare says whether the voters besides a host are enough, and most of them follow.
func (r *Replica) canSpare(host fleet.HostID) bool {
	voters, present := 0, 0
	for _, m := range r.members() {
		if !m.Voter || m.Host == host {
			continue
		}
		voters++
		if r.isSelf(m) || r.silence(m) < strangerValidity {
			present++
		}
	}
	return voters >= r.cfg.Membership.MinVoters && present > voters/2
}

// silence returns how long ago a member was last known to follow this leader, or how long
// ago the leader took it up: a member that was just admitted had no time to answer.
func (r *Replica) silence(m Member) time.Duration {
	if r.isSelf(m) {
		return 0
	}
	p := r.progressOf(m)
	heard := p.confirmed
	if heard.Before(p.since) {
		heard = p.since
	}
	return r.now.Sub(heard)
}
