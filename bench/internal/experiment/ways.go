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

// way is one way of dispatching.
type way struct {
	name      string
	perRouter bool
	reducer   func(index int) fleet.Reducer
	// bound returns the gap that the way promises, 0 when it promises none.
	bound func(t *workload.Trace, service fleet.ServiceName) fleet.Cost
}

func baselines() []way {
	return []way{
		{name: "RoutersAlone", perRouter: true, reducer: simple(1)},
		{name: "FixedShares", perRouter: true, reducer: simple(8)},
		{name: "DispatcherFCFS", reducer: simple(1)},
	}
}

// chosen are the ways of charging of the project's own reducer.
func chosen() []way {
	var all []way
	for _, c := range []dispatch.Charging{dispatch.ChargeAtEnd, dispatch.ChargeAtGrant, dispatch.ChargeProgressively} {
		all = append(all, way{name: "Charge" + string(c), reducer: charging(c), bound: statedBound})
	}
	return all
}

// charging makes reducers of the dispatcher that charge in the given way.
func charging(c dispatch.Charging) func(int) fleet.Reducer {
	return func(i int) fleet.Reducer {
		return dispatch.New(dispatch.Config{
			Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), Charging: c, StandingGrants: true,
		})
	}
}

// statedBound is the bound of docs/design/dispatch.md for customers of weight 1.
func statedBound(t *workload.Trace, service fleet.ServiceName) fleet.Cost {
	return 2 * fleet.Cost(t.Slots(service)) * t.Fleet.Services[service].MaxCost
}

// simple makes baseline reducers that use one part of each target's slots.
func simple(share int) func(int) fleet.Reducer {
	return func(i int) fleet.Reducer {
		return baseline.New(baseline.Config{Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), Share: share})
	}
}

// run runs a trace under a way.
func (w *way) run(t *workload.Trace) *model.Result {
	announceTo := 2
	if w.perRouter {
		announceTo = t.Routers
	}
	return model.Run(model.Config{
		Trace: t, NewReducer: w.reducer, PerRouter: w.perRouter, AnnounceTo: announceTo,
		ProgressInterval: progressInterval, Standing: true, Sample: sampleInterval,
	})
}

// ways runs both deployments under all ways, side by side.
func ways(p *figures.Printer) error {
	all := append(baselines(), chosen()...)
	for _, t := range workload.Deployments(seed) {
		results := make([]*model.Result, len(all))
		var wg sync.WaitGroup
		for i := range all {
			wg.Go(func() { results[i] = all[i].run(t) })
		}
		wg.Wait()
		for i := range all {
			printWay(p, t, &all[i], results[i])
		}
	}
	return nil
}

func printWay(p *figures.Printer, t *workload.Trace, w *way, r *model.Result) {
	for _, service := range t.Fleet.ServiceNames() {
		s := r.Services[service]
		name := fmt.Sprintf("Ways.%s.%s.%s.", t.Name, service, w.name)
		p.Print(name+"FairnessGap", s.Gap, "cost")
		if w.bound != nil {
			p.Print(name+"FairnessBound", float64(w.bound(t, service)), "cost")
		}
		p.Print(name+"Utilisation", s.Utilisation, "ratio")
		p.Print(name+"SmallestWaitP50", float64(s.Waits[t.Smallest].ValueAtQuantile(50))/1000, "ms")
		p.Print(name+"SmallestWaitP99", float64(s.Waits[t.Smallest].ValueAtQuantile(99))/1000, "ms")
		p.Print(name+"Delivered", s.Delivered, "cost")
		p.Print(name+"Completed", float64(s.Completed), "requests")
		p.Print(name+"Overloads", float64(s.Overloads), "events")
		p.Print(name+"Falls", float64(s.Falls), "events")
		p.Print(name+"Broken", float64(s.Failed[fleet.OutcomeBroken]), "attempts")
		p.Print(name+"Refused", float64(s.Failed[fleet.OutcomeOverloaded]), "attempts")
		p.Print(name+"PrefixHits", ratio(s.PrefixHits, s.Admitted), "ratio")
	}
	name := fmt.Sprintf("Ways.%s.%s.", t.Name, w.name)
	p.Print(name+"RefusedRequests", float64(r.Refused()), "requests")
	p.Print(name+"UnusedGrants", float64(r.Unused), "grants")
	for _, kind := range []workload.DisturbanceKind{workload.DataCentreOut, workload.TargetLeaves} {
		if d, ok := r.NoNewWork[kind]; ok {
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
