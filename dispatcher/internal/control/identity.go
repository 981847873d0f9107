// Package control keeps a dispatcher's lease and configuration with the control quorum.
package control

import (
	"net/netip"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Identity is what a dispatcher tells control of itself.
type Identity struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreName
	// Address is where routers connect.
	Address netip.AddrPort
}
