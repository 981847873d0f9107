package quorum

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// discoveryState is used by a replica that looks for a quorum or its membership, and by a
// leader to track hosts that ask to join.
type discoveryState struct {
	// next is when the next round of Hello messages is due.
	next time.Time
	// founders holds the incarnations of the other hosts that have never belonged to a
	// quorum and are ready to found one.
	founders map[fleet.HostID]fleet.Incarnation
	// applicants holds the hosts that sent a Hello and are not members.
	applicants map[fleet.HostID]applicant
	// contacts holds hosts to send Hello to besides Config.Hosts.
	contacts map[fleet.HostID]bool
}

// applicant is an incarnation of a host that is not a member.
type applicant struct {
	incarnation fleet.Incarnation
	heardAt     time.Time
}

// maxContacts bounds discoveryState.contacts.
const maxContacts = 64

// canFound reports whether the replica may take part in founding a quorum: it has never
// belonged to one.
func (r *Replica) canFound() bool {
	return r.cfg.Bootstrap && len(r.members()) == 0 && r.vote.Term == 0 && r.isFounder(r.identity.Host)
}

// tickDiscovery sends a Hello to all known hosts every helloInterval.
func (r *Replica) tickDiscovery() {
	if r.now.Before(r.discovery.next) {
		return
	}
	r.discovery.next = r.now.Add(helloInterval)
	for _, h := range r.contacts() {
		m := r.message(KindHello, Member{Host: h})
		m.Granted = r.canFound()
		r.sendAfterWrites(m)
	}
	r.tryBootstrap()
}

// contacts returns the hosts to send Hello to: the founders, then learned ones, sorted.
func (r *Replica) contacts() []fleet.HostID {
	var out []fleet.HostID
	for _, h := range r.cfg.Hosts {
		if h != r.identity.Host {
			out = append(out, h)
		}
	}
	var learned []fleet.HostID
	for h := range r.discovery.contacts {
		if h != r.identity.Host && !r.isFounder(h) {
			learned = append(learned, h)
		}
	}
	slices.Sort(learned)
	return append(out, learned...)
}

// addContacts adds hosts that may know a quorum, up to maxContacts.
func (r *Replica) addContacts(hosts []fleet.HostID) {
	if r.discovery.contacts == nil {
		r.discovery.contacts = map[fleet.HostID]bool{}
	}
	for _, h := range hosts {
		if len(r.discovery.contacts) < maxContacts {
			r.discovery.contacts[h] = true
		}
	}
}

// receiveHello records a sender that is not a member as an applicant, and answers whether
// this replica may found a quorum and which members it knows.
func (r *Replica) receiveHello(m *Message) {
	if member, _ := r.isMember(m.From, m.FromIncarnation); !member && (r.cfg.Membership != nil || r.isFounder(m.From)) {
		if r.discovery.applicants == nil {
			r.discovery.applicants = map[fleet.HostID]applicant{}
		}
		r.discovery.applicants[m.From] = applicant{incarnation: m.FromIncarnation, heardAt: r.now}
	}
	answer := r.reply(KindHelloReply, m)
	answer.Granted = r.canFound()
	if r.cfg.Membership != nil {
		for _, member := range r.members() {
			answer.Peers = append(answer.Peers, member.Host)
		}
	}
	r.sendAfterWrites(answer)
}

// receiveHelloReply records whether the sender may found a quorum, and learns its members.
func (r *Replica) receiveHelloReply(m *Message) {
	if r.discovery.founders == nil {
		r.discovery.founders = map[fleet.HostID]fleet.Incarnation{}
	}
	delete(r.discovery.founders, m.From)
	if r.cfg.Membership != nil {
		r.addContacts(m.Peers)
	}
	if m.Granted && m.ToIncarnation == r.identity.Incarnation && r.isFounder(m.From) {
		r.discovery.founders[m.From] = m.FromIncarnation
	}
}

// tryBootstrap makes all founders the initial members once each has answered that it has
// never belonged to a quorum. The members carry incarnations of storages that exist, so a
// founder that loses its disk later is not mistaken for the original one.
func (r *Replica) tryBootstrap() {
	if !r.canFound() || len(r.discovery.founders) != len(r.cfg.Hosts)-1 {
		return
	}
	members := []Member{{Host: r.identity.Host, Incarnation: r.identity.Incarnation, Voter: true}}
	for h, inc := range r.discovery.founders {
		members = append(members, Member{Host: h, Incarnation: inc, Voter: true})
	}
	r.initial = sortMembers(members)
	r.save(Record{Initial: &Initial{Members: r.initial}})
	r.resetElectionTimeout()
}

func (r *Replica) isFounder(h fleet.HostID) bool {
	for _, known := range r.cfg.Hosts {
		if known == h {
			return true
		}
	}
	return false
}
