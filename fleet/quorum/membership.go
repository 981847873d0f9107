package quorum

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxPromotionLag is the number of entries that a learner may lack to become a voter.
const maxPromotionLag = 16

// membershipChangePending reports whether the latest membership change is uncommitted. Raft
// allows one at a time.
func (r *Replica) membershipChangePending() bool {
	for i := r.log.last(); i > r.commit; i-- {
		if r.log.at(i).Kind == EntryMembers {
			return true
		}
	}
	return false
}

// replaceMember replaces the old incarnation of a host by its new one, as a learner.
func (r *Replica) replaceMember(ev ReplaceMember) {
	if !r.Ready() || r.membershipChangePending() {
		r.emit(Dropped{ID: ev.ID, Refused: true})
		return
	}
	old, isMember := r.memberAt(ev.Host)
	if isMember && ev.Operation != "" && old.Operation == ev.Operation {
		r.emit(Committed{ID: ev.ID})
		return
	}
	joining, isApplicant := r.discovery.applicants[ev.Host]
	inc := joining.incarnation
	if !isApplicant || isMember && old.Incarnation == inc {
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
	delete(r.discovery.applicants, ev.Host)
	i := r.appendEntry(Entry{Kind: EntryMembers, Members: sortMembers(members)})
	r.leadership.proposals = append(r.leadership.proposals, proposal{index: i, id: ev.ID})
	r.replicate()
}

// promoteLearner makes one learner that has caught up a voter.
func (r *Replica) promoteLearner() {
	if !r.Ready() || r.membershipChangePending() {
		return
	}
	for _, m := range r.members() {
		if m.Voter || r.progressOf(m).match+maxPromotionLag < r.log.last() {
			continue
		}
		r.appendEntry(Entry{Kind: EntryMembers, Members: withVoter(r.members(), m.Host)})
		return
	}
}

// withVoter returns a copy of the members in which the one on a host is a voter.
func withVoter(members []Member, host fleet.HostID) []Member {
	out := append([]Member(nil), members...)
	for i := range out {
		if out[i].Host == host {
			out[i].Voter = true
		}
	}
	return out
}

// applicantValidity is how long after its last Hello an applicant counts as present. It is
// also the time without an answer after which a member counts as absent: an applicant on
// the same host may then replace it.
const applicantValidity = time.Second

// maintainMembership admits one host that asked to join, or else removes one silent member.
func (r *Replica) maintainMembership() {
	if r.cfg.Membership == nil || !r.Ready() || r.membershipChangePending() {
		return
	}
	if !r.admitApplicant() {
		r.removeSilentMember()
	}
}

// admitApplicant makes one applicant a learner, in place of any former incarnation of its
// host, and reports whether it did.
func (r *Replica) admitApplicant() bool {
	hosts := make([]fleet.HostID, 0, len(r.discovery.applicants))
	for h, s := range r.discovery.applicants {
		if r.now.Sub(s.heardAt) > applicantValidity {
			delete(r.discovery.applicants, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	for _, h := range hosts {
		if r.isAdmissible(h, r.discovery.applicants[h].incarnation) {
			r.addLearner(Member{Host: h, Incarnation: r.discovery.applicants[h].incarnation})
			return true
		}
	}
	return false
}

// isAdmissible reports whether an applicant may become a member. A member that still
// answers is not replaced: the Hello of another incarnation on its host is then late or
// comes from a misconfigured host.
func (r *Replica) isAdmissible(h fleet.HostID, inc fleet.Incarnation) bool {
	old, known := r.memberAt(h)
	if !known {
		return len(r.members()) < r.cfg.Membership.MaxMembers
	}
	return old.Incarnation != inc && !r.isSelf(old) && r.sinceContact(old) >= applicantValidity
}

// addLearner appends the members with m in place of any other on its host.
func (r *Replica) addLearner(m Member) {
	members := slices.DeleteFunc(slices.Clone(r.members()), func(old Member) bool { return old.Host == m.Host })
	delete(r.discovery.applicants, m.Host)
	r.appendEntry(Entry{Kind: EntryMembers, Members: sortMembers(append(members, m))})
}

// removeSilentMember removes one member that has not answered for too long. A voter is removed
// only if canRemoveVoter allows it.
func (r *Replica) removeSilentMember() {
	for _, m := range r.others() {
		silence := r.sinceContact(m)
		if m.Voter && !r.canRemoveVoter(m.Host, silence) || !m.Voter && silence < r.cfg.Membership.SilentAfter {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(r.members()), func(old Member) bool { return old.Host == m.Host })
		r.appendEntry(Entry{Kind: EntryMembers, Members: rest})
		return
	}
}

// canRemoveVoter reports whether a voter has been silent for long enough to be removed, for the
// number of voters that remain without it, and whether a majority of those is present.
func (r *Replica) canRemoveVoter(host fleet.HostID, silence time.Duration) bool {
	voters, present := 0, 0
	for _, m := range r.members() {
		if !m.Voter || m.Host == host {
			continue
		}
		voters++
		if r.isSelf(m) || r.sinceContact(m) < applicantValidity {
			present++
		}
	}
	if present <= voters/2 {
		return false
	}
	p := r.cfg.Membership
	isSurplus := p.TargetVoters > 0 && voters >= p.TargetVoters
	return isSurplus && silence >= p.SurplusSilentAfter || voters >= p.MinVoters && silence >= p.SilentAfter
}

// sinceContact returns the time since a member last acknowledged this leader, or since the
// leader began to track it: a member that was just admitted had no time to answer.
func (r *Replica) sinceContact(m Member) time.Duration {
	if r.isSelf(m) {
		return 0
	}
	p := r.progressOf(m)
	lastContact := p.confirmedAt
	if lastContact.Before(p.trackedSince) {
		lastContact = p.trackedSince
	}
	return r.now.Sub(lastContact)
}
