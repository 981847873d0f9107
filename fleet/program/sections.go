package program

import (
	"net/netip"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// HostSection is the [Host] section of every settings file.
type HostSection struct {
	// Host is the name of the process, unique in the fleet.
	Host fleet.HostID
	// DataCentre is where the process runs.
	DataCentre fleet.DataCentreName
	// Admin is the address of the admin server, see ServeAdmin.
	Admin netip.AddrPort
}

// Check implements fleet.Checker.
func (s *HostSection) Check() error {
	if err := fleet.CheckName("Host", string(s.Host)); err != nil {
		return err
	}
	return fleet.CheckName("DataCentre", string(s.DataCentre))
}

// ControlSection is the [Control] section of processes that call the control replicas.
type ControlSection struct {
	// Replicas lists the addresses of all control replicas.
	Replicas []netip.AddrPort
}
