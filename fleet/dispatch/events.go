// Package dispatch is the reducer of the dispatcher, which decides which waiting request runs
// on which target. Only the dispatcher that holds a region's lease grants the slots of the
// targets there.
package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Events that the reducer takes.
type (
	// ReportReceived carries a report of a router. It is applied if it is full or has the
	// next sequence of the router's incarnation; after a gap the dispatcher requests a full
	// report.
	ReportReceived struct {
		Report fleet.RouterReport
	}

	// RouterDisconnected reports that the connection to a router was lost. The router's
	// attempts are in doubt until it reports again or their targets' announcements omit them.
	RouterDisconnected struct {
		Router fleet.HostID
	}

	// ConfigConfirmed carries a configuration that is confirmed as current until NotAfter.
	ConfigConfirmed struct {
		Config   fleet.Confirmed
		NotAfter time.Time
	}

	// LeaseHeld reports that this process holds the region's lease under Epoch until NotAfter.
	// A higher epoch than before starts a take-over.
	LeaseHeld struct {
		Epoch    fleet.Epoch
		NotAfter time.Time
		// Predecessor is true when another holder, or another incarnation of this
		// process, held the lease before and its grants may still be in use.
		Predecessor bool
	}

	// LeaseLost reports that the lease was released or that its renewal was refused.
	LeaseLost struct{}

	// Tick advances the time; the caller of the reducer sends one every TickInterval.
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

// Effects that the reducer returns.
type (
	// SendGrants sends a message to a router. It must not be sent after Until.
	SendGrants struct {
		To      fleet.HostID
		Message fleet.DispatcherGrants
		// Until is when the lease or the configuration that the message relies on expires,
		// whichever is first.
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
