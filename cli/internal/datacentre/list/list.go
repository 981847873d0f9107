// Package list implements the command `datacentre list`, which lists the data centres.
package list

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:    "list",
		Short:   "List the data centres",
		Long:    "Lists the data centres of the fleet text, whether they are in service, and the number of their hosts that control knows.",
		Example: "  fuchsiashed datacentre list",
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

// DataCentre is one data centre in the output.
type DataCentre struct {
	Name fleet.DataCentreName
	// State is In or Out.
	State string
	// Hosts is the number of hosts there from which control has recently received
	// heartbeats.
	Hosts int
}

func run(ctx context.Context, o *Options) error {
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	state, err := c.State(ctx)
	if err != nil {
		return err
	}
	text, err := c.Text(ctx, state.Version)
	if err != nil {
		return err
	}
	if text.Version == 0 {
		return errors.New("no fleet text is in force; apply one with `fuchsiashed fleet apply FILE`")
	}
	parsed, err := fleettext.Parse("fleet text", text.Text)
	if err != nil {
		return err
	}
	list := dataCentres(parsed, state)
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, list)
	}
	t := table.New(o.Factory.IO, "data centre", "state", "hosts")
	for _, dc := range list {
		t.Row(dc.Name, dc.State, dc.Hosts)
	}
	return t.Print()
}

// dataCentres returns the data centres in the order of the fleet text.
func dataCentres(f *fleet.Fleet, state fleet.StateReply) []DataCentre {
	list := make([]DataCentre, 0, len(f.DataCentres))
	for _, name := range f.DataCentres {
		dc := DataCentre{Name: name, State: "In"}
		if slices.Contains(state.DataCentresOut, name) {
			dc.State = "Out"
		}
		for _, h := range state.Hosts {
			if h.DataCentre == name {
				dc.Hosts++
			}
		}
		list = append(list, dc)
	}
	return list
}
