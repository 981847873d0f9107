// Package list implements the command `rollout list`, which lists the roll-outs.
package list

import (
	"context"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "list",
		Short: "List the newest roll-out of each service",
		Long: "Lists the newest roll-out of each service that had one: the version, the state, the share of the requests " +
			"that go to the new targets, and the time that is left. A majority of the control hosts confirms the answer.",
		Example: "  fuchsiashed rollout list\n  fuchsiashed rollout list --json",
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
	c, err := o.Factory.PlatformControl()
	if err != nil {
		return err
	}
	reply, err := c.Rollouts(ctx)
	if err != nil {
		return err
	}
	if o.Factory.Globals.JSON {
		if reply.Rollouts == nil {
			reply.Rollouts = []fleet.Rollout{}
		}
		return table.JSON(o.Factory.IO, reply.Rollouts)
	}
	return table.Rollouts(o.Factory.IO, reply.Rollouts)
}
