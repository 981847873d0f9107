package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// target is the state of one target.
type target struct {
	id fleet.TargetID
	// last is the newest announcement; known is false before the first one. listHeardAt is
	// when the last announcement arrived that was relayed as it was made. Announcements list
	// the running requests; heartbeats do not.
	last        fleet.Announcement
	known       bool
	listHeardAt time.Time
	// newestSequence is the highest sequence of this incarnation in an announcement or
	// heartbeat, heardAt is when it came, and relay is the router that relayed it.
	newestSequence fleet.Sequence
	heardAt        time.Time
	relay          *router
	// listRequestedAt is when an announcement was last requested.
	listRequestedAt time.Time
	// heardLive is set once an announcement or heartbeat of this incarnation was relayed as it
	// was made, not only in a full report.
	heardLive bool
	service   *service

	limiter  limiter
	attempts []*attempt
	// granted counts the attempts that were granted their own slot, including those in doubt.
	// Attempts on standing grants are not among them.
	granted fleet.Slots
	// standing lists the standing grants that routers hold or may still hold.
	standing []*standing
	// suspects counts the attempts whose content is a suspect.
	suspects int
	// suspectedContents lists the contents suspected of having brought this incarnation down.
	suspectedContents []*content
	// missing is set by the scan that finds no announcement or heartbeat of the target for
	// fleet.TargetMissingAfter.
	missing bool

	// usable reports whether new work may be granted as soon as a slot is free.
	usable    bool
	freeIndex int
}

// standingSlots returns the slots taken by standing grants.
func (t *target) standingSlots() fleet.Slots {
	var n fleet.Slots
	for _, s := range t.standing {
		n += s.reservedSlots()
	}
	return n
}

// freeSlots returns the number of free slots; ramp is the result of rampedSlots.
func (t *target) freeSlots(ramp fleet.Slots) fleet.Slots {
	return min(t.limiter.limit, t.last.Slots, ramp) - t.granted - t.standingSlots()
}

// lessLoaded orders targets with free slots by the share of their limit in use.
func lessLoaded(a, b *target) bool {
	x, y := int64(a.granted)*int64(b.limiter.limit), int64(b.granted)*int64(a.limiter.limit)
	if x != y {
		return x < y
	}
	return a.id < b.id
}

// target returns the state of a target, which it adds if there is none.
func (r *Reducer) target(id fleet.TargetID) *target {
	t, ok := r.targets[id]
	if !ok {
		t = &target{id: id, freeIndex: -1, heardAt: r.now}
		t.limiter.reset()
		r.targets[id] = t
		i, _ := slices.BinarySearchFunc(r.targetList, id, func(t *target, id fleet.TargetID) int {
			return compare(t.id, id)
		})
		r.targetList = slices.Insert(r.targetList, i, t)
	}
	return t
}

// applyAnnouncement applies an announcement unless a newer one is known. fresh is false for
// one in a full report, which may be of any age and does not show that the target still runs.
func (r *Reducer) applyAnnouncement(rt *router, a *fleet.Announcement, fresh bool) {
	t := r.target(a.Target)
	older := a.Incarnation < t.last.Incarnation || a.Incarnation == t.last.Incarnation && a.Sequence <= t.last.Sequence
	if t.known && older {
		return
	}
	restarted := t.known && a.Incarnation != t.last.Incarnation
	if t.known {
		t.service.addSlots(-t.last.Slots)
	}
	if t.known && (t.last.Service != a.Service || t.last.DataCentre != a.DataCentre) {
		r.removeFromIndices(t)
	}
	if restarted {
		r.targetRestarted(t)
		t.heardLive, t.newestSequence = false, 0
	}
	previous := t.last
	if fresh || !t.known {
		t.listHeardAt = r.now
	}
	if (fresh || !t.known) && a.Sequence > t.newestSequence {
		t.heardAt, t.relay = r.now, rt
	}
	t.newestSequence = max(t.newestSequence, a.Sequence)
	t.last, t.known, t.heardLive, t.missing = *a, true, t.heardLive || fresh, t.missing && !fresh
	t.service = r.service(a.Service)
	t.service.addSlots(a.Slots)
	if r.cfg.disabled.slowStart {
		t.limiter.limit = a.Slots
	}
	r.indexPrefixes(t, previous)
	if fresh {
		r.disproveDeaths(t)
	}
	if r.phase == reconciling {
		r.presumeRunning(t)
	}
	r.resolveDoubts(t)
	r.refresh(t)
}

// applyAlive applies a heartbeat. It requests the whole announcement if the target or this
// incarnation of it is unknown.
func (r *Reducer) applyAlive(rt *router, a *fleet.TargetAlive) {
	t := r.targets[a.Target]
	if t == nil || !t.known || a.Incarnation > t.last.Incarnation {
		r.requestAnnouncement(rt, a.Target)
		return
	}
	if a.Incarnation < t.last.Incarnation || a.Sequence <= t.newestSequence {
		return
	}
	t.newestSequence, t.heardAt, t.relay = a.Sequence, r.now, rt
	t.heardLive, t.missing = true, false
	r.disproveDeaths(t)
	r.refresh(t)
}

// requestAnnouncement asks a router for the next whole announcement of a target.
func (r *Reducer) requestAnnouncement(rt *router, id fleet.TargetID) {
	box := r.outboxOf(rt)
	if !slices.Contains(box.targets, id) {
		box.targets = append(box.targets, id)
	}
}

// requestRunning requests the list of running requests of a target that has attempts in
// doubt.
func (r *Reducer) requestRunning(t *target) {
	if t.relay == nil || r.now.Sub(t.listRequestedAt) < fleet.AnnounceInterval {
		return
	}
	doubted := slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.inDoubt })
	if !doubted || r.routers[t.relay.id] != t.relay {
		return
	}
	t.listRequestedAt = r.now
	r.requestAnnouncement(t.relay, t.id)
}

// removeFromIndices removes the target from its service's indices.
func (r *Reducer) removeFromIndices(t *target) {
	r.unindexPrefixes(t)
	r.setUsable(t, false)
	r.removeFree(t)
}

// state returns why a target gets no new work, or "Serving".
func (r *Reducer) state(t *target) string {
	if r.cfg.disabled.membership && t.known && t.service.known {
		return string(fleet.TargetServing)
	}
	switch {
	case !t.heardLive || r.now.Sub(t.heardAt) >= fleet.TargetMissingAfter:
		return "Missing"
	case r.config.DataCentresOut[t.last.DataCentre]:
		return "Out"
	case t.last.State != fleet.TargetServing:
		return string(t.last.State)
	case t.service == nil || !t.service.known:
		return "Unlisted"
	}
	return string(fleet.TargetServing)
}

// refresh recomputes whether the target has a free slot and indexes it accordingly.
func (r *Reducer) refresh(t *target) {
	if t.service == nil {
		return
	}
	usable := r.state(t) == string(fleet.TargetServing)
	r.setUsable(t, usable)
	if !usable || r.now.Before(t.limiter.pausedUntil) || t.freeSlots(r.rampedSlots(t)) <= 0 {
		r.removeFree(t)
		return
	}
	h := t.service.freeTargetsIn(t.last.DataCentre)
	if t.freeIndex >= 0 {
		h.Fix(t.freeIndex)
		return
	}
	h.Push(t)
	t.service.freeTargets++
}

func (r *Reducer) removeFree(t *target) {
	if t.freeIndex < 0 {
		return
	}
	t.service.freeTargetsIn(t.last.DataCentre).Remove(t.freeIndex)
	t.service.freeTargets--
}

func (r *Reducer) setUsable(t *target, usable bool) {
	if t.usable == usable {
		return
	}
	t.usable = usable
	if usable {
		t.service.usableTargets++
		r.recheckParked = true
		return
	}
	t.service.usableTargets--
}

// rampedSlots returns the most slots that may be in use while the load on the target's data
// centre is ramped up after its return to service.
func (r *Reducer) rampedSlots(t *target) fleet.Slots {
	since, ok := r.returnedAt[t.last.DataCentre]
	ramp := r.config.Fleet.Policy.ReturnRamp
	if !ok || ramp <= 0 || r.now.Sub(since) >= ramp {
		return t.last.Slots
	}
	part := float64(r.now.Sub(since)) / float64(ramp)
	return max(1, fleet.Slots(part*float64(t.last.Slots)))
}

// indexPrefixes records which prompt prefixes the target's cache holds.
func (r *Reducer) indexPrefixes(t *target, previous fleet.Announcement) {
	if previous.Service == t.last.Service && slices.Equal(previous.Prefixes, t.last.Prefixes) {
		return
	}
	for _, p := range previous.Prefixes {
		t.service.dropPrefix(p, t)
	}
	for _, p := range t.last.Prefixes {
		if !slices.Contains(t.service.prefixes[p], t) {
			t.service.prefixes[p] = append(t.service.prefixes[p], t)
		}
	}
}

func (r *Reducer) unindexPrefixes(t *target) {
	for _, p := range t.last.Prefixes {
		t.service.dropPrefix(p, t)
	}
	t.last.Prefixes = nil
}

func (s *service) dropPrefix(p fleet.PrefixHash, t *target) {
	holders := s.prefixes[p]
	if i := slices.Index(holders, t); i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	if len(holders) == 0 {
		delete(s.prefixes, p)
		return
	}
	s.prefixes[p] = holders
}
