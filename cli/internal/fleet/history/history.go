// Package history implements the command `fleet history`, which lists the changes of the
// configuration.
package history

import (
	"context"
	"time"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Limit int `long:"most" short:"n" default:"20" description:"maximum number of changes; 0 for all that are stored"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:    "history",
		Short:   "List the newest changes of the configuration",
		Long:    "Lists accepted changes, newest first: fleet texts and data centres taken out or brought back.",
		Example: "  fuchsiashed fleet history\n  fuchsiashed fleet history --most 0 --json",
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
	if o.Limit < 0 {
		return command.FlagErrorf("--most is %d; it must be at least 0", o.Limit)
	}
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	reply, err := c.History(ctx, o.Limit)
	if err != nil {
		return err
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, reply.Changes)
	}
	t := table.New(o.Factory.IO, "version", "at", "kind", "subject", "operator", "operation")
	for _, ch := range reply.Changes {
		t.Row(ch.Version, ch.At.UTC().Format(time.RFC3339), ch.Kind, ch.Subject, ch.Operator, ch.Operation)
	}
	return t.Print()
}
