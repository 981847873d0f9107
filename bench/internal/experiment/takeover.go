package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/model"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// delayAfterRenewal is the time from a renewal of the lease until the dispatcher is killed.
// Just after a renewal is the worst case, since the lease remains valid longest.
const delayAfterRenewal = 10 * time.Millisecond

// takeOverCase is one run in which the active dispatcher is killed. Its name is part of the
// names of figures.
type takeOverCase struct {
	name           string
	trace          *workload.Trace
	standingGrants bool
}

// measureTakeOver kills the active dispatcher under an overload and under a load that the
// fleet can serve, with different numbers of slots of each target for standing grants.
func measureTakeOver(p *figures.Printer) error {
	var cases []takeOverCase
	for _, slots := range []fleet.Slots{0, 1, 4} {
		suffix := fmt.Sprintf("Standing%d", slots)
		flood := workload.Riga(traceSeed)
		flood.Disturbances = []workload.Disturbance{{At: 4*time.Minute + delayAfterRenewal, Kind: workload.DispatcherDies}}
		flood.Duration = 5 * time.Minute
		steady := workload.Sized(traceSeed, workload.Size{
			Routers: 8, Targets: 18, Customers: 16, Slots: 16, RequestRate: 45, MeanCost: 200,
			UnitInterval: 20 * time.Millisecond, Duration: 3 * time.Minute,
		})
		steady.Disturbances = []workload.Disturbance{{At: 2*time.Minute + delayAfterRenewal, Kind: workload.DispatcherDies}}
		flood.Fleet.Policy.StandingSlots, steady.Fleet.Policy.StandingSlots = slots, slots
		cases = append(cases, takeOverCase{"Flood." + suffix, flood, slots > 0}, takeOverCase{"Steady." + suffix, steady, slots > 0})
	}
	results := make([]*model.Result, len(cases))
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() { results[i] = cases[i].run() })
	}
	wg.Wait()
	for i, c := range cases {
		name := "TakeOver." + c.name + "."
		p.PrintDuration(name+"LongestTimeWithoutStart", results[i].LongestStartGap)
		p.Print(name+"StartsInTwoSeconds", float64(results[i].StartsWithoutDispatcher), "requests")
		p.Print(name+"StartedOnStanding", float64(results[i].StandingStarts), "requests")
	}
	return nil
}

func (c *takeOverCase) run() *model.Result {
	return model.Run(model.Config{
		Trace: c.trace, AnnouncedRouters: 2, ProgressInterval: progressInterval, StandingGrants: c.standingGrants, SampleInterval: sampleInterval,
		NewReducer: func(i int) fleet.Reducer {
			return dispatch.New(dispatch.Config{
				Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), StandingGrants: c.standingGrants,
			})
		},
	})
}
