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
	PlainTarget, ModelTarget netip.AddrPort
	// Key is the customer's bearer key.
	CustomerKey string
	// PIDs of the processes, by role.
	PIDs map[fleet.Role]int
}

// roles returns the roles of the measured processes in order.
func (p *Processes) roles() []fleet.Role {
	return slices.Sorted(maps.Keys(p.PIDs))
}

// driver connects to the control replicas; stop closes the connections.
func (p *Processes) connectControl(prefix string) (d *control.Driver, stop func()) {
	client := rpc.NewControlClient(rpc.ControlClientConfig{Replicas: p.Control})
	client.Start()
	return &control.Driver{Control: client, IDPrefix: prefix}, client.Stop
}
