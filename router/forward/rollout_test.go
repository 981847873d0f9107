package forward_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// lineRecorder is a log handler that keeps the attributes of each line by its event.
type lineRecorder struct {
	slog.Handler
	mu    sync.Mutex
	lines map[string][]map[string]string
}

// Enabled implements slog.Handler.
func (h *lineRecorder) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h *lineRecorder) Handle(_ context.Context, r slog.Record) error {
	line := map[string]string{}
	r.Attrs(func(a slog.Attr) bool {
		line[a.Key] = a.Value.String()
		return true
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines[r.Message] = append(h.lines[r.Message], line)
	return nil
}

// TestRolloutIsLogged guards against requests of a roll-out whose side cannot be told from the log.
func TestRolloutIsLogged(t *testing.T) {
	convey.Convey("The log has each change of a roll-out and the side of each request", t, func() {
		log := &lineRecorder{lines: map[string][]map[string]string{}}
		f := newFixtureWith(fixtureOptions{log: log}, deployment.KindAtMostOnce, 1, false, newFakeTarget(respondOK("x"), respondOK("x")))
		_, _, err := f.post("id-0", "")
		convey.So(err, convey.ShouldBeNil)
		f.forwarder.Reduce(placement.RolloutsNoticed{Control: netip.MustParseAddrPort("127.0.0.1:1"), Confirmed: true, Rollouts: []fleet.Rollout{
			{Service: "desk", To: "v2", Number: 7, Revision: 3, State: fleet.RolloutActive, Share: 0.25},
		}})
		_, _, err = f.post("id-1", "")
		convey.So(err, convey.ShouldBeNil)
		log.mu.Lock()
		defer log.mu.Unlock()
		sent := log.lines[logevent.RequestSent]
		convey.So(len(sent), convey.ShouldEqual, 2)
		convey.So(sent[0], convey.ShouldNotContainKey, logevent.FieldRolloutSide)
		convey.So(sent[1][logevent.FieldRolloutSide], convey.ShouldBeIn, string(placement.SideOld), string(placement.SideNewUnavailable))
		applied := log.lines[logevent.RolloutApplied]
		convey.So(len(applied), convey.ShouldEqual, 1)
		for _, line := range []map[string]string{sent[1], applied[0]} {
			convey.So(line[logevent.FieldRollout], convey.ShouldEqual, "7")
			convey.So(line[logevent.FieldRolloutRevision], convey.ShouldEqual, "3")
			convey.So(line[logevent.FieldRolloutShare], convey.ShouldEqual, "0.25")
		}
	})
}
