package workload

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Size describes the size and the load of a synthetic region.
type Size struct {
	Routers, Targets, Customers int
	// Slots is the number of slots of each target.
	Slots fleet.Slots
	// RequestRate is the number of requests a second in the region; 0 makes an idle region.
	RequestRate float64
	// MeanCost is the approximate mean cost of a request, UnitInterval the time for each
	// unit of cost.
	MeanCost     fleet.Cost
	UnitInterval time.Duration
	// HeavyShare is the share of customers, from 0 to 1, with ten times the request rate of
	// the others.
	HeavyShare float64
	Duration   time.Duration
}

// Sized returns a trace of a region of the given size with one model service, "model".
func Sized(seed uint64, s Size) *Trace {
	const service = "model"
	var dcs []fleet.DataCentreName
	for i := range 3 {
		dcs = append(dcs, fleet.DataCentreName(fmt.Sprintf("dc-%d", i+1)))
	}
	t := &Trace{
		Name: "Sized", Routers: s.Routers, OneWayDelay: 500 * time.Microsecond, Duration: s.Duration,
		Fleet: newFleet("region-1", dcs, []fleet.Service{
			{Name: service, Protocol: fleet.ProtocolModel, MaxCost: 20 * s.MeanCost},
		}, customerWeights(s.Customers, 0, 1)),
		LightestCustomer: customerName(s.Customers - 1),
	}
	t.Targets = distributeTargets(TargetGroup{
		Service: service, Slots: s.Slots, UnitInterval: s.UnitInterval, PrefillTime: 50 * time.Millisecond,
	}, s.Targets, dcs)
	heavyCustomers := int(float64(s.Customers) * s.HeavyShare)
	rate := s.RequestRate / float64(s.Customers+9*heavyCustomers)
	var demands []Demand
	for i := range s.Customers {
		d := Demand{
			Customer: customerName(i), Service: service, Rate: rate, To: s.Duration,
			MedianCost: float64(s.MeanCost), Spread: 0.3, MaxCost: 20 * s.MeanCost, HomeRouter: i,
		}
		if i < heavyCustomers {
			d.Rate *= 10
		}
		demands = append(demands, d)
	}
	t.Arrivals = generateArrivals(seed, s.Routers, demands)
	return t
}

// Crashing returns a trace with a request that crashes its targets. Its caller sends it
// repeatedly through different routers, each time as a new request.
func Crashing(seed uint64) *Trace {
	t := Sized(seed, Size{
		Routers: 8, Targets: 18, Customers: 16, Slots: 16, RequestRate: 20, MeanCost: 200,
		UnitInterval: 20 * time.Millisecond, Duration: 4 * time.Minute,
	})
	for i := range 5 {
		t.Arrivals = append(t.Arrivals, Arrival{
			At: 90*time.Second + time.Duration(i)*20*time.Second, Customer: t.LightestCustomer, Service: "model",
			Router: i, Cost: 200, Crashes: true,
		})
	}
	sortArrivals(t.Arrivals)
	return t
}
