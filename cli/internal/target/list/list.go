// Package list implements the command `target list`, which lists the targets of the active
// dispatcher.
package list

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Service    string `long:"service" description:"only targets of this service"`
	DataCentre string `long:"datacentre" description:"only targets in this data centre"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "list",
		Short: "List the targets",
		Long: "Lists the targets that the active dispatcher knows: the slots that each has announced, its current " +
			"concurrency limit, and how its slots are used.",
		Example: "  fuchsiashed target list --service drafter\n  fuchsiashed target list --json",
		Options: &Options{Factory: f},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute(args []string) error {
	if err := command.RejectArgs(args); err != nil {
		return err
	}
	ctx, cancel := o.Factory.Context()
	defer cancel()
	return run(ctx, o)
}

func run(ctx context.Context, o *Options) error {
	a, err := o.Factory.Admin()
	if err != nil {
		return err
	}
	all, err := a.Targets(ctx)
	if err != nil {
		return err
	}
	targets := o.filter(all)
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, targets)
	}
	t := table.New(o.Factory.IO, "target", "service", "data centre", "state", "slots", "limit", "in use", "in doubt", "standing", "age")
	for _, s := range targets {
		t.Row(s.Target, s.Service, s.DataCentre, s.State, s.Slots, s.Limit, s.InUse, s.InDoubt, s.Standing, s.Age.Round(time.Millisecond))
	}
	return t.Print()
}

// filter returns the targets that the flags select, in the order of the output.
func (o *Options) filter(all []fleet.TargetStatus) []fleet.TargetStatus {
	targets := []fleet.TargetStatus{}
	for _, t := range all {
		if o.Service != "" && string(t.Service) != o.Service || o.DataCentre != "" && string(t.DataCentre) != o.DataCentre {
			continue
		}
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b fleet.TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Target, b.Target))
	})
	return targets
}
