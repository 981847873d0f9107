// Package status implements the command `control status`, which shows the state of the
// control replicas.
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

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:  "status",
		Short: "Show every control replica",
		Long: "Shows the status that each replica reports of itself; this needs no quorum. The exit code is 1 " +
			"unless a majority of the replicas answers and one of them is the leader.",
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

// clusterMembers returns the members that the leader reports, or, without a leader, those
// reported by the last replica in the list that responded.
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

// roleLeader is the role of the leader in a replica's status.
const roleLeader = "Leader"

// membership describes whether the replica with status s is a voter, a learner or no member.
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

// checkQuorum prints a problem and returns command.ErrSilent unless a majority of the
// replicas responded and one of them is the leader.
func checkQuorum(f *factory.Factory, list []control.ReplicaStatus) error {
	reachable, leaders := 0, 0
	for _, r := range list {
		if r.Status == nil {
			continue
		}
		reachable++
		if r.Status.Standing == roleLeader {
			leaders++
		}
	}
	if reachable*2 > len(list) && leaders > 0 {
		return nil
	}
	fmt.Fprintf(f.IO.Err, "%d of %d replicas answered and %d of them are leader; start the missing replicas, and if one has lost its disk run `fuchsiashed control replace HOST`\n", reachable, len(list), leaders)
	return command.ErrSilent
}
