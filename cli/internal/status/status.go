// Package status implements the command `status`, which shows the state of all processes.
package status

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "status",
		Short: "Show the configuration in force and all processes",
		Long: "Shows the version in force, the leases, and every process that control knows. With --admin, " +
			"the status of each process listed there is requested as well. The exit code is 1 if a process " +
			"runs under another version or a process of --admin does not answer.",
		Example: "  fuchsiashed status\n  fuchsiashed status --admin 127.0.0.1:7114,127.0.0.1:7121 --json",
		Options: &Options{Factory: f},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute(args []string) error {
	if err := command.RejectArgs(args); err != nil {
		return err
	}
	ctx, cancel := o.Factory.Context()
	defer cancel()
	return run(ctx, o)
}

// Status is the output of the command.
type Status struct {
	// State is the state of control.
	State fleet.StateReply
	// Processes holds the status of the processes of --admin that responded.
	Processes []fleet.ProcessStatus
	// Problems lists the problems that the operator has to examine.
	Problems []string
}

func run(ctx context.Context, o *Options) error {
	s, err := collectStatus(ctx, o.Factory)
	if err != nil {
		return err
	}
	if o.Factory.Globals.JSON {
		err = table.JSON(o.Factory.IO, s)
	} else {
		err = printStatus(o.Factory, s)
	}
	if err == nil && len(s.Problems) > 0 {
		return command.ErrSilent
	}
	return err
}

// collectStatus requests the state of control and, if addresses are given, the status of the
// processes.
func collectStatus(ctx context.Context, f *factory.Factory) (Status, error) {
	var s Status
	c, err := f.Control()
	if err != nil {
		return s, err
	}
	if s.State, err = c.State(ctx); err != nil {
		return s, err
	}
	for _, h := range s.State.Hosts {
		if h.Version != s.State.Version && h.Role != fleet.RoleOperator {
			s.Problems = append(s.Problems, fmt.Sprintf("%s runs under version %d, not %d; repeat the command in a few seconds, and if the versions still differ look for ConfigUnconfirmed in its log", h.Host, h.Version, s.State.Version))
		}
	}
	a, err := f.Admin()
	if errors.Is(err, factory.ErrNoAddresses) {
		// Without --admin, the output is limited to the state of control.
		return s, nil
	}
	if err != nil {
		return s, err
	}
	for _, resp := range a.Statuses(ctx) {
		if resp.Err != nil {
			s.Problems = append(s.Problems, fmt.Sprintf("%s; check that the process runs", resp.Err))
			continue
		}
		s.Processes = append(s.Processes, resp.Value)
	}
	return s, nil
}

func printStatus(f *factory.Factory, s Status) error {
	fmt.Fprintf(f.IO.Err, "version %d, hash %s, data centres out %v\n", s.State.Version, s.State.Hash, s.State.DataCentresOut)
	for _, l := range s.State.Leases {
		fmt.Fprintf(f.IO.Err, "lease %s: %s, epoch %d\n", l.Name, l.Holder, l.Epoch)
	}
	t := table.New(f.IO, "host", "role", "data centre", "address", "version", "waiting", "running", "stopping", "age")
	for _, h := range s.State.Hosts {
		if h.Role == fleet.RoleOperator {
			continue
		}
		waiting, running := "-", "-"
		for _, p := range s.Processes {
			if p.Host == h.Host {
				waiting, running = fmt.Sprint(p.Waiting), fmt.Sprint(p.Running)
			}
		}
		t.Row(h.Host, h.Role, h.DataCentre, h.Address, h.Version, waiting, running, h.Stopping, h.Age.Round(time.Millisecond))
	}
	if err := t.Print(); err != nil {
		return err
	}
	for _, p := range s.Problems {
		fmt.Fprintln(f.IO.Err, "problem:", p)
	}
	return nil
}
