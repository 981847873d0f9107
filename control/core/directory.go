package core

import (
	"cmp"
	"expvar"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
	"github.com/fuchsiashed/fuchsiashed/fleet/subset"
)

// diversions counts, by router, the lists for callers that omit it because it sheds them.
var diversions = expvar.NewMap("RouterDiversions")

// RouterAddress is the address at which callers reach a router.
type RouterAddress struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// Routers returns the routers that a caller may use: of the data centre near as many as its load
// needs, and those of others if it has too few.
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
	return pickRouters(out, near, c.hub.routersInUse(near))
}

// pickRouters returns the first n routers of the data centre near, in an order that is the same
// at all control hosts, or all of its routers and then the others if it has fewer.
func pickRouters(routers []RouterAddress, near fleet.DataCentreName, n int) []RouterAddress {
	type ordered struct {
		RouterAddress
		weight uint64
	}
	var local, others []ordered
	for _, r := range routers {
		o := ordered{RouterAddress: r, weight: xxhash.Sum64String(string(near) + " " + r.Address.String())}
		if r.DataCentre == near {
			local = append(local, o)
		} else {
			others = append(others, o)
		}
	}
	byWeight := func(a, b ordered) int { return cmp.Compare(a.weight, b.weight) }
	slices.SortFunc(local, byWeight)
	if len(local) >= n {
		local, others = local[:n], nil
	}
	slices.SortFunc(others, byWeight)
	out := make([]RouterAddress, 0, len(local)+len(others))
	for _, o := range append(local, others...) {
		out = append(out, o.RouterAddress)
	}
	return out
}

// minRoutersInUse is the least number of routers that the callers of a data centre use: they use
// those of others as well if it has fewer.
const minRoutersInUse = 8

// subsetConfig leaves a router in use two thirds of its capacity for bursts.
var subsetConfig = subset.Config{Utilisation: 0.3, Min: minRoutersInUse, ShrinkRate: 0.2}

// resizeSubsets updates the number of routers in use in each data centre by their utilisations.
func (h *hub) resizeSubsets() {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	available, utilisation := map[fleet.DataCentreName]int{}, map[fleet.DataCentreName]float64{}
	for _, f := range h.followers {
		if f.Role == fleet.RoleRouter && !f.Stopping && now.Sub(f.lastReport) <= routerTimeout {
			available[f.DataCentre]++
			utilisation[f.DataCentre] += f.utilisation
		}
	}
	for dc, n := range available {
		if h.sizers[dc] == nil {
			h.sizers[dc] = subset.NewSizer(subsetConfig)
		}
		h.inUse[dc] = h.sizers[dc].Update(now, n, utilisation[dc])
	}
}

// routersInUse returns the number of a data centre's routers that its callers are to use, or
// the maximum if it is not known. The caller holds mu.
func (h *hub) routersInUse(dc fleet.DataCentreName) int {
	if n, ok := h.inUse[dc]; ok {
		return max(n, minRoutersInUse)
	}
	return math.MaxInt
}
