// Package diff implements the command `fleet diff`, which compares a fleet text with the
// one in force.
package diff

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Version uint64 `long:"of" value-name:"VERSION" description:"compare with an older version (default: the one in force)"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"fleet text"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "diff",
		Short: "Compare a fleet text with the one in force",
		Long: "Prints the lines that applying the file would remove (-) and add (+). " +
			"The file is validated first.",
		Example: "  fuchsiashed fleet diff fleet.ini\n  fuchsiashed fleet diff --of 3 fleet.ini",
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

// result is the JSON output of the command.
type result struct {
	// Version is the version that the file was compared with.
	Version fleet.Version
	Lines   []Line
}

func run(ctx context.Context, o *Options) error {
	text, err := os.ReadFile(o.Args.File)
	if err != nil {
		return command.FlagErrorf("%s; give the path of a fleet text", err)
	}
	if _, err := fleettext.Parse(o.Args.File, string(text)); err != nil {
		return command.FlagErrorf("%s; correct it and compare again", err)
	}
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	current, err := c.Text(ctx, fleet.Version(o.Version))
	if err != nil {
		return err
	}
	lines := Lines(current.Text, string(text))
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, result{Version: current.Version, Lines: lines})
	}
	if len(lines) == 0 {
		_, err := fmt.Fprintf(o.Factory.IO.Out, "no difference from version %d\n", current.Version)
		return errors.Wrap(err, "print")
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(o.Factory.IO.Out, "%s %s\n", l.Sign, l.Text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
