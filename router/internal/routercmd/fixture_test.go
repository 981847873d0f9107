package routercmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// fixture is a router with fake control, dispatcher and targets.
type fixture struct {
	control    *fakeControl
	dispatcher *fakeDispatcher
	url        string
	admin      string
	announce   string
	app        *fx.App
	force      chan struct{}
}

// Ports of the tests are below the ephemeral range, from which an outgoing connection
// could take a port between freeAddr and its use.
const (
	firstPort = 23000
	lastPort  = 23999
)

// nextPort counts the ports that have been tried.
var nextPort atomic.Int64

func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid()))%(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return ln.Addr().(*net.TCPAddr).AddrPort()
	}
	t.Fatalf("no port from %d to %d is free", firstPort, lastPort)
	return netip.AddrPort{}
}

func startFixture(t testing.TB) *fixture {
	t.Helper()
	return startFixtureWithText(t, testText)
}

// startFixtureWithText starts a router with the given fleet configuration.
func startFixtureWithText(t testing.TB, text string) *fixture {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	f := &fixture{
		control:    &fakeControl{text: text, ledger: map[fleet.LedgerKey]*fakeCall{}, notRun: map[fleet.AttemptID]bool{}, hosts: map[fleet.HostID]fleet.HostState{}},
		dispatcher: &fakeDispatcher{targets: map[fleet.ServiceName][]netip.AddrPort{}},
		force:      make(chan struct{}),
	}
	f.control.srv = rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(f.control.handle)})
	f.dispatcher.srv = rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(f.dispatcher.handle)})
	for _, s := range []*rpc.Server{f.control.srv, f.dispatcher.srv} {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
	}
	var s Settings
	s.Host = program.HostSection{Host: "router-1", DataCentre: "riga-a", Admin: freeAddr(t)}
	s.Router = RouterSection{Callers: freeAddr(t), Targets: freeAddr(t), StopLimit: 10 * time.Second, BodyGrace: testBodyGrace, WriteTimeout: time.Second, MaxConnections: 500}
	s.Control.Replicas = []netip.AddrPort{f.control.srv.Addr()}
	s.Dispatchers.Addresses = []netip.AddrPort{f.dispatcher.srv.Addr()}
	f.url, f.admin, f.announce = "http://"+s.Router.Callers.String(), "http://"+s.Host.Admin.String(), "http://"+s.Router.Targets.String()
	f.app = fx.New(
		fx.Supply(slog.New(slog.DiscardHandler), program.ForceStop(f.force)),
		fx.Supply(fx.Annotate(fleet.SystemClock{}, fx.As(new(fleet.Clock)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		modules(s),
	)
	if err := f.app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.waitReady(t)
	return f
}

// waitReady waits until the router has a configuration and has reported to the
// dispatcher.
func (f *fixture) waitReady(t testing.TB) {
	t.Helper()
	for range 400 {
		f.dispatcher.mu.Lock()
		n := len(f.dispatcher.reports)
		f.dispatcher.mu.Unlock()
		resp, err := http.Get(f.url + "/v1/hosts")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && n > 1 {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("router did not become ready")
}

// eventually polls the check for up to 3 s and reports whether it held.
func eventually(check func() bool) bool {
	for range 300 {
		if check() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return check()
}

// stop ends the router by force.
func (f *fixture) stop(t testing.TB) {
	t.Helper()
	close(f.force)
	if err := f.app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// callResult is what a caller received.
type callResult struct {
	status int
	body   string
	err    error
	header http.Header
}

func (r callResult) verdict() string { return r.header.Get("Fuchsiashed-Verdict") }
func (r callResult) reason() string  { return r.header.Get("Fuchsiashed-Reason") }

func (f *fixture) call(method, path, body string, headers ...string) callResult {
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, body: string(got), err: err, header: resp.Header}
}
