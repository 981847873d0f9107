package core

import (
	"cmp"
	"context"
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
	// routerSilentAfter is the silence after which a router is not named to callers. A
	// router reports every 250 ms to every control host.
	routerSilentAfter = 1500 * time.Millisecond
	// joinTime is how long the routers take to follow a host that has started: they dial
	// it again every 200 ms, and a dial may take 1 s.
	joinTime = 1500 * time.Millisecond
	// notifyTimeout bounds one notification to a follower.
	notifyTimeout = 3 * time.Second
)

// RouterAddress is a router that callers may use.
type RouterAddress struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// hub passes news on to the followers of the feed.
type hub struct {
	core *Core

	mu        sync.Mutex
	followers map[fleet.Caller]*follower
	// most is the most routers that were followed at once.
	most int
	wg   sync.WaitGroup
}

// follower is one process that follows the feed, with what it has not been told yet.
type follower struct {
	// away is the part of a router's callers that should use other routers.
	away float64
	fleet.JoinRequest
	peer  fleet.Caller
	heard time.Time
	wake  chan struct{}
	quit  chan struct{}

	// all asks for everything that is known.
	all     bool
	notice  bool
	changed map[fleet.TargetID]bool
	alive   map[fleet.TargetID]bool
	// aliveDue says that alive is to be sent now.
	aliveDue bool
	ends     []fleet.TargetEnd
	digest   *fleet.LoadDigest
}

func newHub(c *Core) *hub { return &hub{core: c, followers: map[fleet.Caller]*follower{}} }

// join adds a follower, or takes what changed of it.
func (h *hub) join(peer fleet.Caller, r fleet.JoinRequest) {
	now := h.core.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		f.JoinRequest, f.heard = r, now
		return
	}
	f := &follower{
		JoinRequest: r, peer: peer, heard: now, wake: make(chan struct{}, 1), quit: make(chan struct{}),
		all: true, notice: true, changed: map[fleet.TargetID]bool{}, alive: map[fleet.TargetID]bool{},
	}
	h.followers[peer] = f
	if n := h.countRouters(); n > h.most {
		h.most = n
	}
	h.core.cfg.Log.Info(logevent.FollowerJoined, "follower", string(r.Host), "role", string(r.Role))
	f.signal()
	h.wg.Go(func() { h.serve(f) })
	h.tellAll(func(f *follower) { f.notice = true })
}

func (h *hub) countRouters() int {
	n := 0
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter {
			n++
		}
	}
	return n
}

// gone removes a follower whose connection ended.
func (h *hub) gone(peer fleet.Caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		h.core.cfg.Log.Info(logevent.FollowerLeft, "follower", string(f.Host), "role", string(f.Role))
		close(f.quit)
		delete(h.followers, peer)
	}
}

func (h *hub) close() {
	h.mu.Lock()
	for peer, f := range h.followers {
		close(f.quit)
		delete(h.followers, peer)
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// heard notes that a router reported.
func (h *hub) heard(peer fleet.Caller, r *fleet.RouterLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		f.heard, f.Stopping, f.away = h.core.cfg.Clock.Now(), r.Stopping, r.Away
	}
}

func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// tellAll changes what all followers are to be told. The caller holds mu.
func (h *hub) tellAll(change func(*follower)) {
	for _, f := range h.followers {
		change(f)
		f.signal()
	}
}

func (h *hub) noticeChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellAll(func(f *follower) { f.notice = true })
}

func (h *hub) announced(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellAll(func(f *follower) { f.changed[id] = true })
}

func (h *hub) ended(end fleet.TargetEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellAll(func(f *follower) { f.ends = append(f.ends, end) })
}

// refreshed notes that a target is alive; followers hear of it together with others.
func (h *hub) refreshed(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.followers {
		f.alive[id] = true
	}
}

// aliveDue sends what refreshed collected, and the notice, which may have changed in
// what only time changes.
func (h *hub) aliveDue() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellAll(func(f *follower) { f.aliveDue, f.notice = true, true })
}

// serve sends a follower what it has not been told, one message at a time.
func (h *hub) serve(f *follower) {
	for {
		select {
		case <-f.quit:
			return
		case <-f.wake:
		}
		h.send(f)
	}
}

// send takes what is due to a follower and sends it. What can't be sent is lost with the
// connection; the follower is told everything on its next one.
func (h *hub) send(f *follower) {
	h.mu.Lock()
	all, notice, digest := f.all, f.notice, f.digest
	changed, ends := f.changed, f.ends
	var alive map[fleet.TargetID]bool
	if f.aliveDue {
		alive, f.alive = f.alive, map[fleet.TargetID]bool{}
	}
	f.all, f.notice, f.aliveDue, f.digest = false, false, false, nil
	f.changed, f.ends = map[fleet.TargetID]bool{}, nil
	h.mu.Unlock()

	if notice {
		n := h.core.notice()
		h.notify(f, fleet.MethodNotice, &n)
	}
	n := fleet.TargetsNotice{Alive: sorted(alive), Ended: ends}
	if all {
		n = h.core.heardAll()
	}
	for _, id := range sorted(changed) {
		if a, ok := h.core.heardOf(id); ok && !all {
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

func (h *hub) notify(f *follower, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := f.peer.Notify(ctx, method, params); err != nil {
		h.core.cfg.Log.Debug(logevent.NotifyFailed, "follower", string(f.Host), "method", method, "error", err)
	}
}

// digestDue sends each router what the others reported.
func (h *hub) digestDue(digestFor func(fleet.HostID) *fleet.LoadDigest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter {
			f.digest = digestFor(f.Host)
			f.signal()
		}
	}
}

// routers returns the routers that are heard of.
func (h *hub) routers() []fleet.HostID {
	now := h.core.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := map[fleet.HostID]bool{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && now.Sub(f.heard) <= routerSilentAfter {
			hosts[f.Host] = true
		}
	}
	return sorted(hosts)
}

// controls returns the control hosts that follow this one.
func (h *hub) controls() []fleet.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := map[fleet.HostID]bool{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleControl {
			hosts[f.Host] = true
		}
	}
	return sorted(hosts)
}

// reached returns how many routers follow now, and the most that ever did.
func (h *hub) reached() (now, most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.countRouters(), h.most
}

// Routers returns the routers that a caller may use, those of a data centre first. Routers
// with a crowd are left out for a part of the callers, always the same ones.
//
// A host that has just started, or is cut off from most of them, knows a few routers
// only, which all of its callers would fall upon. It names none, and its callers go on
// with what they know.
func (c *Core) Routers(near fleet.DataCentreName, caller string) []RouterAddress {
	now := c.cfg.Clock.Now()
	if now.Sub(c.started) < joinTime || !c.reachesRouters() {
		return nil
	}
	return c.listed(near, caller)
}

// listed returns the routers that take callers, as far as this host can tell.
func (c *Core) listed(near fleet.DataCentreName, caller string) []RouterAddress {
	now := c.cfg.Clock.Now()
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	var all, heard []RouterAddress
	seen, spared := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, f := range c.hub.followers {
		if f.Role != fleet.RoleRouter || f.Stopping || seen[f.Address] {
			continue
		}
		seen[f.Address] = true
		a := RouterAddress{Address: f.Address, DataCentre: f.DataCentre}
		all = append(all, a)
		if shedding.Sheds(f.away, f.Address.String(), caller) {
			spared[f.Address] = true
		}
		if now.Sub(f.heard) <= routerSilentAfter {
			heard = append(heard, a)
		}
	}
	out := heard
	if float64(len(heard)) < reachedShare*float64(len(all)) {
		// Most of them did not fall silent at once: this host had no time to hear them,
		// and the first that it hears must not get all callers.
		out = all
	}
	if 2*len(spared) <= len(out) {
		out = slices.DeleteFunc(out, func(a RouterAddress) bool { return spared[a.Address] })
	}
	slices.SortFunc(out, func(a, b RouterAddress) int {
		if an, bn := a.DataCentre == near, b.DataCentre == near; an != bn {
			if an {
				return -1
			}
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return out
}

func heard(e *targets.Entry, age time.Duration) fleet.AgedAnnouncement {
	return fleet.AgedAnnouncement{Announcement: e.Announcement, Age: age}
}

// sorted returns the members of a set in order.
func sorted[K cmp.Ordered](set map[K]bool) []K {
	out := make([]K, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
