package dispatchercmd

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// settingsFile mirrors the sections of the settings file.
type settingsFile struct {
	Host       program.HostSection
	Dispatcher dispatcherSection
	Control    program.ControlSection
}

// dispatcherSection is the [Dispatcher] section.
type dispatcherSection struct {
	// Listen is the address for the connections of routers.
	Listen netip.AddrPort
	// LeaseDuration is the duration of the dispatcher lease: the longest time that the region
	// has no dispatcher after a crash.
	LeaseDuration time.Duration `default:"2s" min:"500ms" max:"1m"`
	// StandingGrants reserves slots for routers to use while no dispatcher is available.
	StandingGrants bool `default:"true"`
}

// Check implements fleet.Checker.
func (s *dispatcherSection) Check() error {
	if s.LeaseDuration < fleet.MinLeaseDuration {
		return errors.Errorf("LeaseDuration is %s; at least %s is needed", s.LeaseDuration, fleet.MinLeaseDuration)
	}
	return nil
}
