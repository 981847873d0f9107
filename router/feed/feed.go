// Package feed follows what the control hosts of a deployment tell the routers: the
// configuration, the targets, and the loads of the other routers.
package feed

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/packed"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const (
	// minReportInterval is the shortest time between two reports to the control host
	// that collects loads.
	minReportInterval = 100 * time.Millisecond
	// reportPerRouter is added to the interval for each router, see the digests of the
	// control hosts.
	reportIntervalPerRouter = 5 * time.Millisecond
	// lifeInterval is the time between two signs of life to the other control hosts.
	heartbeatInterval = 500 * time.Millisecond
	// callTimeout bounds a call to a control host.
	callTimeout = time.Second
	// noticeValidity is the age from which a notice does not count.
	noticeValidity = 3 * time.Second
)

// Config configures a Follower.
type Config struct {
	Self fleet.HostID
	// Address is where callers reach the router.
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
	// Seeds are addresses of control hosts for the fleet's own processes.
	Seeds []netip.AddrPort
	// Decode parses the text of a configuration.
	Decode func(text []byte) (*deployment.Configuration, error)
	// Reduce takes the events that come of the feed.
	Reduce func(fleet.Event) []fleet.Effect
	Clock  fleet.Clock
	Log    *slog.Logger
}

// Follower follows the feed of all control hosts. What it knows never goes back.
type Follower struct {
	cfg  Config
	mesh *rpc.Mesh
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	seeds    []netip.AddrPort
	notices  map[netip.AddrPort]receivedNotice
	revision fleet.Revision
	config   *deployment.Configuration
	configAt time.Time
	fetching bool
	// away is the part of the callers that should use other routers.
	redirectShare float64
	stopping      bool
	routers       []fleet.HostID
}

// notice is the last notice of a control host.
type receivedNotice struct {
	fleet.Notice
	at time.Time
}

// New makes a Follower; Start connects it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, seeds: cfg.Seeds, notices: map[netip.AddrPort]receivedNotice{}, stop: make(chan struct{})}
	f.mesh = rpc.NewMesh(rpc.MeshConfig{
		Plain: true,
		Handler: func(addr netip.AddrPort) rpc.Handler {
			return rpc.HandlerFunc(func(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
				return nil, f.handleNotification(addr, method, params)
			})
		},
		Up: f.join,
		Down: func(addr netip.AddrPort) {
			cfg.Log.Warn(logevent.ControlLost, "control", addr.String())
			f.mu.Lock()
			delete(f.notices, addr)
			f.mu.Unlock()
		},
	})
	return f
}

// Start follows until Stop.
func (f *Follower) Start() {
	f.updateConnections()
	f.wg.Go(f.reportLoads)
	f.wg.Go(f.runHeartbeats)
}

// Stop ends the following.
func (f *Follower) Stop() {
	close(f.stop)
	// The end of the connections ends the calls that wait for them.
	f.mesh.Stop()
	f.wg.Wait()
}

// SetSeeds exchanges the seeds.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.updateConnections()
}

// SetRedirectShare sets the part of the callers that should use other routers; control hears of it
// with the next sign of life.
func (f *Follower) SetRedirectShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.redirectShare = share
}

// SetStopping tells all control hosts that the router takes no new callers.
func (f *Follower) SetStopping() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.sendHeartbeats(f.mesh.Connected())
}

// Config returns the configuration in force, or nil.
func (f *Follower) Config() *deployment.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Ready says whether the router knows what it needs to serve callers.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && !f.stopping
}

// connect keeps a connection to every control host that is known.
func (f *Follower) updateConnections() {
	f.mu.Lock()
	wanted := slices.Clone(f.seeds)
	for _, n := range f.notices {
		for _, h := range n.Controls {
			if addr, err := netip.ParseAddrPort(string(h)); err == nil {
				wanted = append(wanted, addr)
			}
		}
	}
	f.mu.Unlock()
	slices.SortFunc(wanted, netip.AddrPort.Compare)
	f.mesh.Want(slices.Compact(wanted))
}

// join introduces the router to a control host.
func (f *Follower) join(addr netip.AddrPort, peer fleet.Caller) {
	f.mu.Lock()
	req := fleet.JoinRequest{
		Host: f.cfg.Self, Role: fleet.RoleRouter, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre, Stopping: f.stopping,
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply fleet.JoinReply
	if err := peer.Call(ctx, fleet.MethodJoin, &req, &reply); err != nil {
		f.cfg.Log.Warn(logevent.JoinFailed, "control", addr.String(), "error", err)
		return
	}
	f.cfg.Log.Info(logevent.ControlJoined, "control", addr.String())
}

// handle takes a notification of a control host.
func (f *Follower) handleNotification(addr netip.AddrPort, method string, params json.RawMessage) error {
	switch method {
	case fleet.MethodNotice:
		var n fleet.Notice
		if err := fleet.Decode(params, &n); err != nil {
			return err
		}
		f.handleNotice(addr, n)
	case fleet.MethodTargets:
		var n fleet.TargetsNotice
		if err := fleet.Decode(params, &n); err != nil {
			return err
		}
		f.cfg.Reduce(placement.TargetsNoticeReceived{TargetsNotice: n})
	case fleet.MethodDigest:
		var d fleet.LoadDigest
		if err := fleet.Decode(params, &d); err != nil {
			return err
		}
		f.cfg.Reduce(placement.DigestReceived{LoadDigest: d})
	default:
		return errors.Errorf("method %q does not exist", method)
	}
	return nil
}

// noticed takes a notice.
func (f *Follower) handleNotice(addr netip.AddrPort, n fleet.Notice) {
	f.mu.Lock()
	f.notices[addr] = receivedNotice{Notice: n, at: f.cfg.Clock.Now()}
	newer := n.Revision > f.revision
	if newer {
		f.revision = n.Revision
	}
	fetch := n.Number > 0 && (f.config == nil || n.Number > f.config.Number) && !f.fetching
	if fetch {
		f.fetching = true
	}
	peers := f.refreshPeers()
	f.mu.Unlock()
	if newer {
		f.cfg.Log.Info(logevent.StateNoticed, "control", addr.String(), "revision", uint64(n.Revision), "number", int64(n.Number), "out", n.Out)
		f.cfg.Reduce(placement.DataCentresOutChanged{Out: n.Out})
	}
	f.cfg.Reduce(peers)
	if fetch {
		f.wg.Go(func() { f.fetchConfig(addr) })
	}
	f.updateConnections()
}

// peers returns the routers that any control host hears of. The caller holds mu.
func (f *Follower) refreshPeers() placement.PeersChanged {
	now := f.cfg.Clock.Now()
	routers := []fleet.HostID{f.cfg.Self}
	listening := false
	for _, n := range f.notices {
		if now.Sub(n.at) < noticeValidity {
			routers = append(routers, n.Routers...)
			listening = listening || n.Confirmed
		}
	}
	slices.Sort(routers)
	f.routers = slices.Compact(routers)
	return placement.PeersChanged{Routers: f.routers, Listening: listening}
}

// fetch gets the configuration that a control host knows and puts it in force, unless
// a newer one is.
func (f *Follower) fetchConfig(addr netip.AddrPort) {
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	config, err := f.requestConfig(addr)
	if err != nil {
		f.cfg.Log.Error(logevent.ConfigFetchFailed, "control", addr.String(), "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && config.Number <= f.config.Number {
		return
	}
	f.config, f.configAt = config, f.cfg.Clock.Now()
	f.cfg.Reduce(placement.ConfigChanged{Config: config})
	f.cfg.Log.Info(logevent.ConfigInForce, "number", int64(config.Number), "routes", len(config.Routes),
		"tokensPerSecond", config.TokensPerSecond, "control", addr.String())
}

func (f *Follower) requestConfig(addr netip.AddrPort) (*deployment.Configuration, error) {
	client := f.mesh.Client(addr)
	if client == nil {
		return nil, rpc.ErrDisconnected
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply fleet.ConfigReply
	if err := client.Call(ctx, fleet.MethodConfig, &fleet.ConfigRequest{}, &reply); err != nil {
		return nil, err
	}
	text, err := packed.Unpack(reply.Text)
	if err != nil {
		return nil, err
	}
	return f.cfg.Decode(text)
}
