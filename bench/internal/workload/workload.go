// Package workload generates the traces that experiments run: a simulated fleet, its
// requests and its disturbances. Equal seeds give equal traces.
package workload

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// TargetGroup describes a number of equal targets of one service in one data centre. For
// the fields that are not explained here see the Config of package engine.
type TargetGroup struct {
	Service    fleet.ServiceName
	DataCentre fleet.DataCentreName
	Count      int
	// Slots is the number of slots of each target.
	Slots        fleet.Slots
	UnitInterval time.Duration
	BatchGrowth  float64
	PrefillTime  time.Duration
	// CachedPrefixes is the number of prompt prefixes in the cache of each target.
	CachedPrefixes int
}

// Arrival is one request of a trace.
type Arrival struct {
	// At is the time since the start of the trace.
	At       time.Duration
	Customer fleet.CustomerName
	Service  fleet.ServiceName
	// Router is the index of the router that the caller uses.
	Router int
	// Cost is the true cost. It is not part of the ticket that the dispatcher receives.
	Cost fleet.Cost
	// Hint is the caller's rough estimate of the cost; 0 means none.
	Hint fleet.Cost
	// Prefix identifies the prompt prefix; 0 means none.
	Prefix fleet.PrefixHash
	// Crashes is set if the request crashes every target that runs it. All such requests of a
	// trace have the same content.
	Crashes bool
}

// Disturbance is a fault or an operation that affects the fleet during a trace.
type Disturbance struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Kind is the kind of disturbance. Subject names the data centre or target; it is empty
	// for DispatcherDies.
	Kind    DisturbanceKind
	Subject string
}

// DisturbanceKind is a kind of disturbance.
type DisturbanceKind string

// Kinds of disturbance.
const (
	// DataCentreOut takes a data centre out of service; its targets stop after draining.
	DataCentreOut DisturbanceKind = "DataCentreOut"
	// DataCentreIn brings a data centre back into service with cold targets.
	DataCentreIn DisturbanceKind = "DataCentreIn"
	// TargetLeaves makes a target announce the state TargetLeaving.
	TargetLeaves DisturbanceKind = "TargetLeaves"
	// TargetRestarts kills a target and starts it again, cold.
	TargetRestarts DisturbanceKind = "TargetRestarts"
	// TargetTurnsCold reduces the capacity of a target, which does not announce it.
	TargetTurnsCold DisturbanceKind = "TargetTurnsCold"
	// DispatcherDies kills the active dispatcher; the other takes over when the lease expires.
	DispatcherDies DisturbanceKind = "DispatcherDies"
)

// Trace is a simulated fleet with its requests and disturbances.
type Trace struct {
	// Name is part of the names of figures.
	Name  string
	Fleet *fleet.Fleet
	// Routers is the number of routers.
	Routers int
	// OneWayDelay is the network delay of every message between two hosts.
	OneWayDelay time.Duration
	Targets     []TargetGroup
	// Arrivals lists the requests in order of At.
	Arrivals     []Arrival
	Disturbances []Disturbance
	Duration     time.Duration
	// LightestCustomer is the customer with the least demand, whose waits are reported.
	LightestCustomer fleet.CustomerName
}

// TotalSlots returns the number of slots of all targets of a service.
func (t *Trace) TotalSlots(service fleet.ServiceName) fleet.Slots {
	var sum fleet.Slots
	for _, group := range t.Targets {
		if group.Service == service {
			sum += group.Slots * fleet.Slots(group.Count)
		}
	}
	return sum
}
