package root_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/root"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// serveRollouts serves a control host of the platform that moves the service drafter to v2.
func serveRollouts(t *testing.T) string {
	active := fleet.Rollout{
		Service: "drafter", To: "v2", Number: 3, Revision: 2, State: fleet.RolloutActive, Share: 0.05,
		Duration: 5 * time.Minute, Left: 4 * time.Minute,
	}
	handle := func(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
		switch method {
		case fleet.MethodReadRollouts:
			return fleet.ReadRolloutsReply{Rollouts: []fleet.Rollout{active}}, nil
		case fleet.MethodStartRollout:
			var order fleet.StartRolloutRequest
			if err := fleet.Decode(params, &order); err != nil || order.Service != "drafter" {
				return nil, rpc.NewError(fleet.CodeInvalid, "the configuration in force has no such service", nil)
			}
			return fleet.StartRolloutReply{Rollout: active, Conflict: order.To != active.To}, nil
		}
		return nil, rpc.NewError(fleet.CodeInvalid, "method does not exist", nil)
	}
	s := rpc.NewServer(rpc.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0"), Uncompressed: true, Handler: rpc.HandlerFunc(handle)})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s.Addr().String()
}

func TestRolloutCommands(t *testing.T) {
	address := serveRollouts(t)
	for _, tt := range []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"list", []string{"rollout", "list"}, program.ExitOK, "drafter\tv2\tActive\t0.05\t3\t2\t5m0s\t4m0s\n", ""},
		{"list as JSON", []string{"--json", "rollout", "list"}, program.ExitOK, `"State": "Active"`, ""},
		{"show", []string{"rollout", "show", "drafter"}, program.ExitOK, "drafter\tv2\tActive", ""},
		{"show as JSON", []string{"rollout", "show", "drafter", "--json"}, program.ExitOK, `"Share": 0.05`, ""},
		{"show a service without roll-outs", []string{"rollout", "show", "permit-desk"}, program.ExitError, "", "has had no roll-out"},
		{"start", []string{"rollout", "start", "drafter", "v2", "--within", "5m"}, program.ExitOK, "roll-out 3 of service drafter to version v2 is Active\n", ""},
		{"start as JSON", []string{"rollout", "start", "drafter", "v2", "--within", "5m", "--json"}, program.ExitOK, `"Number": 3`, ""},
		{"start another version", []string{"rollout", "start", "drafter", "v3", "--within", "5m"}, program.ExitError, "", `is being moved to version "v2"`},
		{"start an unknown service", []string{"rollout", "start", "nothing", "v2", "--within", "5m"}, program.ExitError, "", "has no such service"},
		{"start without a time limit", []string{"rollout", "start", "drafter", "v2"}, program.ExitUsage, "", "--within"},
		{"start with a time limit of 0", []string{"rollout", "start", "drafter", "v2", "--within", "0s"}, program.ExitUsage, "", "must be more than 0"},
		{"help", []string{"rollout", "start", "--help"}, program.ExitOK, "fuchsiashed rollout start drafter v2 --within 5m", ""},
	} {
		convey.Convey(tt.name, t, func() {
			io, _, out, errOut := iostreams.Test()
			code := root.Main(io, append([]string{"--control", address, "--timeout", "3s"}, tt.args...))
			convey.So(errOut.String(), convey.ShouldContainSubstring, tt.err)
			convey.So(out.String(), convey.ShouldContainSubstring, tt.out)
			convey.So(code, convey.ShouldEqual, tt.code)
		})
	}
}
