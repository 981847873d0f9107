// Package root is the command line's entry: it parses the arguments, executes one
// command and maps its error to an exit code.
package root

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/customer"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/explain"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/key"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replay"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replica"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/status"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/target"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

const long = `Operates a router fleet.

Examples:
  fuchsiashed fleet apply examples/lv-riga.ini
  fuchsiashed datacentre out --dry-run riga-b
  fuchsiashed explain router-1-18f2a-42

Exit codes:
  0  success
  1  the work failed, was refused, or found a problem
  2  wrong command line or settings
  3  cancelled by the operator or a signal

Control is found by --control, else $FUCHSIASHED_CONTROL, else the settings file:
  [Control]
  Replicas = 127.0.0.1:7101, 127.0.0.1:7103, 127.0.0.1:7105
  [Admin]
  Addresses = 127.0.0.1:7112, 127.0.0.1:7114`

const name = "fuchsiashed"

// Main runs the command line with its arguments and returns the exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	f := factory.New(io)
	defer f.Close()
	return Run(f, args)
}

// versionAsked ends parsing once the version was asked for. The parser returns only
// its text, so whether it happened is kept as well.
type versionAsked struct {
	happened bool
}

// Error implements error.
func (*versionAsked) Error() string { return "the version was asked for" }

func (v *versionAsked) ask() error {
	v.happened = true
	return v
}

// Run runs the command line with the dependencies given.
func Run(f *factory.Factory, args []string) int {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = long
	version := &versionAsked{}
	f.Globals.Version = version.ask
	if err := add(parser, f); err != nil {
		fmt.Fprintln(f.IO.Err, err)
		return program.ExitError
	}
	_, err := parser.ParseArgs(args)
	if version.happened {
		fmt.Fprintf(f.IO.Out, "%s %s\n", name, program.Version)
		return program.ExitOK
	}
	return finish(f.IO, err)
}

func add(parser *flags.Parser, f *factory.Factory) error {
	if _, err := parser.AddGroup("Global options", "", f.Globals); err != nil {
		return errors.Wrap(err, "add global options")
	}
	for _, n := range []command.Noun{fleet.New(f), datacentre.New(f), target.New(f), customer.New(f), replica.New(f), key.New(f)} {
		if err := n.AddTo(parser); err != nil {
			return err
		}
	}
	for _, v := range []command.Verb{status.New(f), explain.New(f), replay.New(f)} {
		if err := v.AddTo(parser); err != nil {
			return err
		}
	}
	return nil
}

// finish prints the error with which the command ended and returns the exit code.
func finish(io *iostreams.IOStreams, err error) int {
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(io.Out, fe.Message)
		return program.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintf(io.Err, "%s; see %s --help\n", fe.Message, name)
		return program.ExitUsage
	case err != nil && !errors.Is(err, command.ErrSilent):
		fmt.Fprintf(io.Err, "%s: %s\n", name, err)
	}
	return command.ExitCode(err)
}
