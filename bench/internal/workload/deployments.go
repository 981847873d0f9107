package workload

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Sizes that both deployments, lv-riga and ro-centru, share.
const (
	deploymentRouters   = 8
	deploymentCustomers = 16
	largeCustomers      = 3
)

// Riga returns a trace of the deployment lv-riga at midnight before a season opens: three
// large customers send several times what the fleet can serve, while the load of the small
// ones continues.
func Riga(seed uint64) *Trace {
	const (
		duration     = 10 * time.Minute
		floodBegin   = 1 * time.Minute
		floodEnd     = 8 * time.Minute
		slots        = 8
		unitInterval = 20 * time.Millisecond
		batchGrowth  = 1.0
		medianCost   = 180.0
		costSpread   = 1.0
		maxCost      = 4000
	)
	dcs := []fleet.DataCentreName{"riga-a", "riga-b", "riga-c", "riga-d"}
	t := &Trace{
		Name: "LvRiga", Routers: deploymentRouters, OneWayDelay: 500 * time.Microsecond, Duration: duration,
		Fleet: newFleet("lv-riga", dcs, []fleet.Service{
			{Name: "drafter", Protocol: fleet.ProtocolModel, MaxCost: maxCost},
			{Name: "permit-desk", Protocol: fleet.ProtocolPlain, MaxCost: 5000},
		}, customerWeights(deploymentCustomers, largeCustomers, 2)),
		LightestCustomer: customerName(deploymentCustomers - 1),
	}
	t.Targets = distributeTargets(TargetGroup{
		Service: "drafter", Slots: slots, UnitInterval: unitInterval, BatchGrowth: batchGrowth,
		PrefillTime: 200 * time.Millisecond, CachedPrefixes: 12,
	}, 9, dcs)
	t.Targets = append(t.Targets, distributeTargets(TargetGroup{
		Service: "permit-desk", Slots: 16, UnitInterval: time.Millisecond, PrefillTime: time.Millisecond,
	}, 4, dcs)...)
	d := Demand{Service: "drafter", MedianCost: medianCost, Spread: costSpread, MaxCost: maxCost, Prefixes: 6, To: duration}
	// 9 targets with 8 slots; a full batch doubles the unit interval.
	capacity := 72 / (d.meanCost() * (unitInterval * 2).Seconds())
	t.Arrivals = generateArrivals(seed, t.Routers, append(
		modelDemands(d, capacity, floodBegin, floodEnd),
		plainDemands("permit-desk", duration, 40)...))
	t.Disturbances = []Disturbance{
		{At: 3 * time.Minute, Kind: TargetRestarts, Subject: "drafter-2"},
		{At: 4 * time.Minute, Kind: TargetTurnsCold, Subject: "drafter-5"},
		{At: 5 * time.Minute, Kind: TargetLeaves, Subject: "drafter-7"},
	}
	return t
}

// RoCentru returns a trace of the deployment ro-centru in an evening with long requests,
// during which a data centre is taken out of service and brought back with cold targets.
func RoCentru(seed uint64) *Trace {
	const (
		duration     = 10 * time.Minute
		unitInterval = 15 * time.Millisecond
		batchGrowth  = 1.0
		maxCost      = 6000
	)
	dcs := []fleet.DataCentreName{"centru-a", "centru-b", "centru-c"}
	t := &Trace{
		Name: "RoCentru", Routers: deploymentRouters, OneWayDelay: 900 * time.Microsecond, Duration: duration,
		Fleet: newFleet("ro-centru", dcs, []fleet.Service{
			{Name: "llm-pool", Protocol: fleet.ProtocolModel, MaxCost: maxCost},
			{Name: "line-app", Protocol: fleet.ProtocolPlain, MaxCost: 5000},
		}, customerWeights(deploymentCustomers, largeCustomers, 2)),
		LightestCustomer: customerName(deploymentCustomers - 1),
	}
	t.Targets = distributeTargets(TargetGroup{
		Service: "llm-pool", Slots: 16, UnitInterval: unitInterval, BatchGrowth: batchGrowth,
		PrefillTime: 250 * time.Millisecond, CachedPrefixes: 24,
	}, 18, dcs)
	t.Targets = append(t.Targets, distributeTargets(TargetGroup{
		Service: "line-app", Slots: 16, UnitInterval: time.Millisecond, PrefillTime: time.Millisecond,
	}, 3, dcs)...)
	d := Demand{Service: "llm-pool", MedianCost: 800, Spread: 0.7, MaxCost: maxCost, Prefixes: 6, To: duration}
	// 18 targets with 16 slots; a full batch doubles the unit interval.
	capacity := 288 / (d.meanCost() * (unitInterval * 2).Seconds())
	t.Arrivals = generateArrivals(seed, t.Routers, append(
		modelDemands(d, capacity, 1*time.Minute, 9*time.Minute),
		plainDemands("line-app", duration, 40)...))
	t.Disturbances = []Disturbance{
		{At: 3 * time.Minute, Kind: DataCentreOut, Subject: "centru-b"},
		{At: 6 * time.Minute, Kind: DataCentreIn, Subject: "centru-b"},
	}
	return t
}

// Deployments returns the traces of both deployments.
func Deployments(seed uint64) []*Trace { return []*Trace{Riga(seed), RoCentru(seed)} }

// customerWeights returns the weights of n customers: the given weight for the large ones,
// which come first, and 1 for the others.
func customerWeights(n, large int, weight fleet.Weight) []fleet.Weight {
	weights := make([]fleet.Weight, n)
	for i := range weights {
		weights[i] = 1
		if i < large {
			weights[i] = weight
		}
	}
	return weights
}

// distributeTargets returns n targets like group, distributed over the data centres in turn.
func distributeTargets(group TargetGroup, n int, dcs []fleet.DataCentreName) []TargetGroup {
	var groups []TargetGroup
	for i := range n {
		group.DataCentre, group.Count = dcs[i%len(dcs)], 1
		groups = append(groups, group)
	}
	return groups
}

// modelDemands returns the demands of all customers, with base for what they have in
// common. The capacity is in requests a second. Without the flood all customers together
// demand a little less than half the capacity, the small ones in unequal shares. During the
// flood the large ones together demand more than twice the capacity, and three small
// customers more than their fair share, so that they are backlogged as the large ones are.
func modelDemands(base Demand, capacity float64, floodBegin, floodEnd time.Duration) []Demand {
	var demands []Demand
	for i := range deploymentCustomers {
		demand := base
		demand.Customer, demand.HomeRouter = customerName(i), i/2
		switch {
		case i < largeCustomers:
			demand.Rate = capacity * 0.05
			flood := demand
			flood.From, flood.To, flood.Rate = floodBegin, floodEnd, capacity*0.7
			demands = append(demands, flood)
		case i < 2*largeCustomers:
			demand.Rate = capacity * 0.03
			overload := demand
			overload.From, overload.To, overload.Rate = floodBegin+time.Duration(i)*10*time.Second, floodEnd, capacity*0.1
			demands = append(demands, overload)
		default:
			demand.Rate = capacity * 0.2 / float64(i)
		}
		demands = append(demands, demand)
	}
	return demands
}

// plainDemands divides the requests of a plain service, with the given rate a second, evenly
// among all customers.
func plainDemands(service fleet.ServiceName, duration time.Duration, rate float64) []Demand {
	var demands []Demand
	for i := range deploymentCustomers {
		demands = append(demands, Demand{
			Customer: customerName(i), Service: service, Rate: rate / deploymentCustomers, To: duration,
			MedianCost: 40, Spread: 0.8, MaxCost: 5000, HomeRouter: i / 2,
		})
	}
	return demands
}
