package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// target is the state of one target.
type target struct {
	id fleet.TargetID
	// last is the newest announcement; known is false before the first one.
	last    fleet.Announcement
	known   bool
	wholeAt time.Time
	// newest is the highest sequence of this incarnation, be it of a sign of life, and
	// heardAt when it came; relay is the router that passed it on.
	newest  fleet.Sequence
	heardAt time.Time
	relay   *router
	// askedAt is when an announcement was last asked for.
	askedAt time.Time
	// fresh says that one came when it was made, not only in full reports.
	fresh   bool
	service *service

	limiter  limiter
	attempts []*attempt
	// granted counts the attempts on slots of their own, those in doubt included.
	granted fleet.Slots
	// standing lists the standing grants that routers hold or may still hold.
	standing []*standing
	// suspects counts the attempts whose content is a suspect.
	suspects int
	// blamed lists the contents suspected to have brought this incarnation down.
	blamed []*content
	// missing says that the target was found missing since its last announcement.
	missing bool

	// usable says that new work may be granted as soon as a slot is free.
	usable    bool
	freeIndex int
}

// standingSlots returns the slots taken by standing grants.
func (t *target) standingSlots() fleet.Slots {
	var n fleet.Slots
	for _, s := range t.standing {
		n += s.held()
	}
	return n
}

// room returns the number of free slots.
func (t *target) room(ramp fleet.Slots) fleet.Slots {
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

// target returns the state of a target, new if it was not heard of before.
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

// announce applies an announcement unless a newer one is known. One in a full report
// may be of any age, so it tells of a target but not that the target is still there.
func (r *Reducer) announce(o *router, a *fleet.Announcement, fresh bool) {
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
		r.withdraw(t)
	}
	if restarted {
		r.targetDied(t)
		t.fresh, t.newest = false, 0
	}
	previous := t.last
	if fresh || !t.known {
		t.wholeAt = r.now
	}
	if (fresh || !t.known) && a.Sequence > t.newest {
		t.heardAt, t.relay = r.now, o
	}
	t.newest = max(t.newest, a.Sequence)
	t.last, t.known, t.fresh, t.missing = *a, true, t.fresh || fresh, t.missing && !fresh
	t.service = r.service(a.Service)
	t.service.addSlots(a.Slots)
	if r.cfg.off.slowStart {
		t.limiter.limit = a.Slots
	}
	r.indexPrefixes(t, previous)
	if fresh {
		r.disproveDeaths(t)
	}
	if r.phase == settling {
		r.presumeRunning(t)
	}
	r.clearDoubt(t)
	r.refresh(t)
}

// alive takes in a sign of life. The whole announcement is asked for when the target or
// this incarnation of it is not known.
func (r *Reducer) alive(o *router, a *fleet.TargetAlive) {
	t := r.targets[a.Target]
	if t == nil || !t.known || a.Incarnation > t.last.Incarnation {
		r.askWhole(o, a.Target)
		return
	}
	if a.Incarnation < t.last.Incarnation || a.Sequence <= t.newest {
		return
	}
	t.newest, t.heardAt, t.relay = a.Sequence, r.now, o
	t.fresh, t.missing = true, false
	r.disproveDeaths(t)
	r.refresh(t)
}

// askWhole asks a router for the next announcement of a target.
func (r *Reducer) askWhole(o *router, id fleet.TargetID) {
	box := r.post(o)
	if !slices.Contains(box.targets, id) {
		box.targets = append(box.targets, id)
	}
}

// askRunning asks for the list of running requests of a target that has work in doubt.
func (r *Reducer) askRunning(t *target) {
	if t.relay == nil || r.now.Sub(t.askedAt) < fleet.AnnounceInterval {
		return
	}
	doubted := slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.inDoubt })
	if !doubted || r.routers[t.relay.id] != t.relay {
		return
	}
	t.askedAt = r.now
	r.askWhole(t.relay, t.id)
}

// withdraw takes the target out of its service's indices.
func (r *Reducer) withdraw(t *target) {
	r.unindexPrefixes(t)
	r.setUsable(t, false)
	r.removeFree(t)
}

// state returns why a target gets no new work, or "Serving".
func (r *Reducer) state(t *target) string {
	if r.cfg.off.membership && t.known && t.service.known {
		return string(fleet.TargetServing)
	}
	switch {
	case !t.fresh || r.now.Sub(t.heardAt) >= fleet.TargetMissingAfter:
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
	if !usable || r.now.Before(t.limiter.pausedUntil) || t.room(r.rampedSlots(t)) <= 0 {
		r.removeFree(t)
		return
	}
	h := t.service.freeIn(t.last.DataCentre)
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
	t.service.freeIn(t.last.DataCentre).Remove(t.freeIndex)
	t.service.freeTargets--
}

func (r *Reducer) setUsable(t *target, usable bool) {
	if t.usable == usable {
		return
	}
	t.usable = usable
	if usable {
		t.service.usable++
		r.parkedMayRun = true
		return
	}
	t.service.usable--
}

// rampedSlots returns the most slots in use while the target's data centre is
// being loaded again after its return.
func (r *Reducer) rampedSlots(t *target) fleet.Slots {
	since, ok := r.returned[t.last.DataCentre]
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
