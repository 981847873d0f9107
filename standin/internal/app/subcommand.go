package app

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// runSubcommand parses the flags of a subcommand into opts, calls run and returns the exit
// code.
func runSubcommand(io *iostreams.IOStreams, name, description string, opts any, args []string, run func() error) int {
	parser := flags.NewNamedParser("fuchsiashed-standin "+name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitError
	}
	extra, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(io.Out, flagErr.Message)
		return program.ExitOK
	}
	if err == nil && len(extra) > 0 {
		err = errors.Errorf("argument %q is unknown", extra[0])
	}
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitUsage
	}
	if err := run(); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitError
	}
	return program.ExitOK
}
