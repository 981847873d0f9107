package experiment

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/control"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Processes names running processes that experiments measure. The program starts
// none itself.
type Processes struct {
	// Label goes into the names of the figures, such as the way of syncing.
	Label   string
	Control []netip.AddrPort
	// Admin lists operators' addresses of routers and dispatchers.
	Admin []netip.AddrPort
	// Router is where a router takes callers.
	Router netip.AddrPort
	// Plain and Model are stand-in targets.
	Plain, Model netip.AddrPort
	// Key is the customer's bearer key.
	Key string
	// PIDs of the processes, by role.
	PIDs map[fleet.Role]int
}

// roles returns the roles of the measured processes in order.
func (p *Processes) roles() []fleet.Role {
	return slices.Sorted(maps.Keys(p.PIDs))
}

// driver connects to the control replicas; stop closes the connections.
func (p *Processes) driver(prefix string) (d *control.Driver, stop func()) {
	c := rpc.NewControlClient(rpc.ControlClientConfig{Replicas: p.Control})
	c.Start()
	return &control.Driver{Control: c, Prefix: prefix}, c.Stop
}
