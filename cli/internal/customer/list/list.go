// Package list implements the command `customer list`, which lists the customers of the
// active dispatcher.
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
	Service string `long:"service" description:"only customers of this service"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "list",
		Short: "List the customers",
		Long: "Lists the customers that the active dispatcher knows, per service, in the order in which they " +
			"will be served: the lowest counter first.",
		Example: "  fuchsiashed customer list --service drafter",
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
	all, err := a.Customers(ctx)
	if err != nil {
		return err
	}
	customers := o.filter(all)
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, customers)
	}
	t := table.New(o.Factory.IO, "customer", "service", "weight", "waiting", "running", "served", "counter", "oldest wait")
	for _, c := range customers {
		t.Row(c.Customer, c.Service, c.Weight, c.Waiting, c.Running, c.Served, c.Counter, c.OldestWait.Round(time.Millisecond))
	}
	return t.Print()
}

// filter returns the customers that the flags select, in the order of the output.
func (o *Options) filter(all []fleet.CustomerStatus) []fleet.CustomerStatus {
	customers := []fleet.CustomerStatus{}
	for _, c := range all {
		if o.Service == "" || string(c.Service) == o.Service {
			customers = append(customers, c)
		}
	}
	slices.SortFunc(customers, func(a, b fleet.CustomerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Customer, b.Customer))
	})
	return customers
}
