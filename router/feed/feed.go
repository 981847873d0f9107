// Package feed connects a router to the control hosts of a deployment. It receives the
// configuration, the targets and the loads of the other routers, and reports the
// router's own load.
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
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/packed"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const (
	// heartbeatInterval is the time between two heartbeats to all control hosts.
	heartbeatInterval = 500 * time.Millisecond
	// callTimeout bounds a call to a control host.
	callTimeout = time.Second
	// noticeValidity is the age from which a control host's notice is ignored.
	noticeValidity = 3 * time.Second
)

// Config configures a Follower.
type Config struct {
	Self fleet.HostID
	// Address is where callers reach the router.
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
	// Seeds are the control hosts to connect to first, by their addresses for the
	// fleet's own processes.
	Seeds []netip.AddrPort
	// Decode parses the text of a configuration.
	Decode func(text []byte) (*deployment.Configuration, error)
	// Reduce passes an event of the feed to the placement and returns its effects.
	Reduce func(fleet.Event) []fleet.Effect
	// Origins shares the origins of streams over the connections of the feed.
	Origins *Origins
	// Budget bounds the messages of control hosts that are held; nil means no limit.
	Budget *bytebudget.Budget
	Clock  fleet.Clock
	Log    *slog.Logger
}

// Follower follows the feed of all control hosts. It never returns to an older
// configuration or revision.
type Follower struct {
	cfg     Config
	clients *rpc.ClientSet
	stop    chan struct{}
	// early wakes the sending of heartbeats.
	early chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	seeds   []netip.AddrPort
	notices map[netip.AddrPort]receivedNotice
	// included has, for each control host, the own report that is part of its next digest.
	included map[netip.AddrPort]fleet.ReportIncluded
	revision fleet.Revision
	// confirmed is true once a control host in contact with a majority has sent a notice.
	confirmed bool
	config    *deployment.Configuration
	configAt  time.Time
	fetching  bool
	// redirectShare is the share of callers that should use other routers, from 0 to 1.
	redirectShare float64
	// utilisation is the used fraction of the router's capacity for callers, room.
	utilisation float64
	room        fleet.Room
	stopping    bool
	routers     []fleet.HostID
	// busyRouters is the number of routers with requests in the newest digest, lastWork the time
	// of the last report of this router that had some.
	busyRouters int
	// unreadyAt is when a digest last named this router as one that is to be not ready.
	unreadyAt time.Time
	lastWork  time.Time
	// routersFrom are the control hosts whose lists routers unites, and routersChanged is true
	// if one of these lists has changed since.
	routersFrom    []netip.AddrPort
	routersChanged bool
}

// receivedNotice is the last notice of a control host.
type receivedNotice struct {
	fleet.Notice
	receivedAt time.Time
}

// New returns a Follower; Start connects it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, seeds: cfg.Seeds, notices: map[netip.AddrPort]receivedNotice{}, included: map[netip.AddrPort]fleet.ReportIncluded{}, stop: make(chan struct{}), early: make(chan struct{}, 1)}
	f.clients = rpc.NewClientSet(rpc.ClientSetConfig{
		Uncompressed: true, Budget: cfg.Budget,
		Handler: func(addr netip.AddrPort) rpc.Handler {
			return rpc.Recovering(rpc.HandlerFunc(func(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
				return nil, f.handleNotification(addr, method, params)
			}), cfg.Log)
		},
		OnConnect: f.join,
		OnDisconnect: func(addr netip.AddrPort, cause error) {
			cfg.Log.Warn(logevent.ControlLost, "control", addr.String(), logevent.FieldError, cause)
			f.mu.Lock()
			delete(f.notices, addr)
			delete(f.included, addr)
			f.mu.Unlock()
		},
	})
	cfg.Origins.clients = f.clients
	return f
}

// Start connects to the control hosts and begins to report, until Stop is called.
func (f *Follower) Start() {
	f.updateConnections()
	f.wg.Go(f.reportLoads)
	f.wg.Go(f.runHeartbeats)
	f.wg.Go(func() { f.cfg.Origins.run(f.stop) })
}

// Stop closes all connections and waits for the background work to end.
func (f *Follower) Stop() {
	close(f.stop)
	// Closing the connections ends the calls that wait for a reply on them.
	f.clients.Stop()
	f.wg.Wait()
}

// SetSeeds replaces the seeds and updates the connections.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.updateConnections()
}

// SetLoad sets the used fraction of the router's capacity, the share of callers, from 0 to 1, that
// should use other routers, and the capacity for callers. All are sent to control hosts with the
// next heartbeat or load report.
func (f *Follower) SetLoad(utilisation, redirectShare float64, room fleet.Room) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.utilisation, f.redirectShare, f.room = utilisation, redirectShare, room
}

// ReportEarly sends the load to all control hosts without waiting for the next heartbeat.
func (f *Follower) ReportEarly() {
	select {
	case f.early <- struct{}{}:
	default:
	}
}

// SetStopping reports to all control hosts that the router takes no new callers.
func (f *Follower) SetStopping() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.sendHeartbeats(f.clients.Connected())
}

// Config returns the configuration in force, or nil if none has been received.
func (f *Follower) Config() *deployment.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// unreadyValidity is the age of a digest up to which a router that it names is not ready.
const unreadyValidity = 2 * time.Second

// Ready reports whether the router has a configuration, is not stopping, and is not to move its
// callers to other routers.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && !f.stopping && !f.isUnready()
}

// isUnready reports whether a digest named this router as one that is to be not ready. The caller
// holds mu.
func (f *Follower) isUnready() bool {
	return !f.unreadyAt.IsZero() && f.cfg.Clock.Now().Sub(f.unreadyAt) < unreadyValidity
}

// setUnready records whether the newest digest names this router as one that is to be not ready. The
// caller holds mu.
func (f *Follower) setUnready(unready bool) {
	if unready != f.isUnready() {
		f.cfg.Log.Warn(logevent.CrowdMoved, "unready", unready, "load", f.utilisation, "connections", f.room.Open)
	}
	f.unreadyAt = time.Time{}
	if unready {
		f.unreadyAt = f.cfg.Clock.Now()
	}
}

// updateConnections connects to the seeds and to the control hosts named in notices.
func (f *Follower) updateConnections() {
	f.mu.Lock()
	addrs := slices.Clone(f.seeds)
	for _, n := range f.notices {
		for _, h := range n.Controls {
			if addr, err := netip.ParseAddrPort(string(h)); err == nil {
				addrs = append(addrs, addr)
			}
		}
	}
	f.mu.Unlock()
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	f.clients.SetAddresses(slices.Compact(addrs))
}

// join registers the router with a control host.
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
	f.cfg.Origins.sendAll(addr, peer)
}

// handleNotification handles a notification from a control host.
func (f *Follower) handleNotification(addr netip.AddrPort, method string, params json.RawMessage) error {
	switch method {
	case fleet.MethodNotice:
		var n fleet.Notice
		if err := fleet.Decode(params, &n); err != nil {
			return err
		}
		f.handleNotice(addr, n)
	case fleet.MethodTargets:
		n, invalid, err := fleet.DecodeTargetsNotice(params)
		if err != nil {
			return err
		}
		for _, err := range invalid {
			f.cfg.Log.Warn(logevent.AnnouncementRefused, "control", addr.String(), "error", err)
		}
		f.cfg.Reduce(placement.TargetsNoticeReceived{TargetsNotice: n})
	case fleet.MethodIncluded:
		var n fleet.ReportIncluded
		if err := fleet.Decode(params, &n); err != nil {
			return err
		}
		f.mu.Lock()
		f.included[addr] = n
		f.mu.Unlock()
	case fleet.MethodDigest:
		var d fleet.LoadDigest
		if err := fleet.Decode(params, &d); err != nil {
			return err
		}
		f.mu.Lock()
		included := f.included[addr]
		f.busyRouters = d.BusyRouters
		f.setUnready(slices.Contains(d.Unready, f.cfg.Self))
		f.mu.Unlock()
		f.cfg.Reduce(placement.DigestReceived{LoadDigest: d, ReportIncluded: included})
	default:
		return errors.Errorf("method %q does not exist", method)
	}
	return nil
}

// handleNotice stores a notice, passes its changes to the placement, and fetches the
// configuration if the notice names a newer one. See
// offersConfig.
func (f *Follower) handleNotice(addr netip.AddrPort, n fleet.Notice) {
	if len(n.Rollouts) > 0 {
		f.cfg.Reduce(placement.RolloutsNoticed{Control: addr, Confirmed: n.Confirmed, Rollouts: n.Rollouts})
	}
	f.mu.Lock()
	f.confirmed = f.confirmed || n.Confirmed
	if n.SameRouters {
		n.Routers = f.notices[addr].Routers
	} else {
		f.routersChanged = true
	}
	f.notices[addr] = receivedNotice{Notice: n, receivedAt: f.cfg.Clock.Now()}
	newer := n.Revision > f.revision
	if newer {
		f.revision = n.Revision
	}
	fetch := f.offersConfig(&n) && !f.fetching
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

// offersConfig reports whether a notice names a newer configuration that may be fetched. Before the
// first confirmed notice none is fetched from a host that knows of roll-outs, whose states may be
// outdated. The caller holds mu.
func (f *Follower) offersConfig(n *fleet.Notice) bool {
	return n.Number > 0 && (f.config == nil || n.Number > f.config.Number) && (f.confirmed || len(n.Rollouts) == 0)
}

// refreshPeers updates the list of routers from all valid notices. The caller holds mu.
func (f *Follower) refreshPeers() placement.PeersChanged {
	now := f.cfg.Clock.Now()
	var from []netip.AddrPort
	listening := false
	for addr, n := range f.notices {
		if now.Sub(n.receivedAt) < noticeValidity {
			from = append(from, addr)
			listening = listening || n.Confirmed
		}
	}
	slices.SortFunc(from, netip.AddrPort.Compare)
	if f.routersChanged || len(f.routers) == 0 || !slices.Equal(from, f.routersFrom) {
		routers := []fleet.HostID{f.cfg.Self}
		for _, addr := range from {
			routers = append(routers, f.notices[addr].Routers...)
		}
		slices.Sort(routers)
		f.routers, f.routersFrom, f.routersChanged = slices.Compact(routers), from, false
	}
	return placement.PeersChanged{Routers: f.routers, Listening: listening}
}

// fetchConfig fetches the configuration of a control host and puts it in force, unless
// one at least as new is.
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
	client := f.clients.Client(addr)
	if client == nil {
		return nil, rpc.ErrDisconnected
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply fleet.ConfigReply
	if err := client.Call(ctx, fleet.MethodConfig, &fleet.ConfigRequest{}, &reply); err != nil {
		return nil, err
	}
	text, err := packed.Decompress(reply.Text)
	if err != nil {
		return nil, err
	}
	return f.cfg.Decode(text)
}
