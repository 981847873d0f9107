package core

import (
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/crowding"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// unreadyRouters returns the routers that are to be not ready, so that their callers move. Only the
// leader calls it, for each digest.
func (c *Core) unreadyRouters() []fleet.HostID {
	if !c.cfg.MoveCrowds {
		return nil
	}
	routers := c.hub.crowdedRouters()
	out := c.crowds.Update(c.cfg.Clock.Now(), routers)
	if !slices.Equal(out, c.unready) {
		c.cfg.Log.Info(logevent.CrowdsMoved, "unready", out, "routers", len(routers))
		c.unready = out
	}
	return out
}

// crowdedRouters returns all live routers with what they reported of their load.
func (h *hub) crowdedRouters() []crowding.Router {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []crowding.Router
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && !f.Stopping && now.Sub(f.lastReport) <= routerTimeout {
			room := h.rooms.get(now, f.Address)
			out = append(out, crowding.Router{
				Host: f.Host, DataCentre: f.DataCentre, Crowded: room.Crowded, Utilisation: f.utilisation, Cores: room.Cores,
			})
		}
	}
	return out
}
