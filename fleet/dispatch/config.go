package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Charging is when a customer's counter is raised for a request.
type Charging string

// The ways to charge.
const (
	// ChargeProgressively charges an estimate at the grant, raises it as the cost
	// passes it, and corrects it at the end.
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

	// off switches mechanisms off, to show that the tests need them.
	off mechanisms
}

// mechanisms names what tests may switch off; the zero value has everything on.
type mechanisms struct {
	slowStart, latency, doubt, suspects, rejoin, membership, settling, retained, correction bool
}

// Timing of the dispatcher.
const (
	// GrantValidity is how long a grant may be used after the router sent the report
	// that the grant's message acknowledges.
	GrantValidity = time.Second
	// StandingValidity is the same for standing grants.
	StandingValidity = 2 * time.Second
	// RouterSilentAfter is how long after its last report a router gets no grants.
	RouterSilentAfter = time.Second
	// RouterForgottenAfter is how long a router without tickets and attempts is kept.
	RouterForgottenAfter = time.Minute
	// TargetForgottenAfter is how long a target that does not announce itself is kept.
	TargetForgottenAfter = 10 * time.Minute
	// IdleForgivenAfter is the time after which a customer without waiting and running
	// requests loses what it was charged beyond the others.
	IdleForgivenAfter = 5 * time.Second
	// scanInterval is the time between two scans for missing targets and silent routers.
	scanInterval = 50 * time.Millisecond
	// servedInterval is the time between two reminders of counters to a router.
	servedInterval = time.Second
	// answerInterval is the time after which a report is answered even if there is
	// nothing to say, so that the router does not take the dispatcher for silent.
	answerInterval = 150 * time.Millisecond
	// resyncInterval is the time between two requests for a full report.
	resyncInterval = 500 * time.Millisecond
)
