package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/control/core"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// fakeRouter follows all control hosts, sends the share of the newest notice to the new version,
// and reports outcomes to the leader.
type fakeRouter struct {
	// badShare is the fraction of the new version's answers that are bad.
	badShare float64

	mu     sync.Mutex
	newest fleet.Rollout
	// states has each state that it was told, in order.
	states []fleet.Rollout
	leader fleet.HostID
	peers  map[fleet.HostID]*rpc.Client
	stop   chan struct{}
}

const (
	routerInterval = 100 * time.Millisecond
	// routerAnswers is the number of answers in an interval.
	routerAnswers = 60
)

func startFakeRouter(g *cluster, badShare float64) *fakeRouter {
	f := &fakeRouter{badShare: badShare, peers: map[fleet.HostID]*rpc.Client{}, stop: make(chan struct{})}
	for i, addr := range g.addrs {
		c := rpc.NewClient(rpc.ClientConfig{Address: addr, Uncompressed: true, Handler: rpc.HandlerFunc(f.handle), OnConnect: func(peer fleet.Caller) {
			// Without a feed, the test fails because the router learns of no roll-out.
			_ = peer.Call(context.Background(), fleet.MethodJoin, &fleet.JoinRequest{
				Host: "router-1", Role: fleet.RoleRouter, Address: g.addrs[i], DataCentre: "a",
			}, nil)
		}})
		f.peers[core.HostIDOf(addr)] = c
		c.Start()
		convey.Reset(c.Stop)
	}
	var wg sync.WaitGroup
	wg.Go(f.run)
	convey.Reset(func() { close(f.stop); wg.Wait() })
	return f
}

func (f *fakeRouter) handle(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method != fleet.MethodNotice {
		return nil, nil
	}
	var n fleet.Notice
	if err := fleet.Decode(params, &n); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Confirmed && n.Leader != "" {
		f.leader = n.Leader
	}
	for _, r := range n.Rollouts {
		if r.Number > f.newest.Number || r.Number == f.newest.Number && r.Revision > f.newest.Revision {
			f.newest = r
			f.states = append(f.states, r)
		}
	}
	return nil, nil
}

func (f *fakeRouter) run() {
	ticker := time.NewTicker(routerInterval)
	defer ticker.Stop()
	for sequence := fleet.Sequence(1); ; sequence++ {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		c, r := f.peers[f.leader], f.newest
		f.mu.Unlock()
		if c == nil {
			continue
		}
		load := fleet.RouterLoad{Host: "router-1", Sequence: sequence, Asked: 1, Calls: routerAnswers}
		if r.State == fleet.RolloutActive {
			fresh := int(math.Round(r.Share * routerAnswers))
			load.Rollouts = []fleet.VersionOutcomes{
				outcomes(&r, true, fresh, int(math.Round(f.badShare*float64(fresh)))), outcomes(&r, false, routerAnswers-fresh, 0),
			}
		}
		// A report that is lost with its connection is one of many.
		_ = c.Notify(context.Background(), fleet.MethodLoad, &load)
	}
}

func outcomes(r *fleet.Rollout, fresh bool, answers, bad int) fleet.VersionOutcomes {
	o := fleet.VersionOutcomes{Service: r.Service, Number: r.Number, Revision: r.Revision, Route: "r", New: fresh, Answers: answers, Bad: bad}
	o.Slowness[1] = answers - bad
	return o
}

func (f *fakeRouter) state() fleet.Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// startRollout orders a roll-out at a host until it is acknowledged, for up to 5 s.
func (g *cluster) startRollout(i int, to fleet.SoftwareVersion, duration time.Duration) error {
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if _, err = g.cores[i].StartRollout(context.Background(), fleet.StartRolloutRequest{Service: "drafter", To: to, Duration: duration}); !errors.Is(err, core.ErrUnavailable) {
			break
		}
	}
	return err
}

// rollout returns the roll-out that a host reads.
func (g *cluster) rollout(i int) fleet.Rollout {
	for range 10 {
		if all, err := g.cores[i].ReadRollouts(context.Background()); err == nil {
			r, _ := all.Find("drafter")
			return r
		}
	}
	return fleet.Rollout{}
}

// startVersions starts three control hosts and announces targets with both versions.
func startVersions(t *testing.T) *cluster {
	g := newCluster(t, 3)
	for i := range 3 {
		g.start(i, true)
	}
	convey.So(g.putConfig(0, 1), convey.ShouldBeNil)
	g.announceVersions()
	return g
}

func (g *cluster) announceVersions() {
	for _, c := range g.cores {
		for k, v := range []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"} {
			if c == nil {
				continue
			}
			a := announcement(1, fleet.TargetServing)
			a.Target, a.SoftwareVersion = fleet.TargetID(fmt.Sprint("t-", k)), v
			a.Sequence = fleet.Sequence(time.Now().UnixNano())
			a.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(80+k))
			// A host that is isolated for a moment learns of the targets from the others.
			_ = c.Announce(a)
		}
	}
}

// leading returns the index of the host that leads, or -1.
func (g *cluster) leading() int {
	for i, c := range g.cores {
		if c != nil && c.Status().Leads && c.HasQuorumContact() {
			return i
		}
	}
	return -1
}

// playRollout waits for the end of the roll-out. At each new revision that stopAt names, the
// leader is stopped and started again 500 ms later.
func (g *cluster) playRollout(f *fakeRouter, limit time.Duration, stopAt ...uint64) {
	for end := time.Now().Add(limit); time.Now().Before(end) && f.state().State != fleet.RolloutCompleted && f.state().State != fleet.RolloutReverted; {
		time.Sleep(20 * time.Millisecond)
		g.announceVersions()
		if len(stopAt) > 0 && f.state().Revision >= stopAt[0] {
			if i := g.leading(); i >= 0 {
				stopAt = stopAt[1:]
				g.stop(i)
				time.Sleep(500 * time.Millisecond)
				g.start(i, false)
			}
		}
	}
}

func TestRollout(t *testing.T) {
	convey.Convey("A roll-out of a sound version is completed in steps, in time, and known everywhere", t, func() {
		g := startVersions(t)
		f := startFakeRouter(g, 0)
		convey.So(g.startRollout(2, "v2", 6*time.Second), convey.ShouldBeNil)
		begun := time.Now()
		convey.So(g.rollout(0).State, convey.ShouldEqual, fleet.RolloutActive)
		convey.So(g.startRollout(1, "v2", 6*time.Second), convey.ShouldBeNil)
		convey.So(errors.Is(g.startRollout(1, "v3", 6*time.Second), core.ErrRolloutConflict), convey.ShouldBeTrue)
		g.playRollout(f, 8*time.Second)
		convey.So(time.Since(begun), convey.ShouldBeLessThan, 6*time.Second)
		for i := range 3 {
			convey.So(g.rollout(i).State, convey.ShouldEqual, fleet.RolloutCompleted)
		}
		for i, r := range f.states {
			convey.So(r.Number, convey.ShouldEqual, 1)
			if i > 0 {
				convey.So(r.Share, convey.ShouldBeGreaterThanOrEqualTo, f.states[i-1].Share)
			}
		}
		convey.So(len(f.states), convey.ShouldBeGreaterThanOrEqualTo, 5)
		convey.So(f.states[len(f.states)-2].Share, convey.ShouldEqual, 1)
		convey.Convey("and the same order, long after, leaves all requests at the version", func() {
			for _, id := range []fleet.TargetID{"t-0", "t-1"} {
				convey.So(g.cores[2].End(fleet.TargetEnd{Target: id}), convey.ShouldBeNil)
			}
			// Within 6 s the order counts as resent.
			time.Sleep(time.Until(begun.Add(7 * time.Second)))
			convey.So(g.startRollout(2, "v2", 6*time.Second), convey.ShouldBeNil)
			r := g.rollout(2)
			convey.So(r.Number, convey.ShouldEqual, 2)
			convey.So(r.Share, convey.ShouldEqual, 1)
		})
	})
	convey.Convey("A roll-out of a bad version is reverted, and the routers are told", t, func() {
		g := startVersions(t)
		f := startFakeRouter(g, 0.5)
		convey.So(g.startRollout(0, "v2", 12*time.Second), convey.ShouldBeNil)
		g.playRollout(f, 12*time.Second)
		convey.So(g.rollout(1).State, convey.ShouldEqual, fleet.RolloutReverted)
		convey.So(f.state().Share, convey.ShouldEqual, 0)
		convey.Convey("and a new order starts the next one", func() {
			convey.So(g.startRollout(0, "v3", 12*time.Second), convey.ShouldBeNil)
			convey.So(g.rollout(2).Number, convey.ShouldEqual, 2)
		})
	})
}

// Guards against roll-outs that stop or end differently because a leader is lost between two steps.
func TestRolloutWithoutItsLeader(t *testing.T) {
	for _, c := range []struct {
		name     string
		badShare float64
		stopAt   []uint64
		want     fleet.RolloutState
	}{
		{"after one step in the trial and one in the move, is completed", 0, []uint64{2, 4}, fleet.RolloutCompleted},
		{"after each step, is completed late", 0, []uint64{1, 2, 3, 4, 5, 6}, fleet.RolloutCompleted},
		{"after the order and the first step, and whose version is bad, is reverted", 0.5, []uint64{1, 2}, fleet.RolloutReverted},
	} {
		convey.Convey("A roll-out whose leader stops "+c.name, t, func() {
			g := startVersions(t)
			f := startFakeRouter(g, c.badShare)
			convey.So(g.startRollout(0, "v2", 12*time.Second), convey.ShouldBeNil)
			g.playRollout(f, 40*time.Second, c.stopAt...)
			convey.So(g.rollout(0).State, convey.ShouldEqual, c.want)
		})
	}
}

// Guards against a cut-off host that answers reads or takes orders.
func TestRolloutsAtACutOffHost(t *testing.T) {
	convey.Convey("A host without a majority answers neither reads nor orders", t, func() {
		g := newCluster(t, 3)
		g.start(0, true)
		_, err := g.cores[0].ReadRollouts(context.Background())
		convey.So(errors.Is(err, core.ErrUnavailable), convey.ShouldBeTrue)
		_, err = g.cores[0].StartRollout(context.Background(), fleet.StartRolloutRequest{Service: "drafter", To: "v2", Duration: time.Second})
		convey.So(errors.Is(err, core.ErrUnavailable), convey.ShouldBeTrue)
	})
}
