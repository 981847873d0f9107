package core

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const (
	// publishIntervalPerRouter is added up over the connected routers to get the minimum time
	// between two publications. It bounds the processor time that a burst of changes takes:
	// a send takes about 0.03 ms.
	publishIntervalPerRouter = 300 * time.Microsecond
	// routerListInterval is the minimum time after a publication of the list of routers, which
	// is long and changes with each router that joins.
	routerListInterval = 100 * time.Millisecond
	// maxQueuedBytes is the maximum size of the messages that wait for one follower. One that
	// is further behind gets a snapshot.
	maxQueuedBytes = 256 << 10
)

// pendingChanges has the changes since the last publication.
type pendingChanges struct {
	notice bool
	// changed targets have announcements to send; alive targets announced the same as before.
	changed map[fleet.TargetID]bool
	alive   map[fleet.TargetID]bool
	// sendAlive requests that alive be sent now.
	sendAlive bool
	ends      []fleet.TargetEnd
}

func newPendingChanges() pendingChanges {
	return pendingChanges{changed: map[fleet.TargetID]bool{}, alive: map[fleet.TargetID]bool{}}
}

// requestPublish wakes the publisher.
func (h *hub) requestPublish() {
	select {
	case h.publishSoon <- struct{}{}:
	default:
	}
}

// queueNotice queues a Notice for all followers.
func (h *hub) queueNotice() {
	h.mu.Lock()
	h.pending.notice = true
	h.mu.Unlock()
	h.requestPublish()
}

// queueAnnouncement queues a target's newest announcement for all followers.
func (h *hub) queueAnnouncement(id fleet.TargetID) {
	h.mu.Lock()
	h.pending.changed[id] = true
	h.mu.Unlock()
	h.requestPublish()
}

// queueEnd queues the end of a target for all followers.
func (h *hub) queueEnd(end fleet.TargetEnd) {
	h.mu.Lock()
	h.pending.ends = append(h.pending.ends, end)
	h.mu.Unlock()
	h.requestPublish()
}

// collectAlive records that a target announced the same as before; flushAlive sends all
// these targets in one message.
func (h *hub) collectAlive(id fleet.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending.alive[id] = true
}

// flushAlive sends the targets of collectAlive to all followers, and a Notice, whose lists
// of live hosts and quorum contact may have changed without an event.
func (h *hub) flushAlive() {
	h.mu.Lock()
	h.pending.sendAlive, h.pending.notice = true, true
	h.mu.Unlock()
	h.requestPublish()
}

// runPublisher publishes changes until the hub is closed: at once after a pause, and then
// at most once in an interval that grows with the number of routers.
func (h *hub) runPublisher() {
	for {
		select {
		case <-h.quit:
			return
		case <-h.publishSoon:
		}
		listed := h.publish()
		routers, _ := h.routerCounts()
		interval := time.Duration(routers) * publishIntervalPerRouter
		if listed {
			interval = max(interval, routerListInterval)
		}
		pause := time.NewTimer(interval)
		select {
		case <-h.quit:
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// publish encodes the pending changes once and queues them for all followers. It reports
// whether the list of routers was among them.
func (h *hub) publish() (listed bool) {
	h.mu.Lock()
	changes := h.pending
	h.pending = newPendingChanges()
	if !changes.sendAlive {
		h.pending.alive, changes.alive = changes.alive, nil
	}
	h.mu.Unlock()

	var messages []fleet.EncodedNotification
	routers := h.publishedRouters
	if changes.notice {
		n := h.source.notice()
		routers = n.Routers
		if slices.Equal(routers, h.publishedRouters) {
			n.Routers, n.SameRouters = nil, true
		}
		listed = !n.SameRouters
		messages = h.encode(messages, fleet.MethodNotice, &n)
	}
	n := fleet.TargetsNotice{Alive: sortedKeys(changes.alive), Ended: changes.ends}
	for _, id := range sortedKeys(changes.changed) {
		if a, ok := h.source.agedAnnouncement(id); ok {
			n.Announced = append(n.Announced, a)
		}
	}
	if len(n.Announced)+len(n.Alive)+len(n.Ended) > 0 {
		messages = h.encode(messages, fleet.MethodTargets, &n)
	}
	h.queueAll(messages, routers)
	return listed
}

// queueAll queues messages for all followers. routers is the list that they have then.
func (h *hub) queueAll(messages []fleet.EncodedNotification, routers []fleet.HostID) {
	size := 0
	for _, m := range messages {
		size += len(m)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publications++
	h.publishedRouters, h.cachedSnapshot = routers, nil
	for _, f := range h.followers {
		f.queue = append(f.queue, messages...)
		f.queuedBytes += size
		if f.queuedBytes > maxQueuedBytes {
			f.queue, f.queuedBytes, f.resync = nil, 0, true
		}
		f.signal()
	}
}

// snapshot returns the whole state, at least as new as the publication with the number given.
// Its list of routers is the published one, to which the next notice may refer.
func (h *hub) snapshot(publication uint64, routers []fleet.HostID) []fleet.EncodedNotification {
	n := h.source.notice()
	n.Routers = routers
	targets := h.source.fullTargetsNotice()
	out := h.encode(nil, fleet.MethodNotice, &n)
	out = h.encode(out, fleet.MethodTargets, &targets)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.publications == publication {
		h.cachedSnapshot = out
	}
	return out
}

// encode appends an encoded notification to messages. One that can't be encoded is logged and
// left out.
func (h *hub) encode(messages []fleet.EncodedNotification, method string, params any) []fleet.EncodedNotification {
	m, err := rpc.EncodeNotification(method, params)
	if err != nil {
		h.log.Error(logevent.NotifyFailed, "method", method, "error", err)
		return messages
	}
	return append(messages, m)
}

// queueDigest replaces the digest that is queued for each router. A router without requests gets
// one only often enough that it has valid ones.
func (h *hub) queueDigest(d digest) {
	shared := h.encode(nil, fleet.MethodDigest, &d.LoadDigest)
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && (f.isBusy(now) || now.Sub(f.lastDigest) >= fleet.IdleReportInterval) {
			f.lastDigest = now
			f.digest = append(h.encode(nil, fleet.MethodIncluded, &fleet.ReportIncluded{Sequence: d.included[f.Host], LimitShare: d.limitShares[f.Host]}), shared...)
			f.signal()
		}
	}
}
