// Package show implements the command `rollout show`, which shows a service's newest roll-out.
package show

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"name of the service"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "show",
		Short: "Show the newest roll-out of a service",
		Long: "Shows the newest roll-out of a service: Active while it goes on, then Completed or Reverted for good. The exit " +
			"code is 1 if the service never had one.",
		Example: "  fuchsiashed rollout show drafter\n  fuchsiashed rollout show drafter --json",
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
	r, ok := reply.Find(fleet.ServiceName(o.Args.Service))
	if !ok {
		return errors.Errorf("service %q has had no roll-out; see `fuchsiashed rollout list`", o.Args.Service)
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, r)
	}
	return table.Rollouts(o.Factory.IO, []fleet.Rollout{r})
}
