package forward_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// sendHook is a log handler that calls a function once, after a target has been chosen for a
// request and before the request is written.
type sendHook struct {
	slog.Handler
	once     sync.Once
	onChoice func(chosen fleet.TargetID)
}

// Enabled implements slog.Handler.
func (h *sendHook) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h *sendHook) Handle(_ context.Context, r slog.Record) error {
	if r.Message != logevent.RequestSent {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == logevent.FieldTarget {
			h.once.Do(func() { h.onChoice(fleet.TargetID(a.Value.String())) })
		}
		return true
	})
	return nil
}

// TestTargetLeavesBeforeTheWrite guards against a request that a router short of processor time
// writes seconds after it has chosen the target, which has left meanwhile (DRAIN, EVAC).
func TestTargetLeavesBeforeTheWrite(t *testing.T) {
	targets := func(n fleet.TargetsNotice) fleet.Event { return placement.TargetsNoticeReceived{TargetsNotice: n} }
	changes := map[string]func(chosen fleet.TargetID) fleet.Event{
		"leaves": func(id fleet.TargetID) fleet.Event {
			return targets(fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: fleet.Announcement{
				Target: id, Incarnation: 1, Sequence: 2, Service: "desk", DataCentre: "a", Slots: 4, State: fleet.TargetLeaving,
			}}}})
		},
		"has ended": func(id fleet.TargetID) fleet.Event {
			return targets(fleet.TargetsNotice{Ended: []fleet.TargetEnd{{Target: id, Incarnation: 1}}})
		},
		"says in a response that it leaves": func(id fleet.TargetID) fleet.Event {
			return placement.ResponseReceived{Target: id, Incarnation: 1, Leaving: true}
		},
		"wants no requests for a time": func(id fleet.TargetID) fleet.Event {
			return placement.ResponseReceived{Target: id, Incarnation: 1, RetryAfter: time.Minute}
		},
	}
	for name, change := range changes {
		convey.Convey("A run-once request whose target "+name+" goes to another target", t, func() {
			a, b := newFakeTarget(respondOK("x")), newFakeTarget(respondOK("x"))
			hook := &sendHook{}
			f := newFixtureWith(fixtureOptions{log: hook}, deployment.KindAtMostOnce, 1, false, a, b)
			var left fleet.TargetID
			hook.onChoice = func(chosen fleet.TargetID) {
				left = chosen
				f.forwarder.Reduce(change(chosen))
			}
			status, _, err := f.post("id-1", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(map[fleet.TargetID]int{"t-0": a.count(), "t-1": b.count()}[left], convey.ShouldEqual, 0)
			convey.So(a.count()+b.count(), convey.ShouldEqual, 1)
		})
	}
	convey.Convey("A request is refused if the data centre of all targets is taken out", t, func() {
		a := newFakeTarget(respondOK("x"))
		hook := &sendHook{}
		f := newFixtureWith(fixtureOptions{log: hook}, deployment.KindAtMostOnce, 1, false, a)
		hook.onChoice = func(fleet.TargetID) {
			f.forwarder.Reduce(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{"a"}})
		}
		status, _, err := f.post("id-1", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(a.count(), convey.ShouldEqual, 0)
	})
}
