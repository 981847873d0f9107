package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// The roles whose logs can be replayed.
const (
	roleRouter     = fleet.RoleRouter
	roleDispatcher = fleet.RoleDispatcher
)

// Outcome is the expected outcome of replaying a log. The fields before Decisions are the
// configuration that the reducer had when the log was recorded.
type Outcome struct {
	// Role is Router or Dispatcher.
	Role        fleet.Role
	Host        fleet.HostID
	Incarnation fleet.Incarnation    `json:",omitempty"`
	DataCentre  fleet.DataCentreName `json:",omitempty"`
	// Dispatchers lists the dispatchers that the router reported to.
	Dispatchers []routing.Peer `json:",omitempty"`
	// StandingGrants reports whether the dispatcher issued standing grants.
	StandingGrants bool `json:",omitempty"`
	// Decisions holds the number of decisions by decisionKey.
	Decisions map[string]int
}

// Check implements fleet.Checker.
func (o *Outcome) Check() error {
	if o.Role != roleRouter && o.Role != roleDispatcher {
		return errors.Errorf("Role %q can't be replayed; use %s or %s", o.Role, roleRouter, roleDispatcher)
	}
	return fleet.CheckName("Host", string(o.Host))
}

// readOutcome reads an expected outcome.
func readOutcome(path string) (Outcome, error) {
	var o Outcome
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, command.FlagErrorf("%s; give the file of the stated outcome with --outcome, or write it with --write", err)
	}
	if err := fleet.Decode(raw, &o); err != nil {
		return o, command.FlagErrorf("%s: %s", path, err)
	}
	return o, nil
}

// writeOutcome writes an expected outcome as indented JSON.
func writeOutcome(path string, o Outcome) error {
	raw, err := json.MarshalIndent(o, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write outcome")
}

// Difference is a decision whose number in the replay differs from the expected one.
type Difference struct {
	// Decision is the decisionKey.
	Decision string
	// Want is the number in the expected outcome, Got that of the replay.
	Want int
	Got  int
}

// String describes the difference in one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %d stated, %d replayed", d.Decision, d.Want, d.Got)
}

// compareCounts returns the differences sorted by decision.
func compareCounts(want, got map[string]int) []Difference {
	names := map[string]bool{}
	for n := range want {
		names[n] = true
	}
	for n := range got {
		names[n] = true
	}
	differences := []Difference{}
	for n := range names {
		if want[n] != got[n] {
			differences = append(differences, Difference{Decision: n, Want: want[n], Got: got[n]})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		if a.Decision < b.Decision {
			return -1
		}
		return 1
	})
	return differences
}
