// Package root parses the arguments of the command line, executes one command and maps its
// error to an exit code.
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
	"github.com/fuchsiashed/fuchsiashed/cli/internal/rollout"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/status"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/target"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// longDescription is the help text of the program.
const longDescription = `Operates a router fleet.

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

// programName is the name of the program in help and error messages.
const programName = "fuchsiashed"

// Main runs the command line with its arguments and returns the exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	f := factory.New(io)
	defer f.Close()
	return Run(f, args)
}

// versionRequest is the error by which --version ends the parsing. The parser returns its
// message only, so it also stores that the flag was given.
type versionRequest struct {
	requested bool
}

// Error implements error.
func (*versionRequest) Error() string { return "version requested" }

// handleFlag is called by the parser for --version.
func (v *versionRequest) handleFlag() error {
	v.requested = true
	return v
}

// Run runs the command line with the given dependencies and returns the exit code.
func Run(f *factory.Factory, args []string) int {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	version := &versionRequest{}
	f.Globals.Version = version.handleFlag
	if err := addCommands(parser, f); err != nil {
		fmt.Fprintln(f.IO.Err, err)
		return program.ExitError
	}
	_, err := parser.ParseArgs(args)
	if version.requested {
		fmt.Fprintf(f.IO.Out, "%s %s\n", programName, program.Version)
		return program.ExitOK
	}
	return reportError(f.IO, err)
}

// addCommands adds the global options and all commands to the parser.
func addCommands(parser *flags.Parser, f *factory.Factory) error {
	if _, err := parser.AddGroup("Global options", "", f.Globals); err != nil {
		return errors.Wrap(err, "add global options")
	}
	for _, n := range []command.Group{fleet.New(f), datacentre.New(f), target.New(f), customer.New(f), replica.New(f), rollout.New(f), key.New(f)} {
		if err := n.AddTo(parser); err != nil {
			return err
		}
	}
	for _, v := range []command.Command{status.New(f), explain.New(f), replay.New(f)} {
		if err := v.AddTo(parser); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints the error that the command returned, if any, and returns the exit code.
func reportError(io *iostreams.IOStreams, err error) int {
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(io.Out, fe.Message)
		return program.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintf(io.Err, "%s; see %s --help\n", fe.Message, programName)
		return program.ExitUsage
	case err != nil && !errors.Is(err, command.ErrSilent):
		fmt.Fprintf(io.Err, "%s: %s\n", programName, err)
	}
	return command.ExitCode(err)
}
