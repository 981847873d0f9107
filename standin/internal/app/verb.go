package app

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// verb parses the flags of a verb into opts, runs it and returns the exit code.
func verb(io *iostreams.IOStreams, name, long string, opts any, args []string, run func() error) int {
	parser := flags.NewNamedParser("fuchsiashed-standin "+name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = long
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitError
	}
	rest, err := parser.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(io.Out, fe.Message)
		return program.ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("argument %q is unknown", rest[0])
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
