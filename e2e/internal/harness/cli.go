package harness

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// CLI runs the program fuchsiashed with the arguments and returns its standard output.
func (f *Fleet) CLI(args ...string) (string, error) {
	var out, errOut bytes.Buffer
	var admin []string
	for _, p := range append(append([]*Process{}, f.Dispatchers...), f.Routers...) {
		admin = append(admin, p.Admin)
	}
	args = append([]string{"--control", addresses(f.Control), "--admin", strings.Join(admin, ",")}, args...)
	cmd := exec.Command(filepath.Join(f.cfg.Bin, "fuchsiashed"), args...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	return out.String(), errors.Wrapf(err, "fuchsiashed %s: %s%s", strings.Join(args[4:], " "), out.String(), errOut.String())
}

// cliJSON runs CLI with --json and decodes the output into v.
func (f *Fleet) cliJSON(v any, args ...string) error {
	out, err := f.CLI(append([]string{"--json"}, args...)...)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal([]byte(out), v), "decode %q", out)
}

// TargetStates returns the states of the targets at the active dispatcher.
func (f *Fleet) TargetStates() ([]fleet.TargetStatus, error) {
	var list []fleet.TargetStatus
	return list, f.cliJSON(&list, "target", "list")
}

// History returns all changes that the control hosts retain, newest first.
func (f *Fleet) History() ([]fleet.Change, error) {
	var list []fleet.Change
	return list, f.cliJSON(&list, "fleet", "history", "--most", "0")
}

// State returns the state of the registry, confirmed by a quorum of the control hosts.
func (f *Fleet) State() (fleet.StateReply, error) {
	var s struct{ State fleet.StateReply }
	out, err := f.CLI("--json", "status")
	// The command fails if a process lags or is down, but still prints the state.
	if out == "" {
		return s.State, err
	}
	return s.State, errors.Wrapf(json.Unmarshal([]byte(out), &s), "decode %q", out)
}

// ReplicaStatus is the status of a control replica; Status is nil if it did not answer.
type ReplicaStatus struct {
	Address string
	Status  *fleet.StatusReply
	Error   string
}

// Replicas returns the status of all control replicas. It fails if there is no leader.
func (f *Fleet) Replicas() ([]ReplicaStatus, error) {
	var list []ReplicaStatus
	return list, f.cliJSON(&list, "control", "status")
}

// Leader returns the process of the leading control replica.
func (f *Fleet) Leader() (*Process, error) {
	list, err := f.Replicas()
	if err != nil {
		return nil, err
	}
	for i, r := range list {
		if r.Status != nil && r.Status.Standing == "Leader" {
			return f.Control[i], nil
		}
	}
	return nil, errors.New("no control replica is the leader")
}

// ActiveDispatcher returns the dispatcher that holds the lease, and the lease's epoch.
func (f *Fleet) ActiveDispatcher() (*Process, fleet.Epoch, error) {
	state, err := f.State()
	if err != nil {
		return nil, 0, err
	}
	for _, l := range state.Leases {
		for _, p := range f.Dispatchers {
			if string(l.Holder) == p.Name {
				return p, l.Epoch, nil
			}
		}
	}
	return nil, 0, errors.Errorf("no dispatcher holds a lease: %+v", state.Leases)
}

// Counters returns the expvar map with the given name from a process's /debug/vars.
func (f *Fleet) Counters(p *Process, name string) (map[string]int, error) {
	resp, err := http.Get("http://" + p.Admin + "/debug/vars")
	if err != nil {
		return nil, errors.Wrapf(err, "read the counters of %s", p.Name)
	}
	defer resp.Body.Close()
	var vars map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return nil, errors.Wrap(err, "decode counters")
	}
	counts := map[string]int{}
	return counts, errors.Wrapf(json.Unmarshal(vars[name], &counts), "decode %s", name)
}

// Apply applies the configuration in a file to the version in force, with an operation id.
func (f *Fleet) Apply(op fleet.OperationID, path string) (fleet.ChangeReply, error) {
	var reply fleet.ChangeReply
	return reply, f.cliJSON(&reply, "fleet", "apply", "--operation", string(op), path)
}
