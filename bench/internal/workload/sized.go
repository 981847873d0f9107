package workload

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Size describes a synthetic region.
type Size struct {
	Routers, Targets, Customers int
	// Slots is that of each target.
	Slots fleet.Slots
	// Rate is the requests a second in the region; 0 makes an idle one.
	Rate float64
	// Cost is the mean cost of a request, UnitInterval the time for each unit.
	Cost         fleet.Cost
	UnitInterval time.Duration
	// Backlogged is the share of customers whose requests come at ten times the rate
	// of the others.
	Backlogged float64
	Duration   time.Duration
}

// Sized makes a region of the given size with one model service.
func Sized(seed uint64, s Size) *Trace {
	const service = "model"
	var dcs []fleet.DataCentreName
	for i := range 3 {
		dcs = append(dcs, fleet.DataCentreName(fmt.Sprintf("dc-%d", i+1)))
	}
	t := &Trace{
		Name: "Sized", Routers: s.Routers, OneWay: 500 * time.Microsecond, Duration: s.Duration,
		Fleet: newFleet("region-1", dcs, []fleet.Service{
			{Name: service, Protocol: fleet.ProtocolModel, MaxCost: 20 * s.Cost},
		}, weights(s.Customers, 0, 1)),
		Smallest: customerName(s.Customers - 1),
	}
	t.Targets = spreadTargets(Targets{
		Service: service, Slots: s.Slots, UnitInterval: s.UnitInterval, Prefill: 50 * time.Millisecond,
	}, s.Targets, dcs)
	large := int(float64(s.Customers) * s.Backlogged)
	each := s.Rate / float64(s.Customers+9*large)
	var demands []Demand
	for i := range s.Customers {
		d := Demand{
			Customer: customerName(i), Service: service, Rate: each, To: s.Duration,
			MedianCost: float64(s.Cost), Spread: 0.3, MaxCost: 20 * s.Cost, Home: i,
		}
		if i < large {
			d.Rate *= 10
		}
		demands = append(demands, d)
	}
	t.Arrivals = generate(seed, s.Routers, demands)
	return t
}

// Crashing makes a region in which one request crashes its targets; its caller sends
// it again through other routers, each time as a new request.
func Crashing(seed uint64) *Trace {
	t := Sized(seed, Size{
		Routers: 8, Targets: 18, Customers: 16, Slots: 16, Rate: 20, Cost: 200,
		UnitInterval: 20 * time.Millisecond, Duration: 4 * time.Minute,
	})
	for i := range 5 {
		t.Arrivals = append(t.Arrivals, Arrival{
			At: 90*time.Second + time.Duration(i)*20*time.Second, Customer: t.Smallest, Service: "model",
			Router: i, Cost: 200, Crashes: true,
		})
	}
	sortArrivals(t.Arrivals)
	return t
}
