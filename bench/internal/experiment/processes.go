package experiment

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/control"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Processes names the running processes that experiments measure. The benchmark program
// starts none itself.
type Processes struct {
	// Label is part of the names of the control figures, such as the mode of syncing.
	Label string
	// Control lists the addresses of the control replicas.
	Control []netip.AddrPort
	// Admin lists the operators' addresses of routers and dispatchers.
	Admin []netip.AddrPort
	// Router is the address of a router for callers.
	Router netip.AddrPort
	// PlainTarget and ModelTarget are stand-in targets of the services plain and model.
	PlainTarget, ModelTarget netip.AddrPort
	// CustomerKey is the bearer key of the customer.
	CustomerKey string
	// PIDs holds the process IDs by role.
	PIDs map[fleet.Role]int
}

// roles returns the roles in PIDs, sorted.
func (p *Processes) roles() []fleet.Role {
	return slices.Sorted(maps.Keys(p.PIDs))
}

// connectControl returns a driver for the control replicas; stop closes its connections.
// The prefix is the IDPrefix of the driver.
func (p *Processes) connectControl(prefix string) (d *control.Driver, stop func()) {
	client := rpc.NewControlClient(rpc.ControlClientConfig{Replicas: p.Control})
	client.Start()
	return &control.Driver{Control: client, IDPrefix: prefix}, client.Stop
}
