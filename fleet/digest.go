package fleet

import (
	"github.com/pkg/errors"
)

// CustomerShare is the fraction of a customer's demand that is within its fair share.
type CustomerShare struct {
	Customer CustomerName `json:"C"`
	// Admitted is the fraction to admit, from 0 to 1.
	Admitted float64 `json:"A"`
}

// ReportIncluded tells a router which of its own reports is part of the next LoadDigest.
type ReportIncluded struct {
	// Sequence is that of the report; 0 means that none is part of it.
	Sequence Sequence
	// LimitShare is the router's share in the limits of targets; empty if it was given none.
	LimitShare Share `json:",omitzero"`
}

// Check implements Checker.
func (r *ReportIncluded) Check() error { return errors.Wrap(r.LimitShare.Check(), "LimitShare") }

// LoadDigest sums up what all routers reported. It is the same for all of them.
type LoadDigest struct {
	// BusyRouters is the number of routers that have requests.
	BusyRouters int `json:",omitempty"`
	// Unready lists the routers that are to tell the platform that they are not ready, so that
	// their callers move to others.
	Unready []HostID `json:",omitempty"`
	// Targets has the load of each target from all routers, the receiver included.
	Targets []TargetLoad `json:",omitempty"`
	// Shares lists the customers whose demand exceeds their fair share.
	Shares []CustomerShare `json:",omitempty"`
	// Light lists the customers whose requests are answered late rather than refused as late: those that
	// request little compared to the mean of all, and those that get much less than their fair share.
	Light []CustomerName `json:",omitempty"`
	// HotParts lists the shared parts that are too much work for a few targets.
	HotParts []HotPart `json:",omitempty"`
	// Suspects lists requests that crashed several targets.
	Suspects []SuspectCount `json:",omitempty"`
	// SuspectParts lists the parts of prompts, SuspectTargets the targets of which routers
	// report answers.
	SuspectParts   []PartID          `json:",omitempty"`
	SuspectTargets []TargetID        `json:",omitempty"`
	Quarantined    []QuarantinedPart `json:",omitempty"`
	// Partial is true while the leader may not have what all routers know yet. Suspects and
	// Quarantined then add to those that the receiver knows, instead of replacing them.
	Partial bool `json:",omitempty"`
	// Slowness is the median of all routers' measurements.
	Slowness []ServiceSlowness `json:",omitempty"`
	// Limits has the newest statement of each target that had a limit in the last seconds.
	Limits []StatedLimit `json:",omitempty"`
	// Paces has the targets whose pace differs from 1 with confidence.
	Paces []TargetPace `json:",omitempty"`
	// PacesKnown is true if Paces replaces the list before. It is false while a new leader knows
	// none, and between two lists, which are sent less often than digests.
	PacesKnown bool `json:",omitempty"`
}

// Check implements Checker.
func (d *LoadDigest) Check() error {
	if d.BusyRouters < 0 {
		return errors.Errorf("BusyRouters is %d; it must not be negative", d.BusyRouters)
	}
	if err := checkLimits(d.Limits); err != nil {
		return err
	}
	if err := checkEach("Paces", d.Paces); err != nil {
		return err
	}
	for _, h := range d.HotParts {
		if h.TokensPerSecond < 0 {
			return errors.Errorf("the rate of part %d is %g; it must not be negative", h.Part, h.TokensPerSecond)
		}
	}
	return nil
}
