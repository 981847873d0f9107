// Package out is the verb that takes a data centre out of service.
package out

import (
	"context"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/change"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options are the flags and dependencies of the verb.
type Options struct {
	factory.ChangeFlags
	DryRun bool `long:"dry-run" description:"only name the services that would lack targets; needs --admin"`
	Args   struct {
		Name string `positional-arg-name:"NAME" description:"data centre"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New makes the verb.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "out",
		Short: "Take a data centre out of service",
		Long: "Takes a data centre out. Its targets get no new work within a few seconds and finish what " +
			"they run. With --dry-run nothing changes: the services that would be left without targets or " +
			"below their MinSlots are named, and the exit code is 1 if there are any.",
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
