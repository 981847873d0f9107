package core

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/subset"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
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
	// publishSoon wakes the publisher.
	publishSoon chan struct{}
	quit        chan struct{}
	wg          sync.WaitGroup

	mu        sync.Mutex
	followers map[fleet.Caller]*follower
	// maxRouters is the maximum number of routers that have been connected at once.
	maxRouters int
	pending    pendingChanges
	// rooms has what routers report of their capacities.
	rooms *roomTable
	// sizers compute inUse, the capacity of the routers that callers use in each data centre, of
	// which loggedInUse was logged last.
	sizers             map[fleet.DataCentreName]*subset.Sizer
	inUse, loggedInUse map[fleet.DataCentreName]weighting.Capacity
	// lastLeftOut has, by router, the last caller whose list omitted it.
	lastLeftOut map[netip.AddrPort]string
	// publications counts the publications so far.
	publications uint64
	// publishedRouters is the list of routers in the newest notice.
	publishedRouters []fleet.HostID
	// cachedSnapshot is the snapshot for new followers; nil once something was published.
	cachedSnapshot []fleet.EncodedNotification
}

// follower is a process that follows the feed.
type follower struct {
	// shedShare is the fraction of a router's callers that should use other routers, 0 to 1.
	shedShare float64
	// utilisation is the fraction of a router's capacity that it uses.
	utilisation float64
	fleet.JoinRequest
	peer       fleet.Subscriber
	lastReport time.Time
	// lastWork is when a router last reported requests, lastDigest when it was last sent a digest.
	lastWork   time.Time
	lastDigest time.Time
	wake       chan struct{}
	quit       chan struct{}

	// queue has the messages to send, of queuedBytes bytes.
	queue       []fleet.EncodedNotification
	queuedBytes int
	// resync requests a snapshot instead of the queue.
	resync bool
	// digest, if any, is sent after the queue.
	digest []fleet.EncodedNotification
}

func newHub(source feedSource, clock fleet.Clock, log *slog.Logger) *hub {
	return &hub{
		source: source, clock: clock, log: log, followers: map[fleet.Caller]*follower{},
		rooms: newRoomTable(log), sizers: map[fleet.DataCentreName]*subset.Sizer{}, lastLeftOut: map[netip.AddrPort]string{},
		inUse: map[fleet.DataCentreName]weighting.Capacity{}, loggedInUse: map[fleet.DataCentreName]weighting.Capacity{},
		pending: newPendingChanges(), publishSoon: make(chan struct{}, 1), quit: make(chan struct{}),
	}
}

// start starts to publish changes.
func (h *hub) start() { h.wg.Go(h.runPublisher) }

// join adds a follower, or updates the join request of one that has joined.
func (h *hub) join(peer fleet.Subscriber, r fleet.JoinRequest) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.followers[peer]; f != nil {
		f.JoinRequest, f.lastReport = r, now
		return
	}
	f := &follower{
		JoinRequest: r, peer: peer, lastReport: now, resync: true,
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
	}
	h.followers[peer] = f
	if n := h.countRouters(); n > h.maxRouters {
		h.maxRouters = n
	}
	h.log.Info(logevent.FollowerJoined, "follower", string(r.Host), "role", string(r.Role))
	f.signal()
	h.wg.Go(func() { h.runFollower(f) })
	h.pending.notice = true
	h.requestPublish()
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

// isBusy reports whether a router has reported requests in the last seconds.
func (f *follower) isBusy(now time.Time) bool { return now.Sub(f.lastWork) < fleet.RouterIdleAfter }

// busyRouters returns the number of routers that have requests.
func (h *hub) busyRouters() int {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && f.isBusy(now) {
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
		delete(h.lastLeftOut, f.Address)
	}
}

// close removes all followers and waits until nothing more is sent.
func (h *hub) close() {
	close(h.quit)
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
		f.lastReport, f.Stopping = h.clock.Now(), r.Stopping
		f.shedShare, f.utilisation = r.Away, r.Utilisation
		h.rooms.set(f.lastReport, f.Address, r.Room)
		if r.HasWork() {
			f.lastWork = f.lastReport
		}
	}
}

// signal wakes the goroutine that sends to the follower.
func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// runFollower sends a follower its messages until it disconnects.
func (h *hub) runFollower(f *follower) {
	for {
		select {
		case <-f.quit:
			return
		case <-f.wake:
		}
		if messages := h.takeMessages(f); len(messages) > 0 {
			h.send(f, messages)
		}
	}
}

// takeMessages returns the messages that are due to a follower. Those that can't be sent are
// lost with the connection; the follower gets a snapshot on its next one.
func (h *hub) takeMessages(f *follower) []fleet.EncodedNotification {
	h.mu.Lock()
	messages, digest, resync := f.queue, f.digest, f.resync
	f.queue, f.queuedBytes, f.resync, f.digest = nil, 0, false, nil
	snapshot, publication, routers := h.cachedSnapshot, h.publications, h.publishedRouters
	h.mu.Unlock()
	if resync {
		if snapshot == nil {
			snapshot = h.snapshot(publication, routers)
		}
		messages = snapshot
	}
	return slices.Concat(messages, digest)
}

// send sends messages to a follower; an error is only logged.
func (h *hub) send(f *follower, messages []fleet.EncodedNotification) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := f.peer.NotifyEncoded(ctx, messages...); err != nil {
		h.log.Debug(logevent.NotifyFailed, "follower", string(f.Host), "messages", len(messages), "error", err)
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
