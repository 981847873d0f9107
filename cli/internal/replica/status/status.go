// Package status is the verb that shows the control replicas.
package status

import (
	"context"
	"fmt"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/control"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Options are the flags and dependencies of the verb.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New makes the verb.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "status",
		Short: "Show every control replica",
		Long: "Asks every replica about itself, without a quorum. The exit code is 1 unless a majority " +
			"answers and one of them leads.",
		Example: "  fuchsiashed control status",
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

func run(ctx context.Context, o *Options) error {
	c, err := o.Factory.Control()
	if err != nil {
		return err
	}
	list := c.Status(ctx)
	if err := printReplicas(o.Factory, list); err != nil {
		return err
	}
	return checkQuorum(o.Factory, list)
}

func printReplicas(f *factory.Factory, list []control.ReplicaStatus) error {
	if f.Globals.JSON {
		return table.JSON(f.IO, list)
	}
	members := clusterMembers(list)
	t := table.New(f.IO, "address", "host", "standing", "leader", "term", "last", "commit", "snapshot", "membership")
	for _, r := range list {
		s := r.Status
		if s == nil {
			t.Row(r.Address, "-", "Unreachable", "-", "-", "-", "-", "-", r.Error)
			continue
		}
		t.Row(r.Address, s.Host, s.Standing, s.Leader, s.Term, s.Last, s.Commit, s.Snapshot, membership(members, s))
	}
	return t.Print()
}

// clusterMembers returns the members as the leader sees them, or else as anyone does.
func clusterMembers(list []control.ReplicaStatus) []fleet.MemberState {
	var members []fleet.MemberState
	for _, r := range list {
		if r.Status == nil {
			continue
		}
		if r.Status.Standing == roleLeader {
			return r.Status.Members
		}
		members = r.Status.Members
	}
	return members
}

const roleLeader = "Leader"

func membership(members []fleet.MemberState, s *fleet.StatusReply) string {
	for _, m := range members {
		if m.Host != s.Host {
			continue
		}
		if m.Incarnation != 0 && m.Incarnation != s.Incarnation {
			return fmt.Sprintf("another incarnation, %d, is the member; see `fuchsiashed control replace --help`", m.Incarnation)
		}
		if m.Voter {
			return "voter"
		}
		return "learner"
	}
	return "no member"
}

func checkQuorum(f *factory.Factory, list []control.ReplicaStatus) error {
	answered, leaders := 0, 0
	for _, r := range list {
		if r.Status == nil {
			continue
		}
		answered++
		if r.Status.Standing == roleLeader {
			leaders++
		}
	}
	if answered*2 > len(list) && leaders > 0 {
		return nil
	}
	fmt.Fprintf(f.IO.Err, "%d of %d replicas answer and %d of them lead; start the missing ones, and if a disk was lost run `fuchsiashed control replace HOST`\n", answered, len(list), leaders)
	return command.ErrSilent
}
