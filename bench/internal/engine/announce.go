package engine

import (
	"net/netip"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// address is the address in every announcement; the simulation never connects to it.
var address = netip.MustParseAddrPort("127.0.0.1:9000")

// Announce returns the engine's next announcement.
func (e *Engine) Announce() fleet.Announcement {
	e.sequence++
	a := fleet.Announcement{
		Target: e.cfg.Target, Incarnation: e.incarnation, Sequence: e.sequence,
		Service: e.cfg.Service, DataCentre: e.cfg.DataCentre, Address: address,
		Slots: e.cfg.Slots, State: fleet.TargetServing,
		Prefixes: append([]fleet.PrefixHash(nil), e.cachedPrefixes...),
	}
	if e.leaving {
		a.State = fleet.TargetLeaving
	}
	for _, j := range e.jobs {
		a.Running = append(a.Running, j.Request)
	}
	return a
}
