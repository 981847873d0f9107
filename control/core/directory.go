package core

import (
	"expvar"
	"net/netip"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
)

// diversions counts, by router, the lists for callers that omit it because it sheds them.
var diversions = expvar.NewMap("RouterDiversions")

// RouterAddress is the address at which callers reach a router.
type RouterAddress struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// Routers returns the routers that a caller may use, those of the data centre near first.
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
	slices.SortFunc(out, func(a, b RouterAddress) int {
		if aNear, bNear := a.DataCentre == near, b.DataCentre == near; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return out
}
