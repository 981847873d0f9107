// Package start implements the command `rollout start`, which orders a roll-out.
package start

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Within time.Duration `long:"within" value-name:"TIME" required:"yes" description:"time limit of the roll-out, such as 5m"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" description:"name of the service"`
		Version string `positional-arg-name:"VERSION" description:"software version of the new targets"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "start",
		Short: "Move a service to targets with another software version",
		Long: "First start targets with the new version beside the others. The control hosts then move the service's requests to " +
			"them in steps and compare the answers of both versions: within the time limit the roll-out is Completed, or " +
			"Reverted if the new version is worse. Do not stop targets of the old version before it is Completed, and those of " +
			"the new one not before it is Reverted. Repeating the command during the roll-out changes nothing.",
		Example: "  fuchsiashed rollout start drafter v2 --within 5m\n  fuchsiashed rollout show drafter",
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
	order := fleet.StartRolloutRequest{
		Service: fleet.ServiceName(o.Args.Service), To: fleet.SoftwareVersion(o.Args.Version), Duration: o.Within,
	}
	if err := order.Check(); err != nil {
		return command.FlagErrorf("%s", err)
	}
	c, err := o.Factory.PlatformControl()
	if err != nil {
		return err
	}
	reply, err := c.StartRollout(ctx, order)
	if err != nil {
		return err
	}
	if reply.Conflict {
		return errors.Errorf("service %q is being moved to version %q; wait for the end of that roll-out, see `fuchsiashed rollout show %s`",
			reply.Rollout.Service, reply.Rollout.To, reply.Rollout.Service)
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, reply.Rollout)
	}
	_, err = fmt.Fprintf(o.Factory.IO.Out, "roll-out %d of service %s to version %s is %s\n", reply.Rollout.Number, reply.Rollout.Service, reply.Rollout.To, reply.Rollout.State)
	return errors.Wrap(err, "print")
}
