// Package show implements the command `fleet show`, which prints a fleet text.
package show

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
	Version uint64 `long:"of" value-name:"VERSION" description:"an older version (default: the one in force)"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "show",
		Short: "Print the fleet text in force",
		Long: "Prints the fleet text as it was applied. The version, hash and data centres out of " +
			"service go to standard error, so that the output can be edited and applied.",
		Example: "  fuchsiashed fleet show > fleet.ini\n  fuchsiashed fleet show --of 3",
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
	text, err := c.Text(ctx, fleet.Version(o.Version))
	if err != nil {
		return err
	}
	if text.Version == 0 {
		return errors.New("no fleet text is in force; apply one with `fuchsiashed fleet apply FILE`")
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, text)
	}
	fmt.Fprintf(o.Factory.IO.Err, "version %d, hash %s, data centres out %v\n", text.Version, text.Hash, text.DataCentresOut)
	_, err = fmt.Fprint(o.Factory.IO.Out, text.Text)
	return errors.Wrap(err, "print fleet text")
}
