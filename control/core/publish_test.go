package core

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// countingPeer counts the notifications that it is sent.
type countingPeer struct {
	messages, bytes atomic.Int64
}

func (*countingPeer) Call(context.Context, string, any, any) error { return nil }

func (*countingPeer) Notify(context.Context, string, any) error { return nil }

func (p *countingPeer) NotifyEncoded(_ context.Context, messages ...fleet.EncodedNotification) error {
	p.messages.Add(int64(len(messages)))
	for _, m := range messages {
		p.bytes.Add(int64(len(m)))
	}
	return nil
}

const (
	// manyRouters is the number of routers of a large deployment.
	manyRouters = 300
	// manyControls is the number of its control hosts, which all send to each router.
	manyControls = 6
	// controlBytesPerSecond is the budget of a router for control traffic.
	controlBytesPerSecond = 16_000
)

// joinMany lets manyRouters routers join a hub within a second.
func joinMany(h *hub) []*countingPeer {
	var peers []*countingPeer
	for i := range manyRouters {
		p := &countingPeer{}
		peers = append(peers, p)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8366)
		h.join(p, fleet.JoinRequest{Host: HostIDOf(address), Role: fleet.RoleRouter, Address: address, DataCentre: "a"})
		time.Sleep(time.Second / manyRouters)
	}
	return peers
}

// steadySource is a deployment in which nothing changes but the routers that have joined.
type steadySource struct{ hub *hub }

func (s *steadySource) notice() fleet.Notice {
	n := fleet.Notice{Revision: 7, Number: 7, Confirmed: true, Leader: "10.9.0.1:8366", Routers: s.hub.liveRouters()}
	for i := range manyControls {
		n.Controls = append(n.Controls, fleet.HostID(fmt.Sprintf("10.9.0.%d:8366", i)))
	}
	return n
}

func (*steadySource) fullTargetsNotice() fleet.TargetsNotice { return fleet.TargetsNotice{} }

func (*steadySource) agedAnnouncement(fleet.TargetID) (fleet.AgedAnnouncement, bool) {
	return fleet.AgedAnnouncement{}, false
}

func newTestHub() *hub {
	s := &steadySource{}
	s.hub = newHub(s, fleet.SystemClock{}, slog.New(slog.DiscardHandler))
	s.hub.start()
	return s.hub
}

// TestManyRoutersJoin guards against a control host that sends the list of all routers to
// all routers for each one that joins: with 291 routers that used up its share of the
// processor, and no router got a configuration.
func TestManyRoutersJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("While 300 routers join within a second, each gets few messages", t, func() {
			h := newTestHub()
			defer h.close()
			peers := joinMany(h)
			time.Sleep(time.Second)
			for _, p := range peers {
				convey.So(p.messages.Load(), convey.ShouldBeBetweenOrEqual, 1, 20)
			}
		})
	})
}

// TestSteadyTrafficOfManyRouters guards against control traffic that grows with the product of
// two counts of hosts.
func TestSteadyTrafficOfManyRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("While nothing changes, 300 routers stay within their budget for control traffic", t, func() {
			h := newTestHub()
			defer h.close()
			peers := joinMany(h)
			time.Sleep(2 * time.Second)
			before := peers[0].bytes.Load()
			const seconds = 10
			for range seconds * int(time.Second/housekeepingInterval) {
				// A sixth of 240 targets announce themselves to this host every 1.2 s.
				for i := range 16 {
					h.collectAlive(fleet.TargetID(fmt.Sprintf("i-%010d", i)))
				}
				for _, p := range peers {
					h.recordReport(p, &fleet.RouterLoad{})
				}
				h.flushAlive()
				time.Sleep(housekeepingInterval)
			}
			perSecond := (peers[0].bytes.Load() - before) / seconds
			convey.So(perSecond*manyControls, convey.ShouldBeLessThan, controlBytesPerSecond)
		})
	})
}

// routerList is a source whose routers the test sets.
type routerList struct {
	mu      sync.Mutex
	routers []fleet.HostID
}

func (s *routerList) set(routers ...fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = routers
}

func (s *routerList) notice() fleet.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Notice{Routers: s.routers}
}

func (*routerList) fullTargetsNotice() fleet.TargetsNotice { return fleet.TargetsNotice{} }

func (*routerList) agedAnnouncement(fleet.TargetID) (fleet.AgedAnnouncement, bool) {
	return fleet.AgedAnnouncement{}, false
}

// listeningPeer keeps the list of routers as a follower does.
type listeningPeer struct {
	mu      sync.Mutex
	routers []fleet.HostID
}

func (*listeningPeer) Call(context.Context, string, any, any) error { return nil }
func (*listeningPeer) Notify(context.Context, string, any) error    { return nil }

func (p *listeningPeer) NotifyEncoded(_ context.Context, messages ...fleet.EncodedNotification) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range messages {
		var message struct {
			Method string       `json:"method"`
			Params fleet.Notice `json:"params"`
		}
		if err := json.Unmarshal(m, &message); err != nil {
			return err
		}
		if message.Method == fleet.MethodNotice && !message.Params.SameRouters {
			p.routers = message.Params.Routers
		}
	}
	return nil
}

func (p *listeningPeer) list() []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routers
}

// TestRouterListsOfLateFollowers guards against a follower whose list of routers differs from
// that of the others, because it joined between two publications.
func TestRouterListsOfLateFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("A follower that joins while the list of routers changes has the same list as the others", t, func() {
			source := &routerList{}
			source.set("a", "b")
			h := newHub(source, fleet.SystemClock{}, slog.New(slog.DiscardHandler))
			h.start()
			defer h.close()
			first, late := &listeningPeer{}, &listeningPeer{}
			h.join(first, fleet.JoinRequest{Host: "a", Role: fleet.RoleRouter})
			synctest.Wait()
			convey.So(first.list(), convey.ShouldResemble, []fleet.HostID{"a", "b"})
			// The list changes for a moment in which only the late follower reads it.
			source.set("a", "b", "c")
			h.mu.Lock()
			f := &follower{peer: late, resync: true, wake: make(chan struct{}, 1), quit: make(chan struct{})}
			h.followers[late] = f
			h.mu.Unlock()
			h.send(f, h.takeMessages(f))
			source.set("a", "b")
			h.queueNotice()
			time.Sleep(time.Second)
			h.send(f, h.takeMessages(f))
			convey.So(late.list(), convey.ShouldResemble, first.list())
		})
	})
}

// TestDigestsToIdleRouters guards against digests that take a large part of the traffic between
// data centres though most of many routers have no requests.
func TestDigestsToIdleRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("A router without requests gets a digest every second, one with requests each", t, func() {
			h := newTestHub()
			defer h.close()
			busy, idle := &countingPeer{}, &countingPeer{}
			h.join(busy, fleet.JoinRequest{Host: "busy", Role: fleet.RoleRouter})
			h.join(idle, fleet.JoinRequest{Host: "idle", Role: fleet.RoleRouter})
			time.Sleep(time.Second)
			busyBefore, idleBefore := busy.messages.Load(), idle.messages.Load()
			const digests, messagesPerDigest = 100, 2
			for range digests {
				h.recordReport(busy, &fleet.RouterLoad{Sequence: 1, Asked: 100})
				h.recordReport(idle, &fleet.RouterLoad{Sequence: 1})
				h.queueDigest(digest{})
				time.Sleep(100 * time.Millisecond)
			}
			convey.So(busy.messages.Load()-busyBefore, convey.ShouldEqual, digests*messagesPerDigest)
			convey.So(idle.messages.Load()-idleBefore, convey.ShouldBeBetweenOrEqual, 9*messagesPerDigest, 11*messagesPerDigest)
		})
	})
}
