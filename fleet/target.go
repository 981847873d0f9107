package fleet

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// TargetState is what a target says of itself.
type TargetState string

// The states a target announces.
const (
	// TargetServing takes new work.
	TargetServing TargetState = "Serving"
	// TargetLeaving finishes what it runs and takes no new work.
	TargetLeaving TargetState = "Leaving"
)

// MaxSlots is the most slots that a target may announce.
const MaxSlots Slots = 4096

// AnnounceInterval is the time between two announcements of a target.
const AnnounceInterval = 500 * time.Millisecond

// TargetMissingAfter is how long after its last announcement a target gets no new work.
const TargetMissingAfter = 2 * time.Second

// Announcement is what a target posts to any router, as JSON, once per AnnounceInterval.
type Announcement struct {
	// Target names the target; Incarnation grows with each of its starts.
	Target      TargetID
	Incarnation Incarnation
	// Sequence grows with every announcement of one incarnation.
	Sequence Sequence
	// Service is the service that the target offers.
	Service ServiceName
	// DataCentre is where the target runs.
	DataCentre DataCentreName
	// Address is where it takes requests.
	Address netip.AddrPort
	// Slots is how many requests it runs at the same time when warm.
	Slots Slots
	// State says whether it takes new work.
	State TargetState
	// ColdFor is how much longer the target bears only a little, counted from the
	// announcement; 0 for a warm one.
	ColdFor time.Duration `json:",omitempty"`
	// Running lists the requests that the target runs now. It clears work in doubt.
	Running []RequestID `json:",omitempty"`
	// Prefixes lists prompt prefixes that its cache holds; it may be incomplete.
	Prefixes []PrefixHash `json:",omitempty"`
}

// MaxAnnouncedPrefixes is the most prefixes that one announcement may list.
const MaxAnnouncedPrefixes = 1024

// Check implements Checker.
func (a *Announcement) Check() error {
	if err := checkAll(
		CheckName("Target", string(a.Target)),
		CheckName("Service", string(a.Service)),
		CheckName("DataCentre", string(a.DataCentre)),
	); err != nil {
		return err
	}
	if !a.Address.IsValid() {
		return errors.New("Address is missing; give an IP address and a port")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.Errorf("Slots is %d; 1 to %d are allowed", a.Slots, MaxSlots)
	}
	if a.State != TargetServing && a.State != TargetLeaving {
		return errors.Errorf("State %q does not exist; use %s or %s", a.State, TargetServing, TargetLeaving)
	}
	if a.ColdFor < 0 {
		return errors.Errorf("ColdFor is %s; it must not be negative", a.ColdFor)
	}
	if len(a.Prefixes) > MaxAnnouncedPrefixes {
		return errors.Errorf("Prefixes has %d entries; at most %d are allowed", len(a.Prefixes), MaxAnnouncedPrefixes)
	}
	return nil
}
