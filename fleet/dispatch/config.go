package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Charging selects when the cost of a request is added to its customer's counter.
type Charging string

// Values of Charging.
const (
	// ChargeProgressively charges an estimate at the grant, raises the charge when the
	// reported cost exceeds it, and corrects it at the end.
	ChargeProgressively Charging = "Progressively"
	// ChargeAtGrant charges an estimate at the grant and corrects it at the end.
	ChargeAtGrant Charging = "AtGrant"
	// ChargeAtEnd charges the cost at the end.
	ChargeAtEnd Charging = "AtEnd"
)

// Config configures a Reducer.
type Config struct {
	// Host names the dispatcher in its messages.
	Host fleet.HostID
	// Charging defaults to ChargeProgressively.
	Charging Charging
	// StandingGrants lets routers hold Policy.StandingSlots of each warm target.
	StandingGrants bool

	// disabled lists the mechanisms to leave out, for tests that show that each is needed.
	disabled mechanisms
}

// mechanisms lists what tests can disable; the zero value disables nothing.
type mechanisms struct {
	slowStart, latency, doubt, suspects, rejoin, membership, reconciling, retained, correction bool
}

// Timing of the dispatcher.
const (
	// GrantValidity is how long a grant may be used, counted from when the router sent the
	// report that the grant's message acknowledges.
	GrantValidity = time.Second
	// StandingValidity is the same period for standing grants.
	StandingValidity = 2 * time.Second
	// RouterSilentAfter is the time without a report after which a router gets no more
	// grants.
	RouterSilentAfter = time.Second
	// RouterForgottenAfter is how long a silent router without attempts is kept.
	RouterForgottenAfter = time.Minute
	// TargetForgottenAfter is how long a silent target without attempts and standing grants
	// is kept.
	TargetForgottenAfter = 10 * time.Minute
	// IdleForgivenAfter is how long a customer must have no waiting and no running requests
	// before what it was charged beyond the others is forgiven.
	IdleForgivenAfter = 5 * time.Second
	// scanInterval is the time between two scans for missing targets and silent routers.
	scanInterval = 50 * time.Millisecond
	// countersInterval is the time between two messages with customers' counters to a router.
	countersInterval = time.Second
	// answerInterval is the time after which a report is answered even with an empty message,
	// so that the router does not consider the dispatcher silent.
	answerInterval = 150 * time.Millisecond
	// resyncInterval is the time between two requests for a full report.
	resyncInterval = 500 * time.Millisecond
)
