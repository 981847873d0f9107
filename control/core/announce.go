package core

import (
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

// ErrIsolated is returned for announcements while this host reaches neither a quorum nor
// enough routers. The target should announce itself to another control host.
var ErrIsolated = errors.New("this control host does not reach enough routers")

// ErrTooManyTargets is returned for a new target if there are too many.
var ErrTooManyTargets = errors.New("too many targets have announced themselves")

// minReachableShare is the fraction of its maximum number of connected routers that a host
// without quorum contact needs to accept announcements.
const minReachableShare = 0.6

// Announce applies a target's announcement and queues it for all followers. It returns
// ErrTooManyTargets, or ErrIsolated if this host can't pass it on to the routers.
func (c *Core) Announce(a fleet.Announcement) error {
	if !c.reachesRouters() {
		return ErrIsolated
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	if !c.targets.Admits(&a) {
		c.mu.Unlock()
		return ErrTooManyTargets
	}
	result := c.targets.Announce(now, a)
	c.mu.Unlock()
	switch result {
	case targets.Changed:
		c.cfg.Log.Info(logevent.TargetAnnounced, "target", string(a.Target), "service", string(a.Service), "address", a.Address.String(),
			"datacentre", string(a.DataCentre), "state", string(a.State), "incarnation", uint64(a.Incarnation),
			"sequence", uint64(a.Sequence), logevent.FieldSoftwareVersion, string(a.SoftwareVersion), "coldFor", a.ColdFor.String())
		c.hub.queueAnnouncement(a.Target)
	case targets.Refreshed:
		c.hub.collectAlive(a.Target)
	case targets.Ignored:
		c.cfg.Log.Info(logevent.AnnouncementIgnored, "target", string(a.Target), "incarnation", uint64(a.Incarnation), "sequence", uint64(a.Sequence))
	}
	return nil
}

// End records that a target has stopped and queues this for all followers. It returns
// ErrTooManyTargets, or ErrIsolated if this host can't pass it on to the routers.
func (c *Core) End(end fleet.TargetEnd) error {
	if !c.reachesRouters() {
		return ErrIsolated
	}
	c.mu.Lock()
	if !c.targets.AdmitsEnd(end.Target) {
		c.mu.Unlock()
		return ErrTooManyTargets
	}
	end = c.targets.End(c.cfg.Clock.Now(), end)
	c.mu.Unlock()
	c.cfg.Log.Info(logevent.TargetEnded, "target", string(end.Target), "incarnation", uint64(end.Incarnation))
	c.hub.queueEnd(end)
	return nil
}

// reachesRouters reports whether announcements made here reach the routers.
func (c *Core) reachesRouters() bool {
	if c.HasQuorumContact() {
		return true
	}
	connected, most := c.hub.routerCounts()
	return connected > 0 && float64(connected) >= minReachableShare*float64(most)
}

// mergeNotice applies the announcements that another control host received. They are not
// forwarded, since every follower is connected to all control hosts.
func (c *Core) mergeNotice(n fleet.TargetsNotice) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range n.Announced {
		c.targets.Announce(now.Add(-a.Age), a.Announcement)
	}
	for _, id := range n.Alive {
		c.targets.Refresh(now, id)
	}
	for _, end := range n.Ended {
		c.targets.End(now, end)
	}
}

// fullTargetsNotice returns the state of all targets, for a new follower.
func (c *Core) fullTargetsNotice() fleet.TargetsNotice {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := fleet.TargetsNotice{Ended: c.targets.Ends()}
	for _, e := range c.targets.All() {
		n.Announced = append(n.Announced, withAge(e, now.Sub(e.LastAnnounced)))
	}
	return n
}

// agedAnnouncement returns the newest announcement of a target; ok is false if the target
// has ended or expired.
func (c *Core) agedAnnouncement(id fleet.TargetID) (a fleet.AgedAnnouncement, ok bool) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.targets.Get(id)
	if e == nil {
		return a, false
	}
	return withAge(e, now.Sub(e.LastAnnounced)), true
}
