// Package crowding decides which routers tell the platform that they are not ready because they
// have more callers than they can serve. All callers of some customers use one router, whatever the
// directory names, and move only if that router is not ready.
package crowding

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Config configures a Granter.
type Config struct {
	// Hold is the time for which a router is not ready. Its callers return afterwards.
	Hold time.Duration
	// MaxShare is the maximum fraction of the routers that are not ready at the same time, but one
	// router always may be.
	MaxShare float64
	// MaxUtilisation is the mean utilisation of the other routers of the data centre up to which
	// callers are moved: beyond it they would crowd another router.
	MaxUtilisation float64
	// MinOthers is the least number of other routers in the data centre.
	MinOthers int
}

// DefaultConfig holds a router back for as long as the load of a customer stays high, 6 to 8 s, and
// some time for the callers to move. An eighth of the routers is the part that may be out of use for
// long without a loss for other callers.
var DefaultConfig = Config{Hold: 10 * time.Second, MaxShare: 0.125, MaxUtilisation: 0.4, MinOthers: 3}

// Router is a router with what it reported last.
type Router struct {
	Host       fleet.HostID
	DataCentre fleet.DataCentreName
	// Crowded is true if the router rejects many of its callers.
	Crowded bool
	// Utilisation is the used fraction of the router's capacity.
	Utilisation float64
	// Cores is the router's processor time; 0 if unknown.
	Cores fleet.Cores
}

// Granter keeps the routers that are not ready. It is not safe for concurrent use.
type Granter struct {
	cfg   Config
	until map[fleet.HostID]time.Time
}

// NewGranter returns a Granter for a fleet whose routers are all ready.
func NewGranter(cfg Config) *Granter { return &Granter{cfg: cfg, until: map[fleet.HostID]time.Time{}} }

// Update takes all routers that are connected, and returns those that are to be not ready, ordered by
// host. Of several crowded routers the smallest ones come first: their callers gain most.
func (g *Granter) Update(now time.Time, routers []Router) []fleet.HostID {
	for host, until := range g.until {
		if !now.Before(until) {
			delete(g.until, host)
		}
	}
	routers = slices.Clone(routers)
	slices.SortFunc(routers, func(a, b Router) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Host, b.Host))
	})
	most := max(1, int(g.cfg.MaxShare*float64(len(routers))))
	for i := range routers {
		r := &routers[i]
		if _, held := g.until[r.Host]; !held && r.Crowded && len(g.until) < most && g.othersHaveRoom(r, routers) {
			g.until[r.Host] = now.Add(g.cfg.Hold)
		}
	}
	var out []fleet.HostID
	for _, r := range routers {
		if _, held := g.until[r.Host]; held {
			out = append(out, r.Host)
		}
	}
	slices.Sort(out)
	return out
}

// othersHaveRoom reports whether the other routers of a router's data centre can take its callers.
func (g *Granter) othersHaveRoom(r *Router, routers []Router) bool {
	n, sum := 0, 0.0
	for _, o := range routers {
		_, held := g.until[o.Host]
		if o.Host != r.Host && o.DataCentre == r.DataCentre && !held {
			n++
			sum += o.Utilisation
		}
	}
	return n >= g.cfg.MinOthers && sum <= g.cfg.MaxUtilisation*float64(n)
}
