// Package replay implements the command `replay`, which replays a recorded event log and
// compares the decisions with the expected outcome.
package replay

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
)

// outcomeSuffix is appended to the name of a log to get that of its expected outcome.
const outcomeSuffix = ".outcome.json"

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Outcome string `long:"outcome" value-name:"FILE" description:"file with the stated outcome (default: the log's name with .outcome.json)"`
	Write   bool   `long:"write" description:"write the outcome of this replay instead of comparing with the stated one"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"event log of a router or dispatcher"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "replay",
		Short: "Replay an event log against its stated outcome",
		Long: "Replays the events of a log, as written by a router with the setting EventLog, and compares " +
			"the number of decisions of each kind with the stated outcome. The exit code is 1 if they " +
			"differ or an invariant is violated. No process is contacted.",
		Example: "  fuchsiashed replay --write router-1.events\n  fuchsiashed replay router-1.events",
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
	log, err := os.Open(o.Args.File)
	if err != nil {
		return command.FlagErrorf("%s; give the path of an event log", err)
	}
	defer log.Close()
	path := o.Outcome
	if path == "" {
		path = o.Args.File + outcomeSuffix
	}
	if o.Write {
		return writeExpected(o, log, path)
	}
	want, err := readOutcome(path)
	if err != nil {
		return err
	}
	got, err := countDecisions(log, want)
	if err != nil {
		return errors.Wrapf(err, "%s; report it with the log", o.Args.File)
	}
	return reportDifferences(o, compareCounts(want.Decisions, got))
}

// writeExpected replays the log and writes its outcome to path as the expected one.
func writeExpected(o *Options, log io.ReadSeeker, path string) error {
	outcome, err := detectConfig(log)
	if err != nil {
		return err
	}
	if _, err := log.Seek(0, io.SeekStart); err != nil {
		return errors.Wrap(err, "read event log")
	}
	if outcome.Decisions, err = countDecisions(log, outcome); err != nil {
		return errors.Wrapf(err, "%s; report it with the log", o.Args.File)
	}
	if err := writeOutcome(path, outcome); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Factory.IO.Out, "%s states the outcome of %s\n", path, o.Args.File)
	return errors.Wrap(err, "print")
}

// reportDifferences prints the differences and returns an error if there are any.
func reportDifferences(o *Options, differences []Difference) error {
	if o.Factory.Globals.JSON {
		if err := table.JSON(o.Factory.IO, differences); err != nil {
			return err
		}
	}
	for _, d := range differences {
		fmt.Fprintln(o.Factory.IO.Err, d)
	}
	if len(differences) > 0 {
		return errors.Errorf("the outcome of %s differs from the stated one; if the new outcome is correct, write it with --write", o.Args.File)
	}
	if o.Factory.Globals.JSON {
		return nil
	}
	_, err := fmt.Fprintf(o.Factory.IO.Out, "%s ends as stated\n", o.Args.File)
	return errors.Wrap(err, "print")
}
