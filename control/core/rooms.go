package core

import (
	"log/slog"
	"math"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

// roomMaxAge is the age from which a router's room is not used: after it all routers of a control
// host that gets no reports have equal weights. It is longer than routerTimeout, so that a router
// that connects again keeps its weight.
const roomMaxAge = 3 * time.Second

// roomTable has the newest rooms of the routers. hub.mu guards it.
type roomTable struct {
	log *slog.Logger
	// disabled is true if no room is used.
	disabled bool
	reported map[netip.AddrPort]reportedRoom
}

// reportedRoom is the room in the newest report of a router.
type reportedRoom struct {
	fleet.Room
	at time.Time
}

func newRoomTable(log *slog.Logger) *roomTable {
	return &roomTable{log: log, reported: map[netip.AddrPort]reportedRoom{}}
}

// set stores what a router reports. It logs when the router begins or ends to give up callers
// because its connections run out.
func (t *roomTable) set(now time.Time, router netip.AddrPort, r fleet.Room) {
	if t.disabled || r == (fleet.Room{}) {
		return
	}
	before := t.reported[router]
	t.reported[router] = reportedRoom{Room: r, at: now}
	if (r.Reduction > 0) != (before.Reduction > 0) {
		t.log.Info(logevent.RouterReduced, "router", router.String(), "reduction", r.Reduction, "open", r.Open, "limit", r.Connections,
			"cores", float64(r.Cores), "sinceReportMs", sinceReport(now, before))
	}
}

// sinceReport returns the time between a report and the one before it in ms, or 0 if it is the first.
func sinceReport(now time.Time, before reportedRoom) int64 {
	if before.at.IsZero() {
		return 0
	}
	return now.Sub(before.at).Milliseconds()
}

// get returns the room of a router; the zero value if it is not known.
func (t *roomTable) get(now time.Time, router netip.AddrPort) fleet.Room {
	if r, ok := t.reported[router]; ok && now.Sub(r.at) <= roomMaxAge {
		return r.Room
	}
	return fleet.Room{}
}

// expire removes the rooms that are not used any more.
func (t *roomTable) expire(now time.Time) {
	for router, r := range t.reported {
		if now.Sub(r.at) > roomMaxAge {
			delete(t.reported, router)
		}
	}
}

// RouterWeight is how a control host names a router to callers, published as the metric
// RouterWeights.
type RouterWeight struct {
	DataCentre fleet.DataCentreName
	// Weight is the part of its data centre's callers that the router is named to while it is in
	// use, from 0 to 1; callers that would be named fewer routers than the minimum come on top.
	Weight float64
	// Room is what the router reported; zero if that is not known or too old.
	Room fleet.Room
	// AgeMs is the time since the last message of the router.
	AgeMs int64
	// Shed is the fraction of callers that the router sheds, Utilisation the used fraction of its
	// capacity.
	Shed        float64
	Utilisation float64
	// LastLeftOut is the last caller whose list omitted the router by its weight or because the
	// router sheds it; empty if there was none.
	LastLeftOut string `json:",omitempty"`
}

// RouterWeights returns how this host names routers to callers, by their addresses.
func (c *Core) RouterWeights() map[string]RouterWeight {
	h := c.hub
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	centres := map[fleet.DataCentreName][]weighting.Router{}
	out := map[string]RouterWeight{}
	for _, f := range h.followers {
		if f.Role != fleet.RoleRouter || f.Stopping {
			continue
		}
		r := h.weighed(now, f)
		centres[f.DataCentre] = append(centres[f.DataCentre], r)
		out[r.Name] = RouterWeight{
			DataCentre: f.DataCentre, Room: r.Room, AgeMs: now.Sub(f.lastReport).Milliseconds(),
			Shed: f.shedShare, Utilisation: f.utilisation, LastLeftOut: h.lastLeftOut[f.Address],
		}
	}
	for _, routers := range centres {
		for name, weight := range weighting.Weights(routers) {
			w := out[name]
			w.Weight = weight
			out[name] = w
		}
	}
	return out
}

// CapacityInUse returns the capacity that the callers of each data centre are to use, as a multiple
// of the mean of its routers, published as the metric CapacityInUse.
func (c *Core) CapacityInUse() map[fleet.DataCentreName]float64 {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	out := map[fleet.DataCentreName]float64{}
	for dc, size := range c.hub.inUse {
		out[dc] = math.Round(100*float64(size)) / 100
	}
	return out
}
