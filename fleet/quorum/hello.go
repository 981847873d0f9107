package quorum

import (
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
	// strangers holds the incarnations that asked and are not members.
	strangers map[fleet.HostID]fleet.Incarnation
}

// isFresh says whether the replica may still found a quorum.
func (r *Replica) isFresh() bool {
	return r.cfg.Bootstrap && len(r.members()) == 0 && r.vote.Term == 0
}

// tickHello asks the other hosts whether they know a quorum.
func (r *Replica) tickHello() {
	if r.now.Before(r.hello.next) {
		return
	}
	r.hello.next = r.now.Add(helloInterval)
	for _, h := range r.cfg.Hosts {
		if h == r.identity.Host {
			continue
		}
		m := r.message(KindHello, Member{Host: h})
		m.Granted = r.isFresh()
		r.sendDurably(m)
	}
	r.found()
}

func (r *Replica) receiveHello(m *Message) {
	if member, _ := r.isMember(m.From, m.FromIncarnation); !member && r.knowsHost(m.From) {
		if r.hello.strangers == nil {
			r.hello.strangers = map[fleet.HostID]fleet.Incarnation{}
		}
		r.hello.strangers[m.From] = m.FromIncarnation
	}
	answer := r.reply(KindHelloReply, m)
	answer.Granted = r.isFresh()
	r.sendDurably(answer)
}

func (r *Replica) receiveHelloReply(m *Message) {
	if r.hello.fresh == nil {
		r.hello.fresh = map[fleet.HostID]fleet.Incarnation{}
	}
	delete(r.hello.fresh, m.From)
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
