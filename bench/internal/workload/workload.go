// Package workload makes the deployments and traces that experiments run.
package workload

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Targets describes some equal targets of one service in one data centre.
type TargetGroup struct {
	Service      fleet.ServiceName
	DataCentre   fleet.DataCentreName
	Count        int
	Slots        fleet.Slots
	UnitInterval time.Duration
	BatchGrowth  float64
	PrefillTime  time.Duration
	// CachedPrefixes is how many prompt prefixes each holds.
	CachedPrefixes int
}

// Arrival is one request of a trace.
type Arrival struct {
	At       time.Duration
	Customer fleet.CustomerName
	Service  fleet.ServiceName
	// Router is the index of the router that the caller uses.
	Router int
	Cost   fleet.Cost
	// Hint is the caller's rough estimate; 0 means none.
	Hint   fleet.Cost
	Prefix fleet.PrefixHash
	// Crashes makes every target that runs the request crash. All such requests of a
	// trace have the same content.
	Crashes bool
}

// Disturbance is something that happens to the fleet during a trace.
type Disturbance struct {
	At time.Duration
	// Kind says what happens; Subject names the data centre or target, if any.
	Kind    DisturbanceKind
	Subject string
}

// DisturbanceKind says what happens to the fleet.
type DisturbanceKind string

// The disturbances.
const (
	// DataCentreOut takes a data centre out of service; its targets stop after draining.
	DataCentreOut DisturbanceKind = "DataCentreOut"
	// DataCentreIn brings it back with cold targets.
	DataCentreIn DisturbanceKind = "DataCentreIn"
	// TargetLeaves makes a target announce that it leaves.
	TargetLeaves DisturbanceKind = "TargetLeaves"
	// TargetRestarts kills a target and starts it cold.
	TargetRestarts DisturbanceKind = "TargetRestarts"
	// TargetTurnsCold makes a target bear less without telling.
	TargetTurnsCold DisturbanceKind = "TargetTurnsCold"
	// DispatcherDies kills the active dispatcher; the other takes over after the lease.
	DispatcherDies DisturbanceKind = "DispatcherDies"
)

// Trace is a deployment with its requests and disturbances.
type Trace struct {
	Name    string
	Fleet   *fleet.Fleet
	Routers int
	// OneWay is the delay between hosts of different data centres.
	OneWayDelay  time.Duration
	Targets      []TargetGroup
	Arrivals     []Arrival
	Disturbances []Disturbance
	Duration     time.Duration
	// Smallest is the customer with the least demand, whose wait is reported.
	LightestCustomer fleet.CustomerName
}

// Slots returns the announced slots of a service.
func (t *Trace) TotalSlots(service fleet.ServiceName) fleet.Slots {
	var sum fleet.Slots
	for _, group := range t.Targets {
		if group.Service == service {
			sum += group.Slots * fleet.Slots(group.Count)
		}
	}
	return sum
}
