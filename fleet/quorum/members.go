package quorum

import (
	"sort"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// members returns the members in force: those that the newest entry names, whether
// it is committed or not.
func (r *Replica) members() []Member {
	if m := r.log.members(r.log.last()); len(m) > 0 {
		return m
	}
	return r.initial
}

// committedMembers returns the members that no failure takes back.
func (r *Replica) committedMembers() []Member {
	if m := r.log.members(r.commit); len(m) > 0 {
		return m
	}
	return r.initial
}

// memberOf returns the member that a host is.
func (r *Replica) memberOf(host fleet.HostID) (Member, bool) {
	for _, m := range r.members() {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// isMember says whether this incarnation of a host is a member, and whether it votes.
func (r *Replica) isMember(host fleet.HostID, inc fleet.Incarnation) (member, voter bool) {
	m, ok := r.memberOf(host)
	ok = ok && m.Incarnation == inc
	return ok, ok && m.Voter
}

func (r *Replica) isVoter() bool {
	_, voter := r.isMember(r.identity.Host, r.identity.Incarnation)
	return voter
}

// others returns the members besides this replica.
func (r *Replica) others() []Member {
	var out []Member
	for _, m := range r.members() {
		if m.Host != r.identity.Host {
			out = append(out, m)
		}
	}
	return out
}

// majority says whether the voters for which f is true are more than half.
func (r *Replica) majority(f func(Member) bool) bool {
	voters, count := 0, 0
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		voters++
		if f(m) {
			count++
		}
	}
	return count > voters/2
}

func (r *Replica) isSelf(m Member) bool {
	return m.Host == r.identity.Host && m.Incarnation == r.identity.Incarnation
}

func sortMembers(m []Member) []Member {
	sort.Slice(m, func(i, j int) bool { return m[i].Host < m[j].Host })
	return m
}
