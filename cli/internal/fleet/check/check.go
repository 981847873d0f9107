// Package check implements the command `fleet check`, which validates a fleet text without
// applying it.
package check

import (
	"fmt"
	"os"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"fleet text"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:    "check",
		Short:   "Check a fleet text without applying it",
		Long:    "Checks a fleet text on this machine. Control is not contacted.",
		Example: "  fuchsiashed fleet check examples/ro-centru.ini",
		Options: &Options{Factory: f},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute(args []string) error {
	if err := command.RejectArgs(args); err != nil {
		return err
	}
	return run(o)
}

func run(o *Options) error {
	text, err := os.ReadFile(o.Args.File)
	if err != nil {
		return command.FlagErrorf("%s; give the path of a fleet text", err)
	}
	f, err := fleettext.Parse(o.Args.File, string(text))
	if err != nil {
		return command.FlagErrorf("%s; correct it and check again", err)
	}
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, f)
	}
	fmt.Fprintf(o.Factory.IO.Out, "%s is valid: region %s, %d data centres, %d services, %d customers, hash %s\n",
		o.Args.File, f.Region, len(f.DataCentres), len(f.Services), len(f.Customers), fleettext.Hash(string(text)))
	return nil
}
