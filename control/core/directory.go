package core

import (
	"expvar"
	"math"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
	"github.com/fuchsiashed/fuchsiashed/fleet/subset"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

var (
	// diversions counts, by router, the lists for callers that omit it because it sheds them.
	diversions = expvar.NewMap("RouterDiversions")
	// omissions counts, by router in use, the lists for callers that omit it because of its weight.
	omissions = expvar.NewMap("RouterOmissions")
)

// RouterAddress is the address at which callers reach a router.
type RouterAddress struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// Routers returns the routers that a caller may use: of the data centre near as many as its load
// needs, and those of others if it has too few. Each is named to a part of the callers that follows
// its capacity.
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
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	routers := c.hub.routersFor(caller)
	answer := weighting.Pick(routers, weighting.Query{Near: near, Caller: caller, InUse: c.hub.capacityInUse(near)})
	for _, r := range routers {
		if r.Diverted {
			diversions.Add(r.Name, 1)
			c.hub.lastLeftOut[r.Address] = caller
		}
	}
	for _, r := range answer.Omitted {
		omissions.Add(r.Name, 1)
		c.hub.lastLeftOut[r.Address] = caller
	}
	out := make([]RouterAddress, len(answer.Routers))
	for i, r := range answer.Routers {
		out[i] = RouterAddress{Address: r.Address, DataCentre: r.DataCentre}
	}
	return out
}

// routersFor returns the routers that are live, with those marked that divert the caller. If these
// are most of them, none is marked. The caller holds mu.
func (h *hub) routersFor(caller string) []weighting.Router {
	now := h.clock.Now()
	var all, live []weighting.Router
	seen := map[netip.AddrPort]bool{}
	diverted := 0
	for _, f := range h.followers {
		if f.Role != fleet.RoleRouter || f.Stopping || seen[f.Address] {
			continue
		}
		seen[f.Address] = true
		r := h.weighed(now, f)
		if r.Diverted = shedding.Sheds(f.shedShare, r.Name, caller); r.Diverted {
			diverted++
		}
		all = append(all, r)
		if now.Sub(f.lastReport) <= routerTimeout {
			live = append(live, r)
		}
	}
	out := live
	if float64(len(live)) < minReachableShare*float64(len(all)) {
		// Most routers did not fail at once: this host was suspended and missed their
		// reports. The first router that reports again must not get all callers.
		out = all
	}
	if 2*diverted > len(out) {
		for i := range out {
			out[i].Diverted = false
		}
	}
	return out
}

// weighed returns a router with what it reported of its capacity. The caller holds mu.
func (h *hub) weighed(now time.Time, f *follower) weighting.Router {
	return weighting.Router{
		Address: f.Address, DataCentre: f.DataCentre, Name: f.Address.String(), Room: h.rooms.get(now, f.Address),
	}
}

// subsetConfig leaves a router in use two thirds of its capacity for bursts. The callers of a data
// centre use the capacity of weighting.MinRouters routers at least.
var subsetConfig = subset.Config{Utilisation: 0.3, Min: weighting.MinRouters, ShrinkRate: 0.2}

// resizeSubsets updates the capacity in use in each data centre by the utilisations of its routers.
func (h *hub) resizeSubsets() {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rooms.expire(now)
	available, utilisations := map[fleet.DataCentreName][]weighting.Router{}, map[fleet.DataCentreName][]float64{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && !f.Stopping && now.Sub(f.lastReport) <= routerTimeout {
			available[f.DataCentre] = append(available[f.DataCentre], h.weighed(now, f))
			utilisations[f.DataCentre] = append(utilisations[f.DataCentre], f.utilisation)
		}
	}
	for dc, routers := range available {
		used := weighting.Capacity(0)
		for i, c := range weighting.Capacities(routers) {
			used += c * weighting.Capacity(utilisations[dc][i])
		}
		if h.sizers[dc] == nil {
			h.sizers[dc] = subset.NewSizer(subsetConfig)
		}
		h.setCapacityInUse(dc, h.sizers[dc].Update(now, weighting.Capacity(len(routers)), used), used, len(routers))
	}
}

// setCapacityInUse stores the capacity that the callers of a data centre are to use, and logs it if
// it differs by more than an eighth from what was logged last. The caller holds mu.
func (h *hub) setCapacityInUse(dc fleet.DataCentreName, size, used weighting.Capacity, routers int) {
	h.inUse[dc] = size
	if logged := h.loggedInUse[dc]; math.Abs(float64(size-logged)) <= float64(logged)/8 {
		return
	}
	h.loggedInUse[dc] = size
	h.log.Info(logevent.RoutersInUse, "datacentre", string(dc), "inUse", float64(size), "used", float64(used), "routers", routers)
}

// capacityInUse returns the capacity of a data centre's routers that its callers are to use, or
// weighting.All if it is not known. The caller holds mu.
func (h *hub) capacityInUse(dc fleet.DataCentreName) weighting.Capacity {
	if size, ok := h.inUse[dc]; ok {
		return size
	}
	return weighting.All
}
