// Package explain implements the command `explain`, which shows why a request waited, was
// refused or was retried, and where it ran.
package explain

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"the Fuchsiashed-Request-Id of the answer"`
	} `positional-args:"yes" required:"yes"`
	Logs []string `long:"logs" value-name:"FILE" description:"log file of a process, used instead of the processes of --admin; may be repeated"`

	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "explain",
		Short: "Show what happened to a request",
		Long: "Collects the decisions about a request from the processes of --admin, oldest first. Each " +
			"process stores only its newest decisions. With --logs, the trace of the request is made from " +
			"the JSON log lines of several processes instead.",
		Example: "  fuchsiashed explain router-1-18f2a-42\n" +
			"  fuchsiashed explain --logs router-1.log --logs control-1.log 9c41d07be2a35f68",
		Options: &Options{Factory: f},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute(args []string) error {
	if err := command.RejectArgs(args); err != nil {
		return err
	}
	if len(o.Logs) > 0 {
		return traceLogs(o)
	}
	ctx, cancel := o.Factory.Context()
	defer cancel()
	return run(ctx, o)
}

func run(ctx context.Context, o *Options) error {
	a, err := o.Factory.Admin()
	if err != nil {
		return err
	}
	decisions, err := a.Explain(ctx, fleet.RequestID(o.Args.Request))
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return errors.Errorf("no process of --admin knows request %s; check that --admin lists the router that accepted it, or the request is too old", o.Args.Request)
	}
	slices.SortStableFunc(decisions, func(a, b fleet.Decision) int { return a.At.Compare(b.At) })
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, decisions)
	}
	t := table.New(o.Factory.IO, "after", "host", "customer", "event", "reason", "detail")
	for _, d := range decisions {
		t.Row(d.At.Sub(decisions[0].At).Round(time.Microsecond), d.Host, d.Customer, d.Event, d.Reason, d.Detail)
	}
	return t.Print()
}
