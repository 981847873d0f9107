package fleet

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// TargetState is the state that a target announces.
type TargetState string

// The states of targets.
const (
	// TargetServing means that the target accepts new requests.
	TargetServing TargetState = "Serving"
	// TargetLeaving means that the target finishes its requests and accepts no new ones.
	TargetLeaving TargetState = "Leaving"
)

// MaxSlots is the maximum number of slots that a target may announce.
const MaxSlots Slots = 4096

// AnnounceInterval is the time between two announcements of a target.
const AnnounceInterval = 500 * time.Millisecond

// TargetMissingAfter is the time since its last announcement after which a target gets no
// new requests.
const TargetMissingAfter = 2 * time.Second

// Announcement is what a target posts to any router, as JSON, once per AnnounceInterval.
type Announcement struct {
	Target TargetID
	// Incarnation grows with each start of the target.
	Incarnation Incarnation
	// Sequence grows with every announcement of one incarnation.
	Sequence Sequence
	// Service is the service that the target offers.
	Service    ServiceName
	DataCentre DataCentreName
	// SoftwareVersion is the version of the target's software; empty if unknown. Only targets
	// with the same one continue each other's streams.
	SoftwareVersion SoftwareVersion `json:",omitempty"`
	// Address is the address at which the target accepts requests.
	Address netip.AddrPort
	// Slots is the number of requests that the target runs concurrently when warm.
	Slots Slots
	State TargetState
	// ColdFor is how much longer the target can take only a reduced load, counted from
	// the announcement; 0 if the target is warm.
	ColdFor time.Duration `json:",omitempty"`
	// Running lists the requests that the target runs now. Dispatchers use it to free
	// slots whose request may have ended unnoticed.
	Running []RequestID `json:",omitempty"`
	// Prefixes lists prompt prefixes in the target's prefix cache; it may be incomplete.
	Prefixes []PrefixHash `json:",omitempty"`
}

// MaxAnnouncedPrefixes is the maximum number of prefixes in one announcement.
const MaxAnnouncedPrefixes = 1024

// MaxSoftwareVersionBytes is the maximum length of a SoftwareVersion.
const MaxSoftwareVersionBytes = 128

// checkTargetAddress returns an error if a router can't connect to an address.
func checkTargetAddress(addr netip.AddrPort) error {
	switch ip := addr.Addr(); {
	case !addr.IsValid():
		return errors.New("Address is missing; give an IP address and a port")
	case addr.Port() == 0:
		return errors.Errorf("Address is %s; port 0 is not allowed", addr)
	case ip.IsUnspecified() || ip.IsMulticast():
		return errors.Errorf("Address is %s; give the address of one host", addr)
	}
	return nil
}

// Check implements Checker.
func (a *Announcement) Check() error {
	if err := checkAll(
		CheckName("Target", string(a.Target)),
		CheckName("Service", string(a.Service)),
		CheckName("DataCentre", string(a.DataCentre)),
	); err != nil {
		return err
	}
	if err := checkTargetAddress(a.Address); err != nil {
		return err
	}
	if len(a.SoftwareVersion) > MaxSoftwareVersionBytes {
		return errors.Errorf("SoftwareVersion has %d bytes; at most %d are allowed", len(a.SoftwareVersion), MaxSoftwareVersionBytes)
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
