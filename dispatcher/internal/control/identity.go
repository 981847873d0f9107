// Package control renews a dispatcher's lease at the control quorum and follows the
// configuration there.
package control

import (
	"net/netip"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Identity identifies a dispatcher to control.
type Identity struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreName
	// Address is where routers connect.
	Address netip.AddrPort
}
