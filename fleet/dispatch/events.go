// Package dispatch decides which waiting request runs on which target. Its reducer
// is the only place that grants the slots of a service's targets in a region.
package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Events.
type (
	// ReportReceived is a report of a router. A report with the next sequence of its
	// incarnation is applied; another one makes the dispatcher ask for a full report.
	ReportReceived struct {
		Report fleet.RouterReport
	}

	// RouterDisconnected tells that the connection to a router was lost. Its work
	// stays in doubt until it reports again or the targets clear it.
	RouterDisconnected struct {
		Router fleet.HostID
	}

	// ConfigConfirmed carries the configuration, confirmed until NotAfter.
	ConfigConfirmed struct {
		Config   fleet.Confirmed
		NotAfter time.Time
	}

	// LeaseHeld tells that this process holds the lease of an epoch until NotAfter.
	// A higher epoch than before starts a take-over.
	LeaseHeld struct {
		Epoch    fleet.Epoch
		NotAfter time.Time
		// Predecessor is true when another holder, or another incarnation of this
		// process, held the lease before and its grants may still be in use.
		Predecessor bool
	}

	// LeaseLost tells that the lease was given up or refused.
	LeaseLost struct{}

	// Tick passes the time; the shell sends one every TickInterval.
	Tick struct{}
)

// TickInterval is the time between two Tick events.
const TickInterval = 5 * time.Millisecond

// EventName implements fleet.Event.
func (ReportReceived) EventName() string { return "ReportReceived" }

// EventName implements fleet.Event.
func (RouterDisconnected) EventName() string { return "RouterDisconnected" }

// EventName implements fleet.Event.
func (ConfigConfirmed) EventName() string { return "ConfigConfirmed" }

// EventName implements fleet.Event.
func (LeaseHeld) EventName() string { return "LeaseHeld" }

// EventName implements fleet.Event.
func (LeaseLost) EventName() string { return "LeaseLost" }

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }

// Effects.
type (
	// SendGrants sends a message to a router. It rests on the lease.
	SendGrants struct {
		To      fleet.HostID
		Message fleet.DispatcherGrants
		// Until is the end of the lease that the message rests on.
		Until time.Time
	}

	// Decided records a decision for operators.
	Decided struct {
		Decision fleet.Decision
	}
)

// EffectName implements fleet.Effect.
func (SendGrants) EffectName() string { return "SendGrants" }

// NotAfter implements fleet.Expiring.
func (e SendGrants) NotAfter() time.Time { return e.Until }

// EffectName implements fleet.Effect.
func (Decided) EffectName() string { return "Decided" }
