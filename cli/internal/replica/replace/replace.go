// Package replace implements the command `control replace`, which admits a control replica
// that lost its disk.
package replace

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Operation string `long:"operation" value-name:"ID" description:"operation id of a replacement whose answer was lost"`
	Args      struct {
		Host string `positional-arg-name:"HOST" description:"host of the replica"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "replace",
		Short: "Admit a control replica that lost its disk",
		Long: "First start the replica with an empty data folder and its usual settings, then run this command. " +
			"The new incarnation becomes a learner, and a voter once it has caught up. Replace one replica " +
			"at a time, and wait until `fuchsiashed control status` shows it as a voter.",
		Example: "  fuchsiashed control replace control-2",
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
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	op := fleet.OperationID(o.Operation)
	if op == "" {
		if op, err = o.Factory.NewOperation(); err != nil {
			return err
		}
	}
	reply, err := c.Replace(ctx, fleet.ReplaceRequest{Operation: op, Host: fleet.HostID(o.Args.Host)})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.Errorf("replica %s was not admitted: %s; see `fuchsiashed control status`", o.Args.Host, reply.Invalid)
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, reply)
	}
	_, err = fmt.Fprintf(o.Factory.IO.Out, "replica %s is admitted as a learner; it votes once `fuchsiashed control status` shows it as a voter\n", o.Args.Host)
	return errors.Wrap(err, "print")
}
