package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/baseline"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/model"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// sampleInterval is the time between two samples of fairness and utilisation.
const sampleInterval = 50 * time.Millisecond

// progressInterval is the time between two progress reports of a running request.
const progressInterval = 250 * time.Millisecond

// strategy is a dispatching strategy. Its name is part of the names of figures.
type strategy struct {
	name string
	// perRouter gives each router its own dispatcher.
	perRouter  bool
	newReducer func(index int) fleet.Reducer
	// fairnessBound returns the fairness gap that the strategy guarantees; it is nil if the
	// strategy guarantees none.
	fairnessBound func(t *workload.Trace, service fleet.ServiceName) fleet.Cost
}

// baselineStrategies returns the strategies with which package dispatch is compared.
func baselineStrategies() []strategy {
	return []strategy{
		{name: "RoutersAlone", perRouter: true, newReducer: baselineReducer(1)},
		{name: "FixedShares", perRouter: true, newReducer: baselineReducer(8)},
		{name: "DispatcherFCFS", newReducer: baselineReducer(1)},
	}
}

// chargingStrategies returns the strategies of package dispatch, one for each way of
// charging.
func chargingStrategies() []strategy {
	var strategies []strategy
	for _, c := range []dispatch.Charging{dispatch.ChargeAtEnd, dispatch.ChargeAtGrant, dispatch.ChargeProgressively} {
		strategies = append(strategies, strategy{name: "Charge" + string(c), newReducer: dispatchReducer(c), fairnessBound: designFairnessBound})
	}
	return strategies
}

// dispatchReducer returns a constructor of reducers of package dispatch that charge in the
// given way.
func dispatchReducer(c dispatch.Charging) func(int) fleet.Reducer {
	return func(i int) fleet.Reducer {
		return dispatch.New(dispatch.Config{
			Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), Charging: c, StandingGrants: true,
		})
	}
}

// designFairnessBound returns the bound that docs/design/dispatch.md states for customers of
// weight 1.
func designFairnessBound(t *workload.Trace, service fleet.ServiceName) fleet.Cost {
	return 2 * fleet.Cost(t.TotalSlots(service)) * t.Fleet.Services[service].MaxCost
}

// baselineReducer returns a constructor of baseline reducers with the given SlotDivisor.
func baselineReducer(slotDivisor int) func(int) fleet.Reducer {
	return func(i int) fleet.Reducer {
		return baseline.New(baseline.Config{Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), SlotDivisor: slotDivisor})
	}
}

// run simulates a trace with the strategy.
func (s *strategy) run(trace *workload.Trace) *model.Result {
	announcedRouters := 2
	if s.perRouter {
		announcedRouters = trace.Routers
	}
	return model.Run(model.Config{
		Trace: trace, NewReducer: s.newReducer, DispatcherPerRouter: s.perRouter, AnnouncedRouters: announcedRouters,
		ProgressInterval: progressInterval, StandingGrants: true, SampleInterval: sampleInterval,
	})
}

// compareStrategies simulates both deployments with every strategy, concurrently.
func compareStrategies(p *figures.Printer) error {
	strategies := append(baselineStrategies(), chargingStrategies()...)
	for _, trace := range workload.Deployments(traceSeed) {
		results := make([]*model.Result, len(strategies))
		var wg sync.WaitGroup
		for i := range strategies {
			wg.Go(func() { results[i] = strategies[i].run(trace) })
		}
		wg.Wait()
		for i := range strategies {
			printStrategy(p, trace, &strategies[i], results[i])
		}
	}
	return nil
}

func printStrategy(p *figures.Printer, trace *workload.Trace, s *strategy, result *model.Result) {
	for _, service := range trace.Fleet.ServiceNames() {
		serviceResult := result.Services[service]
		name := fmt.Sprintf("Ways.%s.%s.%s.", trace.Name, service, s.name)
		p.Print(name+"FairnessGap", serviceResult.FairnessGap, "cost")
		if s.fairnessBound != nil {
			p.Print(name+"FairnessBound", float64(s.fairnessBound(trace, service)), "cost")
		}
		p.Print(name+"Utilisation", serviceResult.Utilisation, "ratio")
		p.Print(name+"SmallestWaitP50", float64(serviceResult.WaitTimes[trace.LightestCustomer].ValueAtQuantile(50))/1000, "ms")
		p.Print(name+"SmallestWaitP99", float64(serviceResult.WaitTimes[trace.LightestCustomer].ValueAtQuantile(99))/1000, "ms")
		p.Print(name+"Delivered", serviceResult.Delivered, "cost")
		p.Print(name+"Completed", float64(serviceResult.Completed), "requests")
		p.Print(name+"Overloads", float64(serviceResult.Overloads), "events")
		p.Print(name+"Falls", float64(serviceResult.OverloadCrashes), "events")
		p.Print(name+"Broken", float64(serviceResult.Failed[fleet.OutcomeBroken]), "attempts")
		p.Print(name+"Refused", float64(serviceResult.Failed[fleet.OutcomeOverloaded]), "attempts")
		p.Print(name+"PrefixHits", ratio(serviceResult.PrefixHits, serviceResult.Admitted), "ratio")
	}
	name := fmt.Sprintf("Ways.%s.%s.", trace.Name, s.name)
	p.Print(name+"RefusedRequests", float64(result.Refused()), "requests")
	p.Print(name+"UnusedGrants", float64(result.UnusedGrants), "grants")
	for _, kind := range []workload.DisturbanceKind{workload.DataCentreOut, workload.TargetLeaves} {
		if d, ok := result.LastForbiddenStart[kind]; ok {
			p.PrintDuration(name+"NoNewWorkAfter"+string(kind), d)
		}
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
