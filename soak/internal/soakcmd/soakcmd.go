// Package soakcmd is the command line of fuchsiashed-soak.
package soakcmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

const programName = "fuchsiashed-soak"

// errBroken says that a run broke a promise; the report has told it.
var errBroken = errors.New("a promise was broken")

// verb is a subcommand.
type verb struct {
	short, example string
	// run is set by flags.Commander.
	options flags.Commander
}

// Main runs the verb that the arguments name and returns the exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	env := &environment{io: io, ctx: ctx}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	for name, v := range map[string]verb{
		"run": {
			"Play plans drawn from seeds and check what callers, targets and operators see",
			"  fuchsiashed-soak run --seed 7 --for 60s --processes 6\n  fuchsiashed-soak run --seed 1 --count 50 --json",
			&runOptions{environment: env},
		},
		"replay": {
			"Play the plan of one seed, or of a report, once more",
			"  fuchsiashed-soak replay 7\n  fuchsiashed-soak replay --plan report.json",
			&replayOptions{environment: env},
		},
		"shrink": {
			"Look for a shorter list of steps that still breaks a promise",
			"  fuchsiashed-soak shrink 7 --tries 3",
			&shrinkOptions{environment: env},
		},
	} {
		if _, err := parser.AddCommand(name, v.short, v.short+".\n\nExamples:\n"+v.example, v.options); err != nil {
			fmt.Fprintln(io.Err, err)
			return program.ExitError
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(ctx, io, err)
}

// exitCode maps an error to the exit code of the program and prints it.
func exitCode(ctx context.Context, io *iostreams.IOStreams, err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return program.ExitOK
	case ctx.Err() != nil:
		return program.ExitCancelled
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(io.Out, usage.Message)
		return program.ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(io.Err, usage.Message)
		return program.ExitUsage
	case !errors.Is(err, errBroken):
		fmt.Fprintln(io.Err, err)
	}
	return program.ExitError
}
