package root_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/root"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const fleetText = `[Fleet]
Region = lv-riga
[DataCentre riga-a]
[DataCentre riga-b]
[Service drafter]
Protocol = Model
DependsOn = permit-desk
MaxCost = 4000
MinSlots = 6
[Service permit-desk]
Protocol = Plain
MaxCost = 5000
[Customer cafe]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// fakeReplica is a control replica that stores one version and can lose replies to changes.
type fakeReplica struct {
	*rpc.Server

	mu         sync.Mutex
	version    fleet.Version
	text       string
	out        []fleet.DataCentreName
	replies    map[fleet.OperationID]fleet.ChangeReply
	operations []fleet.OperationID
	// lostReplies is the number of further changes that are made but whose reply is an error.
	lostReplies int
}

func newFakeReplica(t *testing.T) *fakeReplica {
	r := &fakeReplica{replies: map[fleet.OperationID]fleet.ChangeReply{}}
	r.Server = rpc.NewServer(rpc.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: rpc.HandlerFunc(r.handle)})
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

func (r *fakeReplica) handle(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch method {
	case fleet.MethodState:
		return fleet.StateReply{
			Version: r.version, Hash: fleettext.Hash(r.text), DataCentresOut: r.out, Validity: time.Second,
			Leases: []fleet.LeaseState{{Name: "Dispatch/lv-riga", Holder: "dispatcher-1", Epoch: 3}},
			Hosts:  []fleet.HostState{{Host: "router-1", Role: fleet.RoleRouter, DataCentre: "riga-a", Version: r.version}},
		}, nil
	case fleet.MethodText:
		return fleet.TextReply{Version: r.version, Text: r.text, DataCentresOut: r.out}, nil
	case fleet.MethodStatus:
		return fleet.StatusReply{
			Host: "control-1", Standing: "Leader", Leader: "control-1", Term: 2, Last: 9, Commit: 9,
			Members: []fleet.MemberState{{Host: "control-1", Voter: true}},
		}, nil
	case fleet.MethodHistory:
		return fleet.HistoryReply{Changes: []fleet.Change{{Version: 1, Operation: "op-1", Operator: "ilze", Kind: "Apply", At: time.Unix(0, 0)}}}, nil
	case fleet.MethodReplace:
		return fleet.ReplaceReply{Invalid: "replica control-9 is no member"}, nil
	case fleet.MethodApply:
		var req fleet.ApplyRequest
		return r.change(params, &req, func() (fleet.OperationID, fleet.Version) {
			return req.Operation, req.Base
		}, func() { r.text = req.Text })
	case fleet.MethodDataCentre:
		var req fleet.DataCentreRequest
		return r.change(params, &req, func() (fleet.OperationID, fleet.Version) {
			return req.Operation, req.Base
		}, func() { r.out = []fleet.DataCentreName{req.DataCentre} })
	}
	return nil, rpc.NewError(fleet.CodeInvalid, "method does not exist", nil)
}

func (r *fakeReplica) change(params json.RawMessage, req fleet.Checker, id func() (fleet.OperationID, fleet.Version), apply func()) (any, error) {
	if err := fleet.Decode(params, req); err != nil {
		return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
	}
	op, base := id()
	r.operations = append(r.operations, op)
	result, known := r.replies[op]
	if !known {
		result = fleet.ChangeReply{Conflict: &fleet.Conflict{Base: base, Current: r.version}}
		if base == r.version {
			r.version++
			apply()
			result = fleet.ChangeReply{Accepted: true, Version: r.version}
		}
		r.replies[op] = result
	}
	if r.lostReplies > 0 {
		r.lostReplies--
		return nil, rpc.NewError(fleet.CodeUnavailable, "no quorum answered", nil)
	}
	return result, nil
}

// loseNext makes the replica return an error for the next n changes after it has made them.
func (r *fakeReplica) loseNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostReplies = n
}

// changesReceived returns the version in force and the operation ids received.
func (r *fakeReplica) changesReceived() (fleet.Version, []fleet.OperationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, append([]fleet.OperationID(nil), r.operations...)
}

// runCommand executes a command line against a control replica and returns its exit code,
// output and errors.
func runCommand(r *fakeReplica, args ...string) (code int, out, errOut string) {
	io, in, outBuf, errBuf := iostreams.Test()
	in.WriteString("secret\n")
	args = append([]string{"--control", r.Addr().String(), "--timeout", "3s"}, args...)
	code = root.Main(io, args)
	return code, outBuf.String(), errBuf.String()
}

func writeFleetText(t *testing.T, s string) string {
	path := filepath.Join(t.TempDir(), "fleet.ini")
	if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCommands(t *testing.T) {
	file := writeFleetText(t, fleetText)
	changed := writeFleetText(t, strings.Replace(fleetText, "MaxCost = 4000", "MaxCost = 4001", 1))
	invalid := writeFleetText(t, strings.Replace(fleetText, "MaxCost", "MaxCoast", 1))
	tests := []struct {
		name    string
		args    []string
		applied bool
		code    int
		out     string
		err     string
	}{
		{"apply", []string{"fleet", "apply", file}, false, program.ExitOK, "is in force as version 1", ""},
		{"apply on an older version", []string{"fleet", "apply", "--base", "0", file}, true, program.ExitError, "", "based on version 0, but version 1 is in force"},
		{"apply an invalid text", []string{"fleet", "apply", invalid}, false, program.ExitUsage, "", `key "MaxCoast": key is unknown`},
		{"apply a missing file", []string{"fleet", "apply", "nowhere.ini"}, false, program.ExitUsage, "", "give the path of a fleet text"},
		{"check", []string{"fleet", "check", file}, false, program.ExitOK, "is valid: region lv-riga, 2 data centres, 2 services, 1 customers", ""},
		{"show", []string{"fleet", "show"}, true, program.ExitOK, "Region = lv-riga", "version 1"},
		{"show without a text in force", []string{"fleet", "show"}, false, program.ExitError, "", "fuchsiashed fleet apply FILE"},
		{"diff", []string{"fleet", "diff", changed}, true, program.ExitOK, "- MaxCost = 4000\n+ MaxCost = 4001\n", ""},
		{"diff of an equal text", []string{"fleet", "diff", file}, true, program.ExitOK, "no difference from version 1", ""},
		{"history", []string{"fleet", "history"}, true, program.ExitOK, "1\t1970-01-01T00:00:00Z\tApply\t\tilze\top-1\n", ""},
		{"history as JSON", []string{"--json", "fleet", "history"}, true, program.ExitOK, `"Operator": "ilze"`, ""},
		{"datacentre out", []string{"datacentre", "out", "riga-b"}, true, program.ExitOK, "data centre riga-b is out of service as of version 2", ""},
		{"datacentre list", []string{"datacentre", "list"}, true, program.ExitOK, "riga-a\tIn\t1\nriga-b\tIn\t0\n", ""},
		{"control status", []string{"control", "status"}, false, program.ExitOK, "control-1\tLeader\tcontrol-1\t2\t9\t9\t0\tvoter", ""},
		{"control replace of an unknown host", []string{"control", "replace", "control-9"}, false, program.ExitError, "", "is no member"},
		{"status", []string{"status"}, true, program.ExitOK, "router-1\tRouter\triga-a", "lease Dispatch/lv-riga: dispatcher-1, epoch 3"},
		{"status with bad addresses", []string{"--admin", "nowhere", "status"}, true, program.ExitUsage, "", `"nowhere" is not an IP address and port`},
		{"key hash", []string{"key", "hash"}, false, program.ExitOK, "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n", ""},
		{"unknown command", []string{"fleet", "mend"}, false, program.ExitUsage, "", "Unknown command"},
		{"surplus argument", []string{"fleet", "show", "x"}, false, program.ExitUsage, "", `argument "x" is unknown`},
		{"help", []string{"datacentre", "out", "--help"}, false, program.ExitOK, "Examples:", ""},
		{"version", []string{"--version"}, false, program.ExitOK, "fuchsiashed " + program.Version, ""},
		{"no admin addresses", []string{"target", "list"}, false, program.ExitUsage, "", "use --admin IP:PORT"},
	}
	t.Setenv("XDG_CONFIG_HOME", t.TempDir())
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			r := newFakeReplica(t)
			if tt.applied {
				r.version, r.text = 1, fleetText
			}
			code, out, errOut := runCommand(r, tt.args...)
			convey.So(errOut, convey.ShouldContainSubstring, tt.err)
			convey.So(out, convey.ShouldContainSubstring, tt.out)
			convey.So(code, convey.ShouldEqual, tt.code)
		})
	}
}

func TestLostAnswer(t *testing.T) {
	file := writeFleetText(t, fleetText)
	convey.Convey("A change whose reply is lost is retried with the same operation id", t, func() {
		r := newFakeReplica(t)
		r.loseNext(2)
		code, out, _ := runCommand(r, "fleet", "apply", file)
		convey.So(code, convey.ShouldEqual, program.ExitOK)
		convey.So(out, convey.ShouldContainSubstring, "version 1")
		version, operations := r.changesReceived()
		convey.So(version, convey.ShouldEqual, 1)
		convey.So(len(operations), convey.ShouldEqual, 3)
		convey.So(operations[2], convey.ShouldEqual, operations[0])
	})
	convey.Convey("If no reply arrives, the error gives the operation id to repeat the change with", t, func() {
		r := newFakeReplica(t)
		r.loseNext(1 << 20)
		code, _, errOut := runCommand(r, "--timeout", "300ms", "fleet", "apply", file)
		convey.So(code, convey.ShouldEqual, program.ExitError)
		_, operations := r.changesReceived()
		convey.So(errOut, convey.ShouldContainSubstring, fmt.Sprintf("--operation %s", operations[0]))
		r.loseNext(0)
		code, out, _ := runCommand(r, "fleet", "apply", "--operation", string(operations[0]), file)
		convey.So(code, convey.ShouldEqual, program.ExitOK)
		convey.So(out, convey.ShouldContainSubstring, "version 1")
	})
}

// servePassiveDispatcher serves the operators' address of a dispatcher without the lease,
// whose targets are out of date, and returns the address.
func servePassiveDispatcher(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == fleet.PathStatus:
			fmt.Fprint(w, `{"Host":"dispatcher-2","Role":"Dispatcher","Active":"dispatcher-1","Epoch":2}`)
		case strings.HasPrefix(r.URL.Path, fleet.PathExplain):
			fmt.Fprint(w, `[]`)
		default:
			fmt.Fprint(w, `[{"Target":"stale"}]`)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// serveActiveDispatcher serves the operators' address of the dispatcher that holds the
// lease, and returns the address.
func serveActiveDispatcher(t *testing.T, targets []fleet.TargetStatus) string {
	mux := http.NewServeMux()
	serve := func(path string, v any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			if err := json.NewEncoder(w).Encode(v); err != nil {
				panic(err)
			}
		})
	}
	serve(fleet.PathStatus, fleet.ProcessStatus{Host: "dispatcher-1", Role: fleet.RoleDispatcher, Active: "dispatcher-1", Epoch: 2})
	serve(fleet.PathTargets, targets)
	serve(fleet.PathCustomers, []fleet.CustomerStatus{{Customer: "cafe", Service: "drafter", Weight: 1, Waiting: 2}})
	serve(fleet.PathExplain+"r1", []fleet.Decision{
		{At: time.Unix(2, 0), Host: "router-1", Request: "r1", Event: "Completed"},
		{At: time.Unix(1, 0), Host: "router-1", Request: "r1", Event: "Refused", Reason: fleet.ReasonNoTarget, Detail: "why"},
	})
	serve(fleet.PathExplain+"r2", []fleet.Decision{})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestAdminCommands(t *testing.T) {
	targets := []fleet.TargetStatus{
		{Target: "d1", Service: "drafter", DataCentre: "riga-a", State: "Serving", Slots: 8, Limit: 4},
		{Target: "d2", Service: "drafter", DataCentre: "riga-b", State: "Serving", Slots: 8},
		{Target: "p1", Service: "permit-desk", DataCentre: "riga-b", State: "Serving", Slots: 8},
		{Target: "p2", Service: "permit-desk", DataCentre: "riga-a", State: "Missing", Slots: 8},
	}
	tests := []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"target list", []string{"target", "list", "--datacentre", "riga-a"}, program.ExitOK, "d1\tdrafter\triga-a\tServing\t8\t4\t0\t0\t0\t0s\n", ""},
		{"customer list", []string{"customer", "list"}, program.ExitOK, "cafe\tdrafter\t1\t2\t0", ""},
		{"explain", []string{"explain", "r1"}, program.ExitOK, "0s\trouter-1\t\tRefused\tNoTarget\twhy\n1s\trouter-1\t\tCompleted", ""},
		{"explain an unknown request", []string{"explain", "r2"}, program.ExitError, "", "no process of --admin knows request r2"},
		{"dry run without problem", []string{"datacentre", "out", "--dry-run", "riga-a"}, program.ExitOK, "drafter\t1\t8\t6\tenough", ""},
		{"dry run with problems", []string{"datacentre", "out", "--dry-run", "riga-b"}, program.ExitError, "drafter\t1\t8\t6\trefused for lack of permit-desk\npermit-desk\t0\t0\t1\twithout targets\n", "without riga-b, service drafter"},
		{"dry run of an unknown data centre", []string{"datacentre", "out", "--dry-run", "riga-x"}, program.ExitUsage, "", "it lists [riga-a riga-b]"},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			r := newFakeReplica(t)
			r.version, r.text = 1, fleetText
			code, out, errOut := runCommand(r, append([]string{"--admin", servePassiveDispatcher(t) + "," + serveActiveDispatcher(t, targets)}, tt.args...)...)
			convey.So(errOut, convey.ShouldContainSubstring, tt.err)
			convey.So(out, convey.ShouldContainSubstring, tt.out)
			convey.So(out, convey.ShouldNotContainSubstring, "stale")
			convey.So(code, convey.ShouldEqual, tt.code)
			version, _ := r.changesReceived()
			convey.So(version, convey.ShouldEqual, 1)
		})
	}
}

func TestTableOnTerminal(t *testing.T) {
	convey.Convey("A terminal gets aligned columns with a header", t, func() {
		r := newFakeReplica(t)
		r.version, r.text = 1, fleetText
		io, _, out, _ := iostreams.Test()
		io.SetTerminal(true, false, 80)
		code := root.Main(io, []string{"--control", r.Addr().String(), "datacentre", "list"})
		convey.So(code, convey.ShouldEqual, program.ExitOK)
		convey.So(out.String(), convey.ShouldEqual, "DATA CENTRE  STATE  HOSTS\nriga-a       In     1\nriga-b       In     0\n")
		convey.So(bytes.Contains(out.Bytes(), []byte("\t")), convey.ShouldBeFalse)
	})
}
