package dispatchercmd

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// document mirrors the settings file.
type settingsFile struct {
	Host       program.HostSection
	Dispatcher dispatcherSection
	Control    program.ControlSection
}

// dispatcherSection is the [Dispatcher] section.
type dispatcherSection struct {
	// Listen is where routers connect.
	Listen netip.AddrPort
	// LeaseDuration is how long the region stays without a dispatcher after one vanished.
	LeaseDuration time.Duration `default:"2s" min:"500ms" max:"1m"`
	// StandingGrants lets routers hold slots to use while no dispatcher answers.
	StandingGrants bool `default:"true"`
}

// Check implements fleet.Checker.
func (s *dispatcherSection) Check() error {
	if s.LeaseDuration < fleet.MinLeaseDuration {
		return errors.Errorf("LeaseDuration is %s; at least %s is needed", s.LeaseDuration, fleet.MinLeaseDuration)
	}
	return nil
}
