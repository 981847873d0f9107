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

// errViolations sets the exit code when a run showed violations. It is not printed: the
// report lists them.
var errViolations = errors.New("violations found")

// subcommand is an entry of the command line's help and its implementation.
type subcommand struct {
	short, example string
	// options holds the flags, and Execute runs the subcommand.
	options flags.Commander
}

// Main runs the subcommand that args name and returns the exit code. An interrupt or SIGTERM
// cancels the run.
func Main(io *iostreams.IOStreams, args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	env := &environment{io: io, ctx: ctx}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	for name, v := range map[string]subcommand{
		"run": {
			"Run plans generated from seeds and check what callers, targets and operators observe",
			"  fuchsiashed-soak run --seed 7 --for 60s --processes 6\n  fuchsiashed-soak run --seed 1 --count 50 --json",
			&runOptions{environment: env},
		},
		"replay": {
			"Run the plan of a seed, or of a report, again",
			"  fuchsiashed-soak replay 7\n  fuchsiashed-soak replay --plan report.json",
			&replayOptions{environment: env},
		},
		"shrink": {
			"Search for a shorter list of steps that still causes a violation",
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

// exitCode prints an error, or the help that was asked for, and returns the exit code of the
// program.
func exitCode(ctx context.Context, io *iostreams.IOStreams, err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return program.ExitOK
	case ctx.Err() != nil:
		return program.ExitCancelled
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(io.Out, flagsErr.Message)
		return program.ExitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(io.Err, flagsErr.Message)
		return program.ExitUsage
	case !errors.Is(err, errViolations):
		fmt.Fprintln(io.Err, err)
	}
	return program.ExitError
}
