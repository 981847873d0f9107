package quorum

import (
	"sort"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// members returns the members in force. As in Raft these are those of the latest entry,
// committed or not.
func (r *Replica) members() []Member {
	if m := r.log.members(r.log.last()); len(m) > 0 {
		return m
	}
	return r.initial
}

// committedMembers returns the members of the latest committed entry.
func (r *Replica) committedMembers() []Member {
	if m := r.log.members(r.commit); len(m) > 0 {
		return m
	}
	return r.initial
}

// memberAt returns the member on a host, and false if there is none.
func (r *Replica) memberAt(host fleet.HostID) (Member, bool) {
	for _, m := range r.members() {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// isMember reports whether this incarnation of a host is a member, and whether it votes.
func (r *Replica) isMember(host fleet.HostID, inc fleet.Incarnation) (member, voter bool) {
	m, ok := r.memberAt(host)
	ok = ok && m.Incarnation == inc
	return ok, ok && m.Voter
}

func (r *Replica) isVoter() bool {
	_, voter := r.isMember(r.identity.Host, r.identity.Incarnation)
	return voter
}

// others returns the members on other hosts.
func (r *Replica) others() []Member {
	var out []Member
	for _, m := range r.members() {
		if m.Host != r.identity.Host {
			out = append(out, m)
		}
	}
	return out
}

// majority reports whether more than half of the voters satisfy accept.
func (r *Replica) majority(accept func(Member) bool) bool {
	voters, count := 0, 0
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		voters++
		if accept(m) {
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
