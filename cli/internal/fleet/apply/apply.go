// Package apply implements the command `fleet apply`, which makes a fleet text the one in
// force.
package apply

import (
	"context"
	"fmt"
	"os"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/control"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	factory.ChangeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"fleet text"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "apply",
		Short: "Put a fleet text in force",
		Long: "Validates the fleet text and proposes it to control as the successor of a version. If another " +
			"change has been accepted since that version, nothing changes and the error names both versions.",
		Example: "  fuchsiashed fleet apply examples/lv-riga.ini\n  fuchsiashed fleet apply --base 7 fleet.ini",
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
	text, err := os.ReadFile(o.Args.File)
	if err != nil {
		return command.FlagErrorf("%s; give the path of a fleet text", err)
	}
	if _, err := fleettext.Parse(o.Args.File, string(text)); err != nil {
		return command.FlagErrorf("%s; correct it and run the command again", err)
	}
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	change, err := o.Factory.PrepareChange(ctx, c, o.ChangeFlags)
	if err != nil {
		return err
	}
	reply, err := c.Apply(ctx, fleet.ApplyRequest{
		Operation: change.Operation, Base: change.Base, Text: string(text), Operator: o.Factory.Operator(),
	})
	if err != nil {
		return err
	}
	if err := control.ChangeError(reply, "fuchsiashed fleet apply "+o.Args.File); err != nil {
		return err
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, reply)
	}
	fmt.Fprintf(o.Factory.IO.Out, "fleet text %s is in force as version %d\n", o.Args.File, reply.Version)
	return nil
}
