package workload

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Sizes of both deployments of the brief.
const (
	deploymentRouters   = 8
	deploymentCustomers = 16
	largeCustomers      = 3
)

// Riga is the deployment lv-riga at midnight before a season opens: three large
// customers send several times what the fleet can serve, while the small ones go on.
func Riga(seed uint64) *Trace {
	const (
		duration   = 10 * time.Minute
		floodBegin = 1 * time.Minute
		floodEnd   = 8 * time.Minute
		slots      = 8
		interval   = 20 * time.Millisecond
		growth     = 1.0
		median     = 180.0
		spread     = 1.0
		maxCost    = 4000
	)
	dcs := []fleet.DataCentreName{"riga-a", "riga-b", "riga-c", "riga-d"}
	t := &Trace{
		Name: "LvRiga", Routers: deploymentRouters, OneWay: 500 * time.Microsecond, Duration: duration,
		Fleet: newFleet("lv-riga", dcs, []fleet.Service{
			{Name: "drafter", Protocol: fleet.ProtocolModel, MaxCost: maxCost},
			{Name: "permit-desk", Protocol: fleet.ProtocolPlain, MaxCost: 5000},
		}, weights(deploymentCustomers, largeCustomers, 2)),
		Smallest: customerName(deploymentCustomers - 1),
	}
	t.Targets = spreadTargets(Targets{
		Service: "drafter", Slots: slots, UnitInterval: interval, BatchGrowth: growth,
		Prefill: 200 * time.Millisecond, CachedPrefixes: 12,
	}, 9, dcs)
	t.Targets = append(t.Targets, spreadTargets(Targets{
		Service: "permit-desk", Slots: 16, UnitInterval: time.Millisecond, Prefill: time.Millisecond,
	}, 4, dcs)...)
	d := Demand{Service: "drafter", MedianCost: median, Spread: spread, MaxCost: maxCost, Prefixes: 6, To: duration}
	capacity := 72 / (d.mean() * (interval * 2).Seconds())
	t.Arrivals = generate(seed, t.Routers, append(
		demandsOf(d, capacity, floodBegin, floodEnd),
		plainDemands("permit-desk", duration, 40)...))
	t.Disturbances = []Disturbance{
		{At: 3 * time.Minute, Kind: TargetRestarts, Subject: "drafter-2"},
		{At: 4 * time.Minute, Kind: TargetTurnsCold, Subject: "drafter-5"},
		{At: 5 * time.Minute, Kind: TargetLeaves, Subject: "drafter-7"},
	}
	return t
}

// RoCentru is the deployment ro-centru on an evening of long drafts, in which a data
// centre is taken out of service and brought back with cold targets.
func RoCentru(seed uint64) *Trace {
	const (
		duration = 10 * time.Minute
		interval = 15 * time.Millisecond
		growth   = 1.0
		maxCost  = 6000
	)
	dcs := []fleet.DataCentreName{"centru-a", "centru-b", "centru-c"}
	t := &Trace{
		Name: "RoCentru", Routers: deploymentRouters, OneWay: 900 * time.Microsecond, Duration: duration,
		Fleet: newFleet("ro-centru", dcs, []fleet.Service{
			{Name: "llm-pool", Protocol: fleet.ProtocolModel, MaxCost: maxCost},
			{Name: "line-app", Protocol: fleet.ProtocolPlain, MaxCost: 5000},
		}, weights(deploymentCustomers, largeCustomers, 2)),
		Smallest: customerName(deploymentCustomers - 1),
	}
	t.Targets = spreadTargets(Targets{
		Service: "llm-pool", Slots: 16, UnitInterval: interval, BatchGrowth: growth,
		Prefill: 250 * time.Millisecond, CachedPrefixes: 24,
	}, 18, dcs)
	t.Targets = append(t.Targets, spreadTargets(Targets{
		Service: "line-app", Slots: 16, UnitInterval: time.Millisecond, Prefill: time.Millisecond,
	}, 3, dcs)...)
	d := Demand{Service: "llm-pool", MedianCost: 800, Spread: 0.7, MaxCost: maxCost, Prefixes: 6, To: duration}
	capacity := 288 / (d.mean() * (interval * 2).Seconds())
	t.Arrivals = generate(seed, t.Routers, append(
		demandsOf(d, capacity, 1*time.Minute, 9*time.Minute),
		plainDemands("line-app", duration, 40)...))
	t.Disturbances = []Disturbance{
		{At: 3 * time.Minute, Kind: DataCentreOut, Subject: "centru-b"},
		{At: 6 * time.Minute, Kind: DataCentreIn, Subject: "centru-b"},
	}
	return t
}

// Deployments returns the traces of both deployments.
func Deployments(seed uint64) []*Trace { return []*Trace{Riga(seed), RoCentru(seed)} }

// weights gives the large customers, which come first, a higher weight.
func weights(n, large int, weight fleet.Weight) []fleet.Weight {
	w := make([]fleet.Weight, n)
	for i := range w {
		w[i] = 1
		if i < large {
			w[i] = weight
		}
	}
	return w
}

// spreadTargets puts n targets in the data centres in turn.
func spreadTargets(t Targets, n int, dcs []fleet.DataCentreName) []Targets {
	var all []Targets
	for i := range n {
		t.DataCentre, t.Count = dcs[i%len(dcs)], 1
		all = append(all, t)
	}
	return all
}

// demandsOf gives the small customers unequal shares of half the capacity, and the
// large ones together twice the capacity while they flood. Three of the small ones
// ask for more than their fair share then, so that they are backlogged beside the large.
func demandsOf(d Demand, capacity float64, floodBegin, floodEnd time.Duration) []Demand {
	var all []Demand
	for i := range deploymentCustomers {
		c := d
		c.Customer, c.Home = customerName(i), i/2
		switch {
		case i < largeCustomers:
			c.Rate = capacity * 0.05
			flood := c
			flood.From, flood.To, flood.Rate = floodBegin, floodEnd, capacity*0.7
			all = append(all, flood)
		case i < 2*largeCustomers:
			c.Rate = capacity * 0.03
			busy := c
			busy.From, busy.To, busy.Rate = floodBegin+time.Duration(i)*10*time.Second, floodEnd, capacity*0.1
			all = append(all, busy)
		default:
			c.Rate = capacity * 0.2 / float64(i)
		}
		all = append(all, c)
	}
	return all
}

// plainDemands spreads requests of a plain service evenly over all customers.
func plainDemands(service fleet.ServiceName, duration time.Duration, rate float64) []Demand {
	var all []Demand
	for i := range deploymentCustomers {
		all = append(all, Demand{
			Customer: customerName(i), Service: service, Rate: rate / deploymentCustomers, To: duration,
			MedianCost: 40, Spread: 0.8, MaxCost: 5000, Home: i / 2,
		})
	}
	return all
}
