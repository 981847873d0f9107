package root_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/root"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// writeRouterLog writes an event log in which one request arrives while no dispatcher is
// active, and returns its path.
func writeRouterLog(t *testing.T) string {
	f, err := fleettext.Parse("fleet text", fleetText)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	w := eventlog.NewWriter(&b)
	start := time.Unix(1000, 0).UTC()
	for _, e := range []struct {
		after time.Duration
		event fleet.Event
	}{
		{0, routing.ConfigConfirmed{Config: fleet.Confirmed{Version: 1, Fleet: f}, NotAfter: start.Add(time.Hour)}},
		{0, routing.DispatcherUp{Peer: "127.0.0.1:7111"}},
		{time.Millisecond, routing.RequestAccepted{Request: "r1", Customer: "cafe", Service: "permit-desk", Idempotent: true, Content: "c1"}},
		{time.Minute, routing.Tick{}},
	} {
		if err := w.Write(start.Add(e.after), e.event); err != nil {
			t.Fatal(err)
		}
	}
	path := t.TempDir() + "/router.events"
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func runReplay(args ...string) (code int, out, errOut string) {
	io, _, outBuf, errBuf := iostreams.Test()
	code = root.Main(io, append([]string{"replay"}, args...))
	return code, outBuf.String(), errBuf.String()
}

func TestReplay(t *testing.T) {
	convey.Convey("A log is replayed against its stated outcome", t, func() {
		log := writeRouterLog(t)
		code, _, errOut := runReplay(log)
		convey.So(code, convey.ShouldEqual, program.ExitUsage)
		convey.So(errOut, convey.ShouldContainSubstring, "write it with --write")
		code, out, errOut := runReplay("--write", log)
		convey.So(errOut, convey.ShouldBeEmpty)
		convey.So(code, convey.ShouldEqual, program.ExitOK)
		convey.So(out, convey.ShouldContainSubstring, "states the outcome")
		code, out, _ = runReplay(log)
		convey.So(code, convey.ShouldEqual, program.ExitOK)
		convey.So(out, convey.ShouldContainSubstring, "ends as stated")

		raw, err := os.ReadFile(log + ".outcome.json")
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(raw), convey.ShouldContainSubstring, `"Refused NoDispatcher": 1`)
		wrong := strings.Replace(string(raw), `NoDispatcher": 1`, `NoDispatcher": 2`, 1)
		convey.So(os.WriteFile(log+".outcome.json", []byte(wrong), 0o600), convey.ShouldBeNil)
		code, _, errOut = runReplay(log)
		convey.So(code, convey.ShouldEqual, program.ExitError)
		convey.So(errOut, convey.ShouldContainSubstring, "Refused NoDispatcher: 2 stated, 1 replayed")
	})
}
