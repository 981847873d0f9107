package quorum

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// helloState is kept by a replica that knows no members, and by a leader about
// hosts that came back with an empty disk.
type helloState struct {
	next time.Time
	// fresh holds the incarnations of the other hosts that have never belonged to a
	// quorum and may found one.
	fresh map[fleet.HostID]fleet.Incarnation
	// strangers holds the hosts that asked and are not members.
	strangers map[fleet.HostID]stranger
	// contacts holds hosts to ask besides the founders.
	contacts map[fleet.HostID]bool
}

// stranger is an incarnation of a host that is not a member.
type stranger struct {
	incarnation fleet.Incarnation
	heard       time.Time
}

// maxContacts bounds the hosts that a replica asks for a quorum.
const maxContacts = 64

// isFresh says whether the replica may still found a quorum.
func (r *Replica) isFresh() bool {
	return r.cfg.Bootstrap && len(r.members()) == 0 && r.vote.Term == 0 && r.knowsHost(r.identity.Host)
}

// tickHello asks the other hosts whether they know a quorum.
func (r *Replica) tickHello() {
	if r.now.Before(r.hello.next) {
		return
	}
	r.hello.next = r.now.Add(helloInterval)
	for _, h := range r.contacts() {
		m := r.message(KindHello, Member{Host: h})
		m.Granted = r.isFresh()
		r.sendDurably(m)
	}
	r.found()
}

// contacts returns the hosts to ask for a quorum.
func (r *Replica) contacts() []fleet.HostID {
	var out []fleet.HostID
	for _, h := range r.cfg.Hosts {
		if h != r.identity.Host {
			out = append(out, h)
		}
	}
	var learned []fleet.HostID
	for h := range r.hello.contacts {
		if h != r.identity.Host && !r.knowsHost(h) {
			learned = append(learned, h)
		}
	}
	slices.Sort(learned)
	return append(out, learned...)
}

// addContacts remembers hosts that may know a quorum.
func (r *Replica) addContacts(hosts []fleet.HostID) {
	if r.hello.contacts == nil {
		r.hello.contacts = map[fleet.HostID]bool{}
	}
	for _, h := range hosts {
		if len(r.hello.contacts) < maxContacts {
			r.hello.contacts[h] = true
		}
	}
}

func (r *Replica) receiveHello(m *Message) {
	if member, _ := r.isMember(m.From, m.FromIncarnation); !member && (r.cfg.Membership != nil || r.knowsHost(m.From)) {
		if r.hello.strangers == nil {
			r.hello.strangers = map[fleet.HostID]stranger{}
		}
		r.hello.strangers[m.From] = stranger{incarnation: m.FromIncarnation, heard: r.now}
	}
	answer := r.reply(KindHelloReply, m)
	answer.Granted = r.isFresh()
	if r.cfg.Membership != nil {
		for _, member := range r.members() {
			answer.Peers = append(answer.Peers, member.Host)
		}
	}
	r.sendDurably(answer)
}

func (r *Replica) receiveHelloReply(m *Message) {
	if r.hello.fresh == nil {
		r.hello.fresh = map[fleet.HostID]fleet.Incarnation{}
	}
	delete(r.hello.fresh, m.From)
	if r.cfg.Membership != nil {
		r.addContacts(m.Peers)
	}
	if m.Granted && m.ToIncarnation == r.identity.Incarnation && r.knowsHost(m.From) {
		r.hello.fresh[m.From] = m.FromIncarnation
	}
}

// found makes all hosts the first members once each has said that it is fresh. Their
// incarnations name storages that exist, so one that is lost later is not mistaken
// for a founder.
func (r *Replica) found() {
	if !r.isFresh() || len(r.hello.fresh) != len(r.cfg.Hosts)-1 {
		return
	}
	members := []Member{{Host: r.identity.Host, Incarnation: r.identity.Incarnation, Voter: true}}
	for h, inc := range r.hello.fresh {
		members = append(members, Member{Host: h, Incarnation: inc, Voter: true})
	}
	r.initial = sortMembers(members)
	r.save(Record{Initial: &Initial{Members: r.initial}})
	r.resetElection()
}

func (r *Replica) knowsHost(h fleet.HostID) bool {
	for _, known := range r.cfg.Hosts {
		if known == h {
			return true
		}
	}
	return false
}
