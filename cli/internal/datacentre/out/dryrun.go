package out

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

// targetServing is the state of a target that accepts new requests.
const targetServing = "Serving"

// Remaining is the capacity that a service would have without a data centre.
type Remaining struct {
	Service fleet.ServiceName
	// Targets is the number of remaining targets and Slots the sum of their slots.
	Targets int
	Slots   fleet.Slots
	// MinSlots is the minimum of the fleet text.
	MinSlots fleet.Slots
	// Problem describes a lack of capacity, or is empty.
	Problem string
}

// dryRun prints the remaining capacity of each service without the data centre, and returns
// an error if a service lacks capacity.
func dryRun(ctx context.Context, f *factory.Factory, name fleet.DataCentreName) error {
	parsed, err := loadActiveFleet(ctx, f)
	if err != nil {
		return err
	}
	if !slices.Contains(parsed.DataCentres, name) {
		return command.FlagErrorf("data centre %q is not in the fleet text; it lists %v", name, parsed.DataCentres)
	}
	a, err := f.Admin()
	if err != nil {
		return err
	}
	targets, err := a.Targets(ctx)
	if err != nil {
		return err
	}
	remaining := RemainingWithout(parsed, targets, name)
	if err := printRemaining(f, remaining); err != nil {
		return err
	}
	for _, r := range remaining {
		if r.Problem != "" {
			return errors.Errorf("without %s, service %s is %s; add targets elsewhere first, or run `fuchsiashed datacentre out %s` anyway", name, r.Service, r.Problem, name)
		}
	}
	return nil
}

// loadActiveFleet returns the parsed fleet text in force.
func loadActiveFleet(ctx context.Context, f *factory.Factory) (*fleet.Fleet, error) {
	c, err := f.Control()
	if err != nil {
		return nil, err
	}
	text, err := c.Text(ctx, 0)
	if err != nil {
		return nil, err
	}
	if text.Version == 0 {
		return nil, errors.New("no fleet text is in force; apply one with `fuchsiashed fleet apply FILE`")
	}
	return fleettext.Parse("fleet text", text.Text)
}

// RemainingWithout returns the capacity that each service would have without a data centre,
// given the current targets.
func RemainingWithout(f *fleet.Fleet, targets []fleet.TargetStatus, name fleet.DataCentreName) []Remaining {
	byService := map[fleet.ServiceName]*Remaining{}
	var remaining []*Remaining
	for _, n := range f.ServiceNames() {
		r := &Remaining{Service: n, MinSlots: f.Services[n].MinSlots}
		byService[n] = r
		remaining = append(remaining, r)
	}
	for _, t := range targets {
		if r := byService[t.Service]; r != nil && t.DataCentre != name && t.State == targetServing {
			r.Targets++
			r.Slots += t.Slots
		}
	}
	list := make([]Remaining, 0, len(remaining))
	for _, r := range remaining {
		r.Problem = serviceProblem(f, byService, r)
		list = append(list, *r)
	}
	return list
}

// serviceProblem describes why a service would lack capacity, or returns "".
func serviceProblem(f *fleet.Fleet, byService map[fleet.ServiceName]*Remaining, r *Remaining) string {
	if r.Targets == 0 {
		return "without targets"
	}
	for _, dep := range f.Services[r.Service].DependsOn {
		if byService[dep].Targets == 0 {
			return fmt.Sprintf("refused for lack of %s", dep)
		}
	}
	if r.Slots < r.MinSlots {
		return "below MinSlots"
	}
	return ""
}

func printRemaining(f *factory.Factory, remaining []Remaining) error {
	if f.Globals.JSON {
		return table.JSON(f.IO, remaining)
	}
	t := table.New(f.IO, "service", "targets left", "slots left", "minslots", "result")
	for _, r := range remaining {
		result := r.Problem
		if result == "" {
			result = "enough"
		}
		t.Row(r.Service, r.Targets, r.Slots, r.MinSlots, result)
	}
	return t.Print()
}
