package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/control/core"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// cluster is a group of control hosts on loopback addresses.
type cluster struct {
	addrs []netip.AddrPort
	dirs  []string
	cores []*core.Core
}

func freePort() netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func newCluster(t *testing.T, n int) *cluster {
	g := &cluster{cores: make([]*core.Core, n)}
	for range n {
		g.addrs = append(g.addrs, freePort())
		g.dirs = append(g.dirs, t.TempDir())
	}
	convey.Reset(func() {
		for i := range g.cores {
			g.stop(i)
		}
	})
	return g
}

func (g *cluster) start(i int, bootstrap bool) {
	c, err := core.New(core.Config{
		Self: g.addrs[i], DataCentre: "a", Seeds: g.addrs[:3], Bootstrap: bootstrap, DataFolder: g.dirs[i], ToleratedLosses: 1,
		DemandWindow: 4 * time.Second, Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	convey.So(err, convey.ShouldBeNil)
	convey.So(c.Start(), convey.ShouldBeNil)
	g.cores[i] = c
}

func (g *cluster) stop(i int) {
	if g.cores[i] != nil {
		convey.So(g.cores[i].Stop(), convey.ShouldBeNil)
		g.cores[i] = nil
	}
}

// putConfig proposes a configuration at host i until it is acknowledged, at most 10 times.
func (g *cluster) putConfig(i int, number fleet.ConfigNumber) error {
	var err error
	for range 10 {
		_, err = g.cores[i].PutConfig(context.Background(), fleet.NumberedConfig{Number: number, Text: []byte(fmt.Sprint(number))})
		if err == nil {
			return nil
		}
	}
	return err
}

// readConfig returns the number of the configuration that host i reads, with 10 attempts.
func (g *cluster) readConfig(i int) (fleet.ConfigNumber, error) {
	var c fleet.NumberedConfig
	var err error
	for range 10 {
		if c, err = g.cores[i].ReadConfig(context.Background()); err == nil {
			break
		}
	}
	return c.Number, err
}

// follower is a router that follows the feed of one control host.
type follower struct {
	mu      sync.Mutex
	targets map[fleet.TargetID]fleet.TargetState
	notice  fleet.Notice
}

// startFollower starts a router that follows the feed of the control host at addr.
func startFollower(addr netip.AddrPort, host fleet.HostID) *follower {
	f := &follower{targets: map[fleet.TargetID]fleet.TargetState{}}
	c := rpc.NewClient(rpc.ClientConfig{Address: addr, Uncompressed: true, Handler: rpc.HandlerFunc(f.handle), OnConnect: func(peer fleet.Caller) {
		// If the call fails, the test fails because no notification arrives.
		_ = peer.Call(context.Background(), fleet.MethodJoin, &fleet.JoinRequest{
			Host: host, Role: fleet.RoleRouter, Address: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: "a",
		}, nil)
	}})
	c.Start()
	convey.Reset(c.Stop)
	return f
}

func eventually(f func() bool, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

func announcement(seq fleet.Sequence, state fleet.TargetState) fleet.Announcement {
	return fleet.Announcement{
		Target: "t-1", Incarnation: 5, Sequence: seq, Service: "drafter", DataCentre: "a",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, State: state,
	}
}

func TestConfigurationsThroughAnyHost(t *testing.T) {
	convey.Convey("Configurations can be changed and read at any host and survive a restart of all", t, func() {
		g := newCluster(t, 4)
		for i := range 4 {
			g.start(i, true)
		}
		for i := range 4 {
			convey.So(g.putConfig(i, fleet.ConfigNumber(10+i)), convey.ShouldBeNil)
			for j := range 4 {
				n, err := g.readConfig(j)
				convey.So(err, convey.ShouldBeNil)
				convey.So(n, convey.ShouldEqual, 10+i)
			}
		}
		convey.So(g.cores[3].SetOut(context.Background(), "a", true), convey.ShouldBeNil)
		for i := range 4 {
			g.stop(i)
		}
		for i := range 4 {
			g.start(i, false)
		}
		n, err := g.readConfig(2)
		convey.So(err, convey.ShouldBeNil)
		convey.So(n, convey.ShouldEqual, 13)
	})
}

func TestFeed(t *testing.T) {
	convey.Convey("Routers receive targets, their states and data centres that are out within 1 s, the time that a leaving target waits", t, func() {
		g := newCluster(t, 3)
		for i := range 3 {
			g.start(i, true)
		}
		convey.So(g.putConfig(0, 1), convey.ShouldBeNil)
		f := startFollower(g.addrs[1], "router-1")
		convey.So(eventually(func() bool { return g.cores[1].Announce(announcement(1, fleet.TargetServing)) == nil }, 5*time.Second), convey.ShouldBeTrue)
		serving := func() bool { return f.state("t-1") == fleet.TargetServing }
		convey.So(eventually(serving, time.Second), convey.ShouldBeTrue)
		convey.So(g.cores[1].Announce(announcement(2, fleet.TargetLeaving)), convey.ShouldBeNil)
		convey.So(eventually(func() bool { return f.state("t-1") == fleet.TargetLeaving }, time.Second), convey.ShouldBeTrue)
		convey.So(g.cores[1].SetOut(context.Background(), "b", true), convey.ShouldBeNil)
		convey.So(eventually(func() bool { return f.isOut("b") }, time.Second), convey.ShouldBeTrue)
		convey.Convey("and the host lists the router for callers", func() {
			convey.So(eventually(func() bool { return len(g.cores[1].Routers("a", "caller")) == 1 }, 2*time.Second), convey.ShouldBeTrue)
		})
	})
}

// Guards against a control host that drops all announcements of a message because of one.
func TestFeedWithAnInvalidAnnouncement(t *testing.T) {
	convey.Convey("A control host takes the valid announcements of another one", t, func() {
		g := newCluster(t, 3)
		g.start(0, true)
		odd, sound := announcement(1, fleet.TargetServing), announcement(1, fleet.TargetServing)
		odd.Target, odd.Slots = "t-0", -1
		c := rpc.NewClient(rpc.ClientConfig{Address: g.addrs[0], Uncompressed: true, OnConnect: func(peer fleet.Caller) {
			// If the call fails, the test fails because no announcement arrives.
			_ = peer.Notify(context.Background(), fleet.MethodTargets, fleet.TargetsNotice{
				Announced: []fleet.AgedAnnouncement{{Announcement: odd}, {Announcement: sound}},
			})
		}})
		c.Start()
		convey.Reset(c.Stop)
		convey.So(eventually(func() bool { return g.cores[0].Status().Targets == 1 }, 3*time.Second), convey.ShouldBeTrue)
	})
}

func TestCutOffHostTakesNoAnnouncement(t *testing.T) {
	convey.Convey("A host without a majority and without routers refuses announcements and reads", t, func() {
		g := newCluster(t, 3)
		g.start(0, true)
		convey.So(g.cores[0].Announce(announcement(1, fleet.TargetServing)), convey.ShouldEqual, core.ErrIsolated)
		_, err := g.cores[0].ReadConfig(context.Background())
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func (f *follower) handle(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch method {
	case fleet.MethodNotice:
		return nil, fleet.Decode(params, &f.notice)
	case fleet.MethodTargets:
		var n fleet.TargetsNotice
		if err := fleet.Decode(params, &n); err != nil {
			return nil, err
		}
		for _, a := range n.Announced {
			f.targets[a.Target] = a.State
		}
	}
	return nil, nil
}

func (f *follower) state(id fleet.TargetID) fleet.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id]
}

func (f *follower) isOut(dc fleet.DataCentreName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.notice.Out, dc)
}

func TestHostThatHasJustStartedNamesNoRouter(t *testing.T) {
	convey.Convey("A host that has just started lists no router, then the one that joined", t, func() {
		g := newCluster(t, 3)
		for i := range 3 {
			g.start(i, true)
		}
		startFollower(g.addrs[0], "router-1")
		convey.So(eventually(func() bool { return g.cores[0].Status().Notice.Routers != nil }, time.Second), convey.ShouldBeTrue)
		convey.So(g.cores[0].Routers("a", "caller"), convey.ShouldBeEmpty)
		convey.So(eventually(func() bool { return len(g.cores[0].Routers("a", "caller")) == 1 }, 3*time.Second), convey.ShouldBeTrue)
	})
}
