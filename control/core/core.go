// Package core is a control host of a deployment whose processes find each other: it
// takes the configurations of operators and the announcements of targets, tells the
// routers of both, and tells callers which routers to use.
//
// Configurations are durable on a majority before they are acknowledged. What targets
// announce is not: each control host passes it on to all routers and control hosts
// that follow its feed.
package core

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"

	"github.com/fuchsiashed/fuchsiashed/control/clients"
	"github.com/fuchsiashed/fuchsiashed/control/disk"
	"github.com/fuchsiashed/fuchsiashed/control/replicas"
	"github.com/fuchsiashed/fuchsiashed/control/shell"
)

const (
	// housekeepingInterval is the time between two rounds of housekeeping.
	housekeepingInterval = 500 * time.Millisecond
	// inTouchWithin is the silence of a majority after which a host counts as cut off.
	inTouchWithin = 1500 * time.Millisecond
	// memberSilentAfter is the silence after which a control host leaves the quorum. A
	// host that was suspended or restarted is back sooner.
	memberSilentAfter = 8 * time.Second
	// minVoters is the smallest quorum that is kept by dropping silent members.
	minVoters = 3
	// maxMembers bounds the members of the quorum.
	maxMembers = 13
	// retryWrites is the pause after a failed write of the disk, which may be full.
	retryWrites = 200 * time.Millisecond
	// targetForgottenAfter is the silence after which a target is forgotten. Announcements
	// come every 1 to 2 s and may be seconds late.
	targetForgottenAfter = 8 * time.Second
)

// Config configures a Core.
type Config struct {
	// Self is the address for the fleet's own processes. It names the host, too.
	Self       netip.AddrPort
	DataCentre fleet.DataCentreName
	// Listen is where the host takes the other processes' connections, when they reach it
	// by another address than its own one; the zero value is Self.
	Listen netip.AddrPort
	// Seeds are addresses of control hosts for the fleet's own processes.
	Seeds []netip.AddrPort
	// Bootstrap is set at the first start of the whole deployment only.
	Bootstrap  bool
	DataFolder string
	// DemandWindow is the span over which the customers' shares are worked out.
	DemandWindow time.Duration
	Clock        fleet.Clock
	Log          *slog.Logger
}

// Core is a control host.
type Core struct {
	cfg       Config
	host      fleet.HostID
	storage   *disk.Log
	shell     *shell.Shell
	mesh      *rpc.ClientSet
	transport *replicas.Transport
	server    *rpc.Server
	hub       *hub
	loads     *loads
	clients   *clients.Handler
	stop      chan struct{}
	wg        sync.WaitGroup
	started   time.Time

	mu      sync.Mutex
	seeds   []netip.AddrPort
	targets *targets.Directory
	state   registry.NumberedState
	leader  fleet.HostID
	members []fleet.HostID
}

// HostIDOf returns the ID of the process that listens on an address for other processes
// of the fleet: the address in text form.
func HostIDOf(addr netip.AddrPort) fleet.HostID { return fleet.HostID(addr.String()) }

func resolve(h fleet.HostID) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(string(h))
	return addr, err == nil
}

// New opens the storage and makes a Core; Start runs it.
func New(cfg Config) (*Core, error) {
	c := &Core{
		cfg: cfg, host: HostIDOf(cfg.Self), started: cfg.Clock.Now(), seeds: cfg.Seeds, targets: targets.New(), stop: make(chan struct{}),
	}
	c.hub = newHub(c)
	c.loads = newLoads(cfg.DemandWindow / demandParts)
	c.mesh = rpc.NewClientSet(rpc.ClientSetConfig{
		Uncompressed: true, OnConnect: c.joinPeer,
		Handler: func(netip.AddrPort) rpc.Handler { return rpc.HandlerFunc(c.handle) },
	})
	c.transport = replicas.New(replicas.Config{Mesh: c.mesh, Resolve: resolve})
	listen := cfg.Listen
	if !listen.IsValid() {
		listen = cfg.Self
	}
	c.server = rpc.NewServer(rpc.ServerConfig{
		Address: listen, Uncompressed: true, Handler: rpc.HandlerFunc(c.handle), OnDisconnect: c.hub.gone, Log: cfg.Log,
	})
	return c, c.openShell()
}

// openShell restores the replica. A storage that is damaged counts as lost: its host
// joins again under a new incarnation, whose votes are not taken for the old one's.
func (c *Core) openShell() error {
	bootstrap := c.cfg.Bootstrap
	storage, err := disk.Open(c.cfg.DataFolder)
	var damaged *disk.DamagedError
	if errors.As(err, &damaged) {
		c.cfg.Log.Error(logevent.StorageDamaged, "error", err)
		bootstrap = false
		if err := os.Rename(damaged.File, damaged.File+".damaged"); err != nil {
			return errors.Wrap(err, "set the damaged storage aside")
		}
		storage, err = disk.Open(c.cfg.DataFolder)
	}
	if err != nil {
		return err
	}
	if storage.TornBytes > 0 {
		c.cfg.Log.Warn(logevent.TornTailCut, "bytes", storage.TornBytes, "file", filepath.Base(c.cfg.DataFolder))
	}
	c.storage = storage
	var founders []fleet.HostID
	for _, s := range c.cfg.Seeds {
		founders = append(founders, HostIDOf(s))
	}
	c.shell, err = shell.New(shell.Config{
		Quorum: quorum.Config{
			Host: c.host, Incarnation: fleet.Incarnation(rand.Uint64()>>1 | 1),
			Hosts: founders, Bootstrap: bootstrap, RecordCommits: true, NoLeases: true,
			Membership: &quorum.MembershipPolicy{SilentAfter: memberSilentAfter, MinVoters: minVoters, MaxMembers: maxMembers},
		},
		Storage: storage, Sender: c.transport, Clock: c.cfg.Clock, Log: c.cfg.Log,
		WriteRetryDelay: retryWrites, OnStateChange: c.changed, OnRoleChange: c.standing,
		OnStorageFailure: func(error) {},
	})
	c.clients = &clients.Handler{Replica: c.shell}
	return err
}

// Start runs the host until Stop.
func (c *Core) Start() error {
	if err := c.server.Start(); err != nil {
		return err
	}
	c.shell.Start()
	c.connect()
	c.wg.Go(c.keepHouse)
	c.wg.Go(c.sendDigests)
	return nil
}

// TransferLeadership hands the leadership to another replica before a planned stop. It
// has no effect on a follower.
func (c *Core) TransferLeadership() { c.shell.TransferLeadership() }

// Stop ends the host.
func (c *Core) Stop() error {
	close(c.stop)
	c.server.Stop()
	c.shell.Stop()
	c.mesh.Stop()
	c.transport.Stop()
	c.hub.close()
	c.wg.Wait()
	return c.storage.Close()
}

// SetSeeds exchanges the seeds.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	c.connect()
}

// connect keeps a connection to every control host that is known.
func (c *Core) connect() {
	known := map[netip.AddrPort]bool{}
	c.mu.Lock()
	for _, s := range c.seeds {
		known[s] = true
	}
	for _, h := range c.members {
		if addr, ok := resolve(h); ok {
			known[addr] = true
		}
	}
	c.mu.Unlock()
	for _, h := range c.hub.controls() {
		if addr, ok := resolve(h); ok {
			known[addr] = true
		}
	}
	delete(known, c.cfg.Self)
	var addrs []netip.AddrPort
	var hosts []fleet.HostID
	for addr := range known {
		addrs = append(addrs, addr)
		hosts = append(hosts, HostIDOf(addr))
	}
	c.mesh.SetAddresses(addrs)
	c.shell.AddContacts(hosts)
}

// joinPeer follows the feed of another control host.
func (c *Core) joinPeer(addr netip.AddrPort, peer fleet.Caller) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req := fleet.JoinRequest{Host: c.host, Role: fleet.RoleControl, DataCentre: c.cfg.DataCentre}
	var reply fleet.JoinReply
	if err := peer.Call(ctx, fleet.MethodJoin, &req, &reply); err != nil {
		c.cfg.Log.Warn(logevent.JoinFailed, "peer", addr.String(), "error", err)
	}
}

// handle answers routers and other control hosts.
func (c *Core) handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodJoin:
		var r fleet.JoinRequest
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		c.hub.join(peer, r)
		return &fleet.JoinReply{Host: c.host}, nil
	case fleet.MethodLoad:
		var r fleet.RouterLoad
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		c.hub.heard(peer, &r)
		c.loads.take(c.cfg.Clock.Now(), r)
		return nil, nil
	case fleet.MethodTargets:
		var n fleet.TargetsNotice
		if err := fleet.Decode(params, &n); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		c.merge(n)
		return nil, nil
	case fleet.MethodConfig:
		c.mu.Lock()
		defer c.mu.Unlock()
		return &fleet.ConfigReply{NumberedConfig: c.state.Config}, nil
	case fleet.MethodNotice, fleet.MethodDigest:
		return nil, nil
	}
	return c.clients.Handle(ctx, peer, method, params)
}

// changed takes a newer committed state.
func (c *Core) changed(n registry.NumberedState) {
	c.mu.Lock()
	c.state = n
	c.mu.Unlock()
	c.hub.noticeChanged()
}

func (c *Core) standing(s quorum.RoleChanged) {
	c.mu.Lock()
	c.leader = s.Leader
	c.mu.Unlock()
	c.hub.noticeChanged()
}

// keepHouse drops what is gone and follows the changes of the quorum.
func (c *Core) keepHouse() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		var members []fleet.HostID
		c.shell.Inspect(func(s *registry.Server) {
			for _, m := range s.Status().Members {
				members = append(members, m.Host)
			}
		})
		now := c.cfg.Clock.Now()
		c.mu.Lock()
		c.members = members
		gone := c.targets.Expire(now, now.Add(-targetForgottenAfter), nil)
		c.mu.Unlock()
		for _, id := range gone {
			c.cfg.Log.Warn(logevent.TargetForgotten, "target", string(id), "silentFor", targetForgottenAfter.String())
		}
		c.hub.aliveDue()
		c.connect()
	}
}

// HasQuorumContact reports whether the host was in contact with a majority of the quorum
// within quorumContactTimeout.
func (c *Core) HasQuorumContact() bool { return c.shell.HasQuorumContact(inTouchWithin) }

// Status is this host's view of the deployment, published as the metric Beliefs.
type Status struct {
	Notice  fleet.Notice
	Targets int
	Leads   bool
}

// Status returns this host's view of the deployment.
func (c *Core) Status() Status {
	n := c.notice()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{Notice: n, Targets: len(c.targets.All()), Leads: c.leader == c.host}
}

// notice returns what this host believes.
func (c *Core) notice() fleet.Notice {
	n := fleet.Notice{Confirmed: c.HasQuorumContact(), Routers: c.hub.routers()}
	controls := map[fleet.HostID]bool{c.host: true}
	c.mu.Lock()
	n.Revision, n.Number, n.Out, n.Leader = c.state.Revision, c.state.Config.Number, c.state.Out, c.leader
	for _, h := range c.members {
		controls[h] = true
	}
	c.mu.Unlock()
	for _, h := range c.hub.controls() {
		controls[h] = true
	}
	n.Controls = sorted(controls)
	return n
}
