package dispatchercmd

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

func startControl(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	srv := rpc.NewServer(rpc.ServerConfig{Address: addr, Handler: &fakeControl{}, Log: slog.New(slog.DiscardHandler)})
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
}

func startDispatcher(t *testing.T, host fleet.HostID, listen, admin, control netip.AddrPort) *fxtest.App {
	t.Helper()
	cfg := &settingsFile{
		Host:       program.HostSection{Host: host, DataCentre: "riga-a", Admin: admin},
		Dispatcher: dispatcherSection{Listen: listen, LeaseDuration: time.Second},
		Control:    program.ControlSection{Replicas: []netip.AddrPort{control}},
	}
	app := fxtest.New(
		t, fx.NopLogger, fx.Supply(slog.New(slog.DiscardHandler)),
		fx.Supply(fx.Annotate(fleet.SystemClock{}, fx.As(new(fleet.Clock)))), modules(cfg),
	)
	app.RequireStart()
	return app
}

func localAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

func hasGrant(m *fleet.DispatcherGrants) bool { return len(m.Grants) > 0 }

func testTicket(id fleet.TicketID) fleet.Ticket {
	return fleet.Ticket{
		ID: id, Request: fleet.RequestID(id), Customer: "riga-centrs", Service: "drafter", DataCentre: "riga-a",
		Content: "c", Attempt: 1, Patience: time.Minute,
	}
}

func TestGrantOnSameConnection(t *testing.T) {
	startControl(t, localAddress(22001))
	first := startDispatcher(t, "dispatcher-1", localAddress(22002), localAddress(22003), localAddress(22001))
	defer first.RequireStop()
	router := newFakeRouter(t, localAddress(22002))

	convey.Convey("The lease holder grants a ticket over the connection that the report came on", t, func() {
		router.waitFor(t, 5*time.Second, func(m *fleet.DispatcherGrants) bool { return m.Resync })
		router.report(fleet.RouterReport{Tickets: []fleet.Ticket{testTicket("t1")}})
		m := router.waitFor(t, 5*time.Second, hasGrant)
		convey.So(m.Grants[0].Target, convey.ShouldEqual, fleet.TargetID("drafter-1"))
		convey.So(m.Epoch, convey.ShouldEqual, fleet.Epoch(1))

		var targets []fleet.TargetStatus
		getJSON(t, "http://127.0.0.1:22003"+fleet.PathTargets, &targets)
		convey.So(len(targets), convey.ShouldEqual, 1)
		convey.So(targets[0].InUse, convey.ShouldEqual, fleet.Slots(1))
		var decisions []fleet.Decision
		getJSON(t, "http://127.0.0.1:22003"+fleet.PathExplain+"t1", &decisions)
		convey.So(decisions[0].Event, convey.ShouldEqual, "Granted")
	})
}

func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}

func TestStopReleasesLease(t *testing.T) {
	startControl(t, localAddress(22011))
	first := startDispatcher(t, "dispatcher-1", localAddress(22012), localAddress(22013), localAddress(22011))
	router := newFakeRouter(t, localAddress(22012))
	router.waitFor(t, 5*time.Second, func(m *fleet.DispatcherGrants) bool { return m.Epoch == 1 })
	second := startDispatcher(t, "dispatcher-2", localAddress(22014), localAddress(22015), localAddress(22011))
	defer second.RequireStop()
	other := newFakeRouter(t, localAddress(22014))

	convey.Convey("After a planned stop a successor gets the lease within its duration", t, func() {
		start := time.Now()
		first.RequireStop()
		other.waitFor(t, 5*time.Second, func(m *fleet.DispatcherGrants) bool { return m.Epoch == 2 })
		convey.So(time.Since(start), convey.ShouldBeLessThan, time.Second)
		other.report(fleet.RouterReport{Tickets: []fleet.Ticket{testTicket("t2")}})
		m := other.waitFor(t, 5*time.Second, hasGrant)
		convey.So(m.Dispatcher, convey.ShouldEqual, fleet.HostID("dispatcher-2"))
	})
}

func TestMalformedReportIsRefused(t *testing.T) {
	startControl(t, localAddress(22021))
	app := startDispatcher(t, "dispatcher-1", localAddress(22022), localAddress(22023), localAddress(22021))
	defer app.RequireStop()
	router := newFakeRouter(t, localAddress(22022))

	convey.Convey("A malformed report changes nothing and does not affect other reports", t, func() {
		router.waitFor(t, 5*time.Second, func(m *fleet.DispatcherGrants) bool { return m.Epoch == 1 })
		for _, m := range []fleet.RouterReport{{Router: "router-2"}, {Router: "!", Incarnation: 1, Sequence: 1, DataCentre: "riga-a"}} {
			convey.So(router.client.Notify(t.Context(), fleet.MethodReport, &m), convey.ShouldBeNil)
		}
		router.report(fleet.RouterReport{Tickets: []fleet.Ticket{testTicket("t3")}})
		router.waitFor(t, 5*time.Second, hasGrant)
		var customers []fleet.CustomerStatus
		getJSON(t, "http://127.0.0.1:22023"+fleet.PathCustomers, &customers)
		convey.So(len(customers), convey.ShouldEqual, 1)
		var status fleet.ProcessStatus
		getJSON(t, "http://127.0.0.1:22023"+fleet.PathStatus, &status)
		convey.So(status.Active, convey.ShouldEqual, fleet.HostID("dispatcher-1"))
		convey.So(status.Running, convey.ShouldEqual, 1)
	})
}
