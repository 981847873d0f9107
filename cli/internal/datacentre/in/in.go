// Package in implements the command `datacentre in`, which brings a data centre back into
// service.
package in

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/change"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	factory.ChangeFlags
	Args struct {
		Name string `positional-arg-name:"NAME" description:"data centre"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:    "in",
		Short:   "Bring a data centre back into service",
		Long:    "Brings a data centre back into service. The load of its targets is increased over the ReturnRamp of the fleet text.",
		Example: "  fuchsiashed datacentre in riga-b",
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
	return change.Run(ctx, o.Factory, change.Change{Name: fleet.DataCentreName(o.Args.Name), Flags: o.ChangeFlags})
}
