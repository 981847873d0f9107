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

// afterRenewal puts the death just after a renewal of the lease, which is the worst moment.
const afterRenewal = 10 * time.Millisecond

// takeOverCase is one run in which the active dispatcher dies.
type takeOverCase struct {
	name     string
	trace    *workload.Trace
	standing bool
}

// takeOver kills the dispatcher under a flood and under a load that the fleet bears,
// with different numbers of standing slots of each target.
func takeOver(p *figures.Printer) error {
	var cases []takeOverCase
	for _, standing := range []fleet.Slots{0, 1, 4} {
		suffix := fmt.Sprintf("Standing%d", standing)
		flood := workload.Riga(seed)
		flood.Disturbances = []workload.Disturbance{{At: 4*time.Minute + afterRenewal, Kind: workload.DispatcherDies}}
		flood.Duration = 5 * time.Minute
		steady := workload.Sized(seed, workload.Size{
			Routers: 8, Targets: 18, Customers: 16, Slots: 16, Rate: 45, Cost: 200,
			UnitInterval: 20 * time.Millisecond, Duration: 3 * time.Minute,
		})
		steady.Disturbances = []workload.Disturbance{{At: 2*time.Minute + afterRenewal, Kind: workload.DispatcherDies}}
		flood.Fleet.Policy.StandingSlots, steady.Fleet.Policy.StandingSlots = standing, standing
		cases = append(cases, takeOverCase{"Flood." + suffix, flood, standing > 0}, takeOverCase{"Steady." + suffix, steady, standing > 0})
	}
	results := make([]*model.Result, len(cases))
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() { results[i] = cases[i].run() })
	}
	wg.Wait()
	for i, c := range cases {
		name := "TakeOver." + c.name + "."
		p.PrintDuration(name+"LongestTimeWithoutStart", results[i].TakeOverGap)
		p.Print(name+"StartsInTwoSeconds", float64(results[i].StartsWithoutDispatcher), "requests")
		p.Print(name+"StartedOnStanding", float64(results[i].StandingUsed), "requests")
	}
	return nil
}

func (c *takeOverCase) run() *model.Result {
	return model.Run(model.Config{
		Trace: c.trace, AnnounceTo: 2, ProgressInterval: progressInterval, Standing: c.standing, Sample: sampleInterval,
		NewReducer: func(i int) fleet.Reducer {
			return dispatch.New(dispatch.Config{
				Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), StandingGrants: c.standing,
			})
		},
	})
}
