package routercmd

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

type netConn = net.Conn

// announceTarget posts an announcement of a target to the router and returns the
// status.
func (f *fixture) announceTarget(t *testing.T, addr netip.AddrPort, seq fleet.Sequence) int {
	t.Helper()
	raw, err := json.Marshal(fleet.Announcement{
		Target: "target-1", Incarnation: 1, Sequence: seq, Service: "desk", DataCentre: "riga-a",
		Address: addr, Slots: 4, State: fleet.TargetServing,
	})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(f.announce+"/v1/targets", "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestCutOffFromDispatcher(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	target := newFakeTarget(t, plainAnswer("filed"))
	convey.Convey("Announcements are relayed to the dispatcher", t, func() {
		convey.So(f.announceTarget(t, target.addr, 1), convey.ShouldEqual, http.StatusNoContent)
		time.Sleep(50 * time.Millisecond)
		f.dispatcher.mu.Lock()
		defer f.dispatcher.mu.Unlock()
		found := false
		for _, r := range f.dispatcher.reports {
			found = found || len(r.Targets) == 1 && r.Targets[0].Target == "target-1"
		}
		convey.So(found, convey.ShouldBeTrue)
	})
	convey.Convey("While the dispatcher does not respond, requests run on standing grants until these expire", t, func() {
		f.dispatcher.mu.Lock()
		f.dispatcher.standing = []fleet.StandingGrant{{ID: "s1", Service: "desk", Target: "target-1", Incarnation: 1, Address: target.addr, Slots: 1}}
		f.dispatcher.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		f.dispatcher.mu.Lock()
		f.dispatcher.silent = true
		f.dispatcher.mu.Unlock()
		f.announceTarget(t, target.addr, 2)
		a := f.call("GET", "/services/desk/status/1", "")
		convey.So(a.status, convey.ShouldEqual, 200)
		time.Sleep(2 * time.Second)
		f.announceTarget(t, target.addr, 3)
		b := f.call("GET", "/services/desk/status/2", "", "Fuchsiashed-Deadline", "800ms")
		convey.So(b.verdict(), convey.ShouldEqual, "NotRun")
		convey.So(target.runs(), convey.ShouldEqual, 1)
	})
	convey.Convey("Without a dispatcher and standing grants, requests are refused at once", t, func() {
		time.Sleep(3 * time.Second)
		began := time.Now()
		a := f.call("GET", "/services/desk/status/3", "")
		convey.So(a.reason(), convey.ShouldEqual, "NoDispatcher")
		convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
		convey.So(time.Since(began), convey.ShouldBeLessThan, 200*time.Millisecond)
	})
}

func TestCutOffFromControl(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	target := newFakeTarget(t, plainAnswer("filed"))
	f.dispatcher.setTargets("desk", target.addr)
	convey.Convey("A run-once call runs while control is reachable", t, func() {
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "ran")
		convey.So(a.status, convey.ShouldEqual, 200)
	})
	f.control.setDown(true)
	convey.Convey("Without the ledger a run-once call is refused as MayHaveRun, since it may repeat one that ran", t, func() {
		for _, key := range []string{"ran", "away"} {
			a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", key, "Fuchsiashed-Deadline", "1s")
			convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
			convey.So(a.reason(), convey.ShouldBeIn, "NoControl", "Deadline")
		}
		convey.So(target.runs(), convey.ShouldEqual, 1)
	})
	convey.Convey("Once its configuration has expired, the router accepts no requests", t, func() {
		time.Sleep(3 * time.Second)
		a := f.call("GET", "/services/desk/status/1", "")
		convey.So(a.reason(), convey.ShouldEqual, "ConfigUnconfirmed")
		convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
	})
	convey.Convey("Once control is back, the router accepts requests and the key can be used", t, func() {
		f.control.setDown(false)
		time.Sleep(1500 * time.Millisecond)
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "away")
		convey.So(a.status, convey.ShouldEqual, 200)
	})
}

func TestLedgerReplyLost(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	target := newFakeTarget(t, plainAnswer("filed"))
	f.dispatcher.setTargets("desk", target.addr)
	convey.Convey("A begin whose reply was lost does not block the key", t, func() {
		f.control.mu.Lock()
		f.control.loseBeginReplies = true
		f.control.mu.Unlock()
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "lost", "Fuchsiashed-Deadline", "500ms")
		convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
		f.control.mu.Lock()
		f.control.loseBeginReplies = false
		f.control.mu.Unlock()
		free := eventually(func() bool {
			return f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "lost").status == 200
		})
		convey.So(free, convey.ShouldBeTrue)
		convey.So(target.runs(), convey.ShouldEqual, 1)
	})
	convey.Convey("A begin that is handled after its end does not block the key", t, func() {
		f.control.mu.Lock()
		f.control.delayBegins = true
		f.control.mu.Unlock()
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "late", "Fuchsiashed-Deadline", "500ms")
		convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
		convey.So(eventually(f.control.delayedBeginHandled), convey.ShouldBeTrue)
		f.control.mu.Lock()
		f.control.delayBegins = false
		f.control.mu.Unlock()
		free := eventually(func() bool {
			return f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "late").status == 200
		})
		convey.So(free, convey.ShouldBeTrue)
		convey.So(target.runs(), convey.ShouldEqual, 2)
	})
}
