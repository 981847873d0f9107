// Package out implements the command `datacentre out`, which takes a data centre out of
// service.
package out

import (
	"context"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/change"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	factory.ChangeFlags
	DryRun bool `long:"dry-run" description:"only list the services that would lack targets or slots; needs --admin"`
	Args   struct {
		Name string `positional-arg-name:"NAME" description:"data centre"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "out",
		Short: "Take a data centre out of service",
		Long: "Takes a data centre out of service. Within a few seconds its targets get no new requests; they finish " +
			"the running ones. With --dry-run nothing changes: the remaining targets and slots of each service are " +
			"listed, and the exit code is 1 if a service would have no targets, or fewer slots than its MinSlots.",
		Example: "  fuchsiashed datacentre out --dry-run riga-b\n  fuchsiashed datacentre out riga-b",
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
	name := fleet.DataCentreName(o.Args.Name)
	if o.DryRun {
		return dryRun(ctx, o.Factory, name)
	}
	return change.Run(ctx, o.Factory, change.Change{Name: name, Out: true, Flags: o.ChangeFlags})
}
