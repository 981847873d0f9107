// Package replay is the verb that replays a recorded event log against its stated
// outcome.
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

// outcomeSuffix makes the name of the stated outcome from that of the log.
const outcomeSuffix = ".outcome.json"

// Options are the flags and dependencies of the verb.
type Options struct {
	Outcome string `long:"outcome" value-name:"FILE" description:"stated outcome (default: the log's name with .outcome.json)"`
	Write   bool   `long:"write" description:"state the present outcome instead of comparing with it"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"event log of a router or dispatcher"`
	} `positional-args:"yes" required:"yes"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New makes the verb.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "replay",
		Short: "Replay an event log against its stated outcome",
		Long: "Replays the events of a log, as a router with EventLog writes it, through the same " +
			"decisions, and compares the counts of decisions with the stated ones. The exit code is 1 if " +
			"they differ or an invariant is violated. No process is asked.",
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

// writeExpected writes the outcome of the log.
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
		return errors.Errorf("%s ends otherwise than stated; if the new outcome is right, state it with --write", o.Args.File)
	}
	if o.Factory.Globals.JSON {
		return nil
	}
	_, err := fmt.Fprintf(o.Factory.IO.Out, "%s ends as stated\n", o.Args.File)
	return errors.Wrap(err, "print")
}
