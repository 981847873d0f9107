package core

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

const (
	// routerTimeout is the time without a report after which a router is omitted from the
	// lists for callers. A router sends a heartbeat every 500 ms to every control host.
	routerTimeout = 1500 * time.Millisecond
	// routerJoinTime is the time within which routers connect to a started host: they dial
	// every 200 ms, and a dial may take 1 s.
	routerJoinTime = 1500 * time.Millisecond
	// notifyTimeout limits the sending of one notification to a follower.
	notifyTimeout = 3 * time.Second
)

// diversions counts, by router, the lists for callers that omit it because it sheds them.
var diversions = expvar.NewMap("RouterDiversions")

// RouterAddress is the address at which callers reach a router.
type RouterAddress struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// feedSource is the view of the deployment that a hub sends to its followers.
type feedSource interface {
	// notice returns the view without the targets.
	notice() fleet.Notice
	// fullTargetsNotice returns the state of all targets.
	fullTargetsNotice() fleet.TargetsNotice
	// agedAnnouncement returns the newest announcement of a target, or false if there is none.
	agedAnnouncement(id fleet.TargetID) (fleet.AgedAnnouncement, bool)
}

// hub is the feed of a control host: it sends changes of the deployment to the routers and
// control hosts that follow it.
type hub struct {
	source feedSource
	clock  fleet.Clock
	log    *slog.Logger

	mu        sync.Mutex
	followers map[fleet.Caller]*follower
	// maxRouters is the maximum number of routers that have been connected at once.
	maxRouters int
	wg         sync.WaitGroup
}

// follower is a process that follows the feed, with the updates that are due to it.
type follower struct {
	// shedShare is the fraction of a router's callers that should use other routers, 0 to 1.
	shedShare float64
	fleet.JoinRequest
	peer       fleet.Caller
	lastReport time.Time
	wake       chan struct{}
	quit       chan struct{}

	// sendAll requests the state of all targets, sendNotice a Notice.
	sendAll    bool
	sendNotice bool
	// changedTargets have announcements to send; aliveTargets announced the same as before.
	changedTargets map[fleet.TargetID]bool
	aliveTargets   map[fleet.TargetID]bool
	// sendAlive requests that aliveTargets be sent now.
	sendAlive bool
	ends      []fleet.TargetEnd
	digest    *fleet.LoadDigest
}

func newHub(source feedSource, clock fleet.Clock, log *slog.Logger) *hub {
	return &hub{source: source, clock: clock, log: log, followers: map[fleet.Caller]*follower{}}
}

// join adds a follower, or updates the join request of one that has joined.
func (h *hub) join(peer fleet.Caller, r fleet.JoinRequest) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		f.JoinRequest, f.lastReport = r, now
		return
	}
	f := &follower{
		JoinRequest: r, peer: peer, lastReport: now, wake: make(chan struct{}, 1), quit: make(chan struct{}),
		sendAll: true, sendNotice: true, changedTargets: map[fleet.TargetID]bool{}, aliveTargets: map[fleet.TargetID]bool{},
	}
	h.followers[peer] = f
	if n := h.countRouters(); n > h.maxRouters {
		h.maxRouters = n
	}
	h.log.Info(logevent.FollowerJoined, "follower", string(r.Host), "role", string(r.Role))
	f.signal()
	h.wg.Go(func() { h.runFollower(f) })
	h.updateAll(func(f *follower) { f.sendNotice = true })
}

// countRouters returns the number of connected routers. The caller holds mu.
func (h *hub) countRouters() int {
	n := 0
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter {
			n++
		}
	}
	return n
}

// disconnected removes the follower whose connection has ended.
func (h *hub) disconnected(peer fleet.Caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		h.log.Info(logevent.FollowerLeft, "follower", string(f.Host), "role", string(f.Role))
		close(f.quit)
		delete(h.followers, peer)
	}
}

// close removes all followers and waits until nothing more is sent.
func (h *hub) close() {
	h.mu.Lock()
	for peer, f := range h.followers {
		close(f.quit)
		delete(h.followers, peer)
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// recordReport records that a router sent a report.
func (h *hub) recordReport(peer fleet.Caller, r *fleet.RouterLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		f.lastReport, f.Stopping, f.shedShare = h.clock.Now(), r.Stopping, r.Away
	}
}

// signal wakes the goroutine that sends to the follower.
func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// updateAll applies a change to the updates due to each follower and wakes the senders.
// The caller holds mu.
func (h *hub) updateAll(change func(*follower)) {
	for _, f := range h.followers {
		change(f)
		f.signal()
	}
}

// queueNotice queues a Notice for all followers.
func (h *hub) queueNotice() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateAll(func(f *follower) { f.sendNotice = true })
}

// queueAnnouncement queues a target's newest announcement for all followers.
func (h *hub) queueAnnouncement(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateAll(func(f *follower) { f.changedTargets[id] = true })
}

// queueEnd queues the end of a target for all followers.
func (h *hub) queueEnd(end fleet.TargetEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateAll(func(f *follower) { f.ends = append(f.ends, end) })
}

// collectAlive records that a target announced the same as before; flushAlive sends all
// these targets in one message.
func (h *hub) collectAlive(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.followers {
		f.aliveTargets[id] = true
	}
}

// flushAlive sends the targets of collectAlive to all followers, and a Notice, whose lists
// of live hosts and quorum contact may have changed without an event.
func (h *hub) flushAlive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateAll(func(f *follower) { f.sendAlive, f.sendNotice = true, true })
}

// runFollower sends a follower its updates, one message at a time, until it disconnects.
func (h *hub) runFollower(f *follower) {
	for {
		select {
		case <-f.quit:
			return
		case <-f.wake:
		}
		h.sendPending(f)
	}
}

// sendPending sends the updates that are due to a follower. Those that can't be sent are
// lost with the connection; the follower gets the full state on its next one.
func (h *hub) sendPending(f *follower) {
	h.mu.Lock()
	all, notice, digest := f.sendAll, f.sendNotice, f.digest
	changed, ends := f.changedTargets, f.ends
	var alive map[fleet.TargetID]bool
	if f.sendAlive {
		alive, f.aliveTargets = f.aliveTargets, map[fleet.TargetID]bool{}
	}
	f.sendAll, f.sendNotice, f.sendAlive, f.digest = false, false, false, nil
	f.changedTargets, f.ends = map[fleet.TargetID]bool{}, nil
	h.mu.Unlock()

	if notice {
		n := h.source.notice()
		h.notify(f, fleet.MethodNotice, &n)
	}
	n := fleet.TargetsNotice{Alive: sortedKeys(alive), Ended: ends}
	if all {
		n = h.source.fullTargetsNotice()
	}
	for _, id := range sortedKeys(changed) {
		if a, ok := h.source.agedAnnouncement(id); ok && !all {
			n.Announced = append(n.Announced, a)
		}
	}
	if len(n.Announced)+len(n.Alive)+len(n.Ended) > 0 {
		h.notify(f, fleet.MethodTargets, &n)
	}
	if digest != nil {
		h.notify(f, fleet.MethodDigest, digest)
	}
}

// notify sends one notification; an error is only logged.
func (h *hub) notify(f *follower, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := f.peer.Notify(ctx, method, params); err != nil {
		h.log.Debug(logevent.NotifyFailed, "follower", string(f.Host), "method", method, "error", err)
	}
}

// queueDigests queues for each router the digest of the others' reports.
func (h *hub) queueDigests(digestFor func(fleet.HostID) *fleet.LoadDigest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter {
			f.digest = digestFor(f.Host)
			f.signal()
		}
	}
}

// liveRouters returns the routers that joined or sent a report within routerTimeout.
func (h *hub) liveRouters() []fleet.HostID {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := map[fleet.HostID]bool{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && now.Sub(f.lastReport) <= routerTimeout {
			hosts[f.Host] = true
		}
	}
	return sortedKeys(hosts)
}

// controlHosts returns the control hosts that follow this one.
func (h *hub) controlHosts() []fleet.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := map[fleet.HostID]bool{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleControl {
			hosts[f.Host] = true
		}
	}
	return sortedKeys(hosts)
}

// routerCounts returns the number of routers connected now and its maximum so far.
func (h *hub) routerCounts() (connected, maxConnected int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.countRouters(), h.maxRouters
}

// Routers returns the routers that a caller may use, those of the data centre near first.
// caller is a string that identifies the caller permanently. An overloaded router is left
// out for the fraction of callers that it sheds, which are always the same callers.
//
// The list is empty while the host has just started or is isolated from most routers: it
// would name only a few routers, and all its callers would move to these. Callers then keep
// using their previous list.
func (c *Core) Routers(near fleet.DataCentreName, caller string) []RouterAddress {
	now := c.cfg.Clock.Now()
	if now.Sub(c.startTime) < routerJoinTime || !c.reachesRouters() {
		return nil
	}
	return c.listRouters(near, caller)
}

// listRouters returns the routers that accept the caller, those of near first.
func (c *Core) listRouters(near fleet.DataCentreName, caller string) []RouterAddress {
	now := c.cfg.Clock.Now()
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	var all, live []RouterAddress
	seen, diverted := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, f := range c.hub.followers {
		if f.Role != fleet.RoleRouter || f.Stopping || seen[f.Address] {
			continue
		}
		seen[f.Address] = true
		a := RouterAddress{Address: f.Address, DataCentre: f.DataCentre}
		all = append(all, a)
		if shedding.Sheds(f.shedShare, f.Address.String(), caller) {
			diverted[f.Address] = true
		}
		if now.Sub(f.lastReport) <= routerTimeout {
			live = append(live, a)
		}
	}
	out := live
	if float64(len(live)) < minReachableShare*float64(len(all)) {
		// Most routers did not fail at once: this host was suspended and missed their
		// reports. The first router that reports again must not get all callers.
		out = all
	}
	if 2*len(diverted) <= len(out) {
		for a := range diverted {
			diversions.Add(a.String(), 1)
		}
		out = slices.DeleteFunc(out, func(a RouterAddress) bool { return diverted[a.Address] })
	}
	slices.SortFunc(out, func(a, b RouterAddress) int {
		if aNear, bNear := a.DataCentre == near, b.DataCentre == near; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return out
}

// withAge returns the announcement of an entry with its age.
func withAge(e *targets.Entry, age time.Duration) fleet.AgedAnnouncement {
	return fleet.AgedAnnouncement{Announcement: e.Announcement, Age: age}
}

// sortedKeys returns the members of a set in ascending order.
func sortedKeys[K cmp.Ordered](set map[K]bool) []K {
	out := make([]K, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
