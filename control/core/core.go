// Package core implements a control host of a deployment with numbered configurations. It
// accepts configurations from operators and announcements from targets, sends both to the
// routers, and answers callers that look up routers.
//
// A configuration is durable on a majority of control hosts before it is acknowledged.
// Announcements are not stored: each control host sends them to all routers and control
// hosts that follow its feed.
package core

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
	"github.com/fuchsiashed/fuchsiashed/fleet/crowding"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rollout"
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
	// aliveIntervalPerRouter is added up over the connected routers to get the time between two
	// messages with the targets that have not changed, if that is longer than
	// housekeepingInterval. Routers wait for several of them before they give up a target.
	aliveIntervalPerRouter = 3 * time.Millisecond
	// maxAliveInterval is the maximum of that time. Routers use a notice for 3 s.
	maxAliveInterval = time.Second
	// quorumContactTimeout is the time without contact to a majority after which a host
	// counts as isolated.
	quorumContactTimeout = 1500 * time.Millisecond
	// memberTimeout is the time without an answer after which a control host is removed from
	// the quorum. A suspended or restarted host is back sooner.
	memberTimeout = 8 * time.Second
	// surplusMemberTimeout is that time for a control host beyond the number that
	// Config.ToleratedLosses requires. With an election before it, it ends within the time in
	// which the successor of a lost host catches up.
	surplusMemberTimeout = 1500 * time.Millisecond
	// minVoters is the number of other voters that must remain for a silent one to be
	// removed.
	minVoters = 3
	// maxMembers is the maximum number of members of the quorum.
	maxMembers = 13
	// writeRetryDelay is the time before a failed disk write is retried; the disk may be full.
	writeRetryDelay = 200 * time.Millisecond
	// targetTimeout is the time without an announcement after which a target is removed.
	// Targets announce themselves every 1 to 2 s, and announcements may be seconds late.
	targetTimeout = 8 * time.Second
)

// Config configures a Core.
type Config struct {
	// Self is the address at which the fleet's other processes connect. Its text form is the
	// host ID.
	Self       netip.AddrPort
	DataCentre fleet.DataCentreName
	// Listen is the address to listen on if other processes reach the host by another
	// address than Self; the zero value means Self.
	Listen netip.AddrPort
	// Seeds are the addresses (Self) of the control hosts to connect to at first. They are
	// the members of the quorum when Bootstrap is set.
	Seeds []netip.AddrPort
	// Bootstrap permits founding a new quorum. Set it only for the first start of the whole
	// deployment.
	Bootstrap bool
	// DataFolder holds the replicated log.
	DataFolder string
	// ToleratedLosses is the number of control hosts that may be lost at the same time.
	ToleratedLosses int
	// MoveCrowds lets crowded routers tell the platform that they are not ready.
	MoveCrowds bool
	// EqualRouters names all routers to callers as if their capacities were equal.
	EqualRouters bool
	// DemandWindow is the time over which customers are to receive their fair shares.
	DemandWindow time.Duration
	// Services returns the services of a configuration, from its text. Without it, the services are
	// not known, and orders for any are taken.
	Services func(text []byte) ([]fleet.ServiceName, error)
	// Rollouts are the limits of roll-outs.
	Rollouts rollout.Limits
	// MaxPeers bounds the connections of other processes of the fleet; 0 means no limit.
	MaxPeers int
	// Budget bounds the messages of other processes that are held; nil means no limit.
	Budget *bytebudget.Budget
	Clock  fleet.Clock
	Log    *slog.Logger
}

// Core is a control host. It is safe for concurrent use.
type Core struct {
	cfg       Config
	host      fleet.HostID
	storage   *disk.Log
	shell     *shell.Shell
	clientSet *rpc.ClientSet
	transport *replicas.Transport
	server    *rpc.Server
	hub       *hub
	loads     *loadCollector
	crowds    *crowding.Granter
	// unready has the routers that the last digest named as not ready. Only sendDigests uses it.
	unready  []fleet.HostID
	clients  *clients.Handler
	board    rolloutBoard
	rollouts rolloutLeader
	services serviceCache
	// feed handles the messages of the feed.
	feed      rpc.Handler
	stop      chan struct{}
	wg        sync.WaitGroup
	startTime time.Time
	origins   *originStore

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

// addressOf returns the address that a host ID stands for, or false if it is not one.
func addressOf(h fleet.HostID) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(string(h))
	return addr, err == nil
}

// New opens the storage and restores the replica from it; Start runs the host. It fails if
// the storage is in use or can't be read; a damaged one is replaced by an empty one.
func New(cfg Config) (*Core, error) {
	c := &Core{
		cfg: cfg, host: HostIDOf(cfg.Self), startTime: cfg.Clock.Now(), seeds: cfg.Seeds, targets: targets.New(), stop: make(chan struct{}),
	}
	c.hub = newHub(c, cfg.Clock, cfg.Log)
	c.hub.rooms.disabled = cfg.EqualRouters
	c.origins = newOriginStore(cfg.Clock)
	c.crowds = crowding.NewGranter(crowding.DefaultConfig)
	c.loads = newLoadCollector(cfg.DemandWindow/demandWindowParts, cfg.Log)
	c.rollouts.limits = cfg.Rollouts
	c.feed = rpc.Recovering(rpc.HandlerFunc(c.handleFeed), cfg.Log)
	c.clientSet = rpc.NewClientSet(rpc.ClientSetConfig{
		Uncompressed: true, OnConnect: c.followPeer, Budget: cfg.Budget,
		Handler: func(netip.AddrPort) rpc.Handler { return rpc.HandlerFunc(c.handle) },
	})
	c.transport = replicas.New(replicas.Config{Clients: c.clientSet, Resolve: addressOf})
	listen := cfg.Listen
	if !listen.IsValid() {
		listen = cfg.Self
	}
	c.server = rpc.NewServer(rpc.ServerConfig{
		Address: listen, Uncompressed: true, MaxConnections: cfg.MaxPeers, Budget: cfg.Budget, Handler: rpc.HandlerFunc(c.handle), OnDisconnect: c.hub.disconnected, Log: cfg.Log,
	})
	return c, c.openShell()
}

// openShell restores the replica from its storage. A damaged storage is renamed and counts
// as lost: the host joins again under a new incarnation, which has no vote of the old one.
func (c *Core) openShell() error {
	bootstrap := c.cfg.Bootstrap
	storage, err := disk.Open(c.cfg.DataFolder)
	var damaged *disk.DamagedError
	if errors.As(err, &damaged) {
		c.cfg.Log.Error(logevent.StorageDamaged, "error", err)
		bootstrap = false
		if err := os.Rename(damaged.File, damaged.File+".damaged"); err != nil {
			return errors.Wrap(err, "rename the damaged storage")
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
			Membership: &quorum.MembershipPolicy{
				SilentAfter: memberTimeout, MinVoters: minVoters, MaxMembers: maxMembers,
				SurplusSilentAfter: surplusMemberTimeout, TargetVoters: max(minVoters, 2*c.cfg.ToleratedLosses+1),
			},
		},
		Storage: storage, Sender: c.transport, Clock: c.cfg.Clock, Log: c.cfg.Log,
		WriteRetryDelay: writeRetryDelay, OnStateChange: c.onStateChange, OnRolloutsChange: c.onRolloutsChange, OnRoleChange: c.onRoleChange,
		OnStorageFailure: func(error) {},
	})
	c.clients = &clients.Handler{Replica: c.shell}
	return err
}

// Start runs the host until Stop. It fails if the host can't listen.
func (c *Core) Start() error {
	if err := c.server.Start(); err != nil {
		return err
	}
	c.shell.Start()
	c.hub.start()
	c.updateConnections()
	c.wg.Go(c.runHousekeeping)
	c.wg.Go(c.sendDigests)
	c.wg.Go(c.runRollouts)
	return nil
}

// TransferLeadership transfers the leadership to another replica before a planned stop. It
// has no effect on a follower.
func (c *Core) TransferLeadership() { c.shell.TransferLeadership() }

// Stop closes all connections and the storage. The Core can't be started again.
func (c *Core) Stop() error {
	close(c.stop)
	c.server.Stop()
	c.shell.Stop()
	c.clientSet.Stop()
	c.transport.Stop()
	c.hub.close()
	c.wg.Wait()
	return c.storage.Close()
}

// SetSeeds replaces the seeds and updates the connections accordingly.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	c.updateConnections()
}

// updateConnections sets the control hosts to connect to: the seeds, the members of the
// quorum and the control hosts that follow this one.
func (c *Core) updateConnections() {
	known := map[netip.AddrPort]bool{}
	c.mu.Lock()
	for _, s := range c.seeds {
		known[s] = true
	}
	for _, h := range c.members {
		if addr, ok := addressOf(h); ok {
			known[addr] = true
		}
	}
	c.mu.Unlock()
	for _, h := range c.hub.controlHosts() {
		if addr, ok := addressOf(h); ok {
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
	c.clientSet.SetAddresses(addrs)
	c.shell.AddContacts(hosts)
}

// onStateChange stores a newer committed state and queues a notice about it.
func (c *Core) onStateChange(n registry.NumberedState) {
	c.mu.Lock()
	c.state = n
	c.mu.Unlock()
	c.hub.queueNotice()
}

// onRoleChange stores the leader and queues a notice about it.
func (c *Core) onRoleChange(change quorum.RoleChanged) {
	c.mu.Lock()
	c.leader = change.Leader
	c.mu.Unlock()
	c.hub.queueNotice()
}

// runHousekeeping periodically removes expired targets, sends the live targets to the
// followers and updates the connections to the members of the quorum.
func (c *Core) runHousekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	var aliveFlushed time.Time
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
		expired := c.targets.Expire(now, now.Add(-targetTimeout), nil)
		c.mu.Unlock()
		for _, id := range expired {
			c.cfg.Log.Warn(logevent.TargetForgotten, "target", string(id), "silentFor", targetTimeout.String())
		}
		c.hub.resizeSubsets()
		if now.Sub(aliveFlushed) >= c.aliveInterval() {
			aliveFlushed = now
			c.hub.flushAlive()
		}
		c.updateConnections()
	}
}

// aliveInterval returns the minimum time between two messages with the targets that have not
// changed.
func (c *Core) aliveInterval() time.Duration {
	routers, _ := c.hub.routerCounts()
	return min(maxAliveInterval, time.Duration(routers)*aliveIntervalPerRouter)
}

// HasQuorumContact reports whether the host was in contact with a majority of the quorum
// within quorumContactTimeout.
func (c *Core) HasQuorumContact() bool { return c.shell.HasQuorumContact(quorumContactTimeout) }

// Status is this host's view of the deployment, published as the metric Beliefs.
type Status struct {
	Notice fleet.Notice
	// Targets is the number of targets that have not ended or expired.
	Targets int
	// Leads is true if this host is the leader of the quorum.
	Leads bool
}

// Status returns this host's view of the deployment.
func (c *Core) Status() Status {
	n := c.notice()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{Notice: n, Targets: len(c.targets.All()), Leads: c.leader == c.host}
}

// notice returns this host's view of the deployment without the targets.
func (c *Core) notice() fleet.Notice {
	n := fleet.Notice{Confirmed: c.HasQuorumContact(), Routers: c.hub.liveRouters(), Rollouts: c.board.list(c.cfg.Clock.Now())}
	controls := map[fleet.HostID]bool{c.host: true}
	c.mu.Lock()
	n.Revision, n.Number, n.Out, n.Leader = c.state.Revision, c.state.Config.Number, c.state.Out, c.leader
	for _, h := range c.members {
		controls[h] = true
	}
	c.mu.Unlock()
	for _, h := range c.hub.controlHosts() {
		controls[h] = true
	}
	n.Controls = sortedKeys(controls)
	return n
}
