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

// reachedShare is the part of the routers once seen that a host which is cut off from
// the quorum must reach to take announcements.
const reachedShare = 0.6

// Announce takes an announcement and passes it on.
func (c *Core) Announce(a fleet.Announcement) error {
	if !c.reachesRouters() {
		return ErrIsolated
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	result := c.targets.Announce(now, a)
	c.mu.Unlock()
	switch result {
	case targets.Changed:
		c.cfg.Log.Info(logevent.TargetAnnounced, "target", string(a.Target), "service", string(a.Service), "address", a.Address.String(),
			"datacentre", string(a.DataCentre), "state", string(a.State), "incarnation", uint64(a.Incarnation),
			"sequence", uint64(a.Sequence), "coldFor", a.ColdFor.String())
		c.hub.announced(a.Target)
	case targets.Refreshed:
		c.hub.refreshed(a.Target)
	case targets.Ignored:
		c.cfg.Log.Info(logevent.AnnouncementIgnored, "target", string(a.Target), "incarnation", uint64(a.Incarnation), "sequence", uint64(a.Sequence))
	}
	return nil
}

// End takes the news that a target left and passes it on.
func (c *Core) End(end fleet.TargetEnd) error {
	if !c.reachesRouters() {
		return ErrIsolated
	}
	c.mu.Lock()
	end = c.targets.End(c.cfg.Clock.Now(), end)
	c.mu.Unlock()
	c.cfg.Log.Info(logevent.TargetEnded, "target", string(end.Target), "incarnation", uint64(end.Incarnation))
	c.hub.ended(end)
	return nil
}

// reachesRouters says whether what is announced here gets to the routers.
func (c *Core) reachesRouters() bool {
	if c.HasQuorumContact() {
		return true
	}
	now, most := c.hub.reached()
	return now > 0 && float64(now) >= reachedShare*float64(most)
}

// merge takes what another control host passed on. It is not passed on again: every
// follower follows all control hosts.
func (c *Core) merge(n fleet.TargetsNotice) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range n.Announced {
		c.targets.Announce(now.Add(-h.Age), h.Announcement)
	}
	for _, id := range n.Alive {
		c.targets.Refresh(now, id)
	}
	for _, end := range n.Ended {
		c.targets.End(now, end)
	}
}

// heardAll returns everything known of targets, for a new follower.
func (c *Core) heardAll() fleet.TargetsNotice {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := fleet.TargetsNotice{Ended: c.targets.Ends()}
	for _, e := range c.targets.All() {
		n.Announced = append(n.Announced, heard(e, now.Sub(e.LastAnnounced)))
	}
	return n
}

// heardOf returns what is known of one target; ok is false when it is gone.
func (c *Core) heardOf(id fleet.TargetID) (h fleet.AgedAnnouncement, ok bool) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.targets.Get(id)
	if e == nil {
		return h, false
	}
	return heard(e, now.Sub(e.LastAnnounced)), true
}
