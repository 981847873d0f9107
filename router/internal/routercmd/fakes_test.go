package routercmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const testBodyGrace = 500 * time.Millisecond

const (
	testKey  = "key-of-riga"
	testText = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[Service drafter]
Protocol = Model
Idempotent = POST /v1/chat/completions
MaxCost = 4000
IdleTimeout = 300ms
RequestTimeout = 20s
QueueTimeout = 3s
[Service desk]
Protocol = Plain
Idempotent = GET /status/*
MaxCost = 5000
IdleTimeout = 300ms
RequestTimeout = 3s
QueueTimeout = 1s
[Customer riga]
KeyHash = b49b68a26722e03fc65347f17f2ef6b457310c2af82bef948884cfe7cc7fdf02
[Policy]
MaxBody = 65536
QueueBytesPerRouter = 200000
ConnectionsPerCustomer = 16
HostsValidity = 200ms
`
)

// fakeControl is a quorum of one that keeps a ledger in memory.
type fakeControl struct {
	srv  *rpc.Server
	text string

	mu     sync.Mutex
	down   bool
	ledger map[fleet.LedgerKey]*fakeCall
	hosts  map[fleet.HostID]fleet.HostState
	ends   []fleet.LedgerEndRequest
}

type fakeCall struct {
	begin  fleet.LedgerBeginRequest
	state  fleet.LedgerState
	answer *fleet.RecordedAnswer
}

func (f *fakeControl) handle(_ context.Context, _ fleet.Caller, method string, raw json.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, rpc.NewError(fleet.CodeUnavailable, "no quorum", nil)
	}
	switch method {
	case fleet.MethodState:
		var req fleet.StateRequest
		if err := fleet.Decode(raw, &req); err != nil {
			return nil, err
		}
		return f.state(req), nil
	case fleet.MethodText:
		return fleet.TextReply{Version: 1, Hash: fleettext.Hash(f.text), Text: f.text}, nil
	case fleet.MethodLedgerBegin:
		var req fleet.LedgerBeginRequest
		if err := fleet.Decode(raw, &req); err != nil {
			return nil, err
		}
		return f.begin(req), nil
	case fleet.MethodLedgerEnd:
		var req fleet.LedgerEndRequest
		if err := fleet.Decode(raw, &req); err != nil {
			return nil, err
		}
		return f.end(req), nil
	}
	return nil, rpc.NewError(fleet.CodeInvalid, "unknown", nil)
}

func (f *fakeControl) state(req fleet.StateRequest) fleet.StateReply {
	f.hosts[req.Host] = fleet.HostState{Host: req.Host, Role: req.Role, Address: req.Address, DataCentre: req.DataCentre, Stopping: req.Stopping}
	reply := fleet.StateReply{Version: 1, Hash: fleettext.Hash(f.text), Validity: 3 * time.Second}
	for _, h := range f.hosts {
		reply.Hosts = append(reply.Hosts, h)
	}
	return reply
}

func (f *fakeControl) begin(req fleet.LedgerBeginRequest) fleet.LedgerBeginReply {
	c := f.ledger[req.LedgerKey]
	switch {
	case c == nil:
		f.ledger[req.LedgerKey] = &fakeCall{begin: req, state: fleet.LedgerRunning}
		return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
	case c.begin.Body != req.Body:
		return fleet.LedgerBeginReply{State: fleet.LedgerMismatch}
	}
	return fleet.LedgerBeginReply{State: c.state, Answer: c.answer}
}

func (f *fakeControl) end(req fleet.LedgerEndRequest) fleet.LedgerEndReply {
	f.ends = append(f.ends, req)
	c := f.ledger[req.LedgerKey]
	if c == nil || c.begin.By != req.By {
		return fleet.LedgerEndReply{}
	}
	switch req.Verdict {
	case fleet.NotRun:
		delete(f.ledger, req.LedgerKey)
	case fleet.MayHaveRun:
		c.state = fleet.LedgerMayHaveRun
	case fleet.Ran:
		c.state, c.answer = fleet.LedgerDone, req.Answer
	}
	return fleet.LedgerEndReply{Recorded: true}
}

func (f *fakeControl) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// fakeDispatcher grants every ticket a target of its service at once.
type fakeDispatcher struct {
	srv *rpc.Server

	mu       sync.Mutex
	targets  map[fleet.ServiceName][]netip.AddrPort
	standing []fleet.StandingGrant
	next     int
	silent   bool
	ended    []fleet.GrantEnd
	tickets  []fleet.Ticket
	reports  []fleet.RouterReport
}

func (f *fakeDispatcher) handle(ctx context.Context, peer fleet.Caller, _ string, raw json.RawMessage) (any, error) {
	var rep fleet.RouterReport
	if err := fleet.Decode(raw, &rep); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, rep.Ended...)
	f.tickets = append(f.tickets, rep.Tickets...)
	f.reports = append(f.reports, rep)
	if f.silent {
		return nil, nil
	}
	m := fleet.DispatcherGrants{
		Dispatcher: "dispatcher-1", Epoch: 1, Version: 1, Router: rep.Router, RouterIncarnation: rep.Incarnation,
		Ack: rep.Sequence, Validity: 2 * time.Second, StandingSet: true, Standing: f.standing,
	}
	for _, t := range rep.Tickets {
		list := f.targets[t.Service]
		if len(list) == 0 {
			m.Refusals = append(m.Refusals, fleet.TicketRefusal{Ticket: t.ID, Reason: fleet.ReasonNoTarget, Detail: "none", RetryAfter: time.Second})
			continue
		}
		f.next++
		m.Grants = append(m.Grants, fleet.Grant{
			ID: fleet.GrantID(fmt.Sprintf("g%d", f.next)), Ticket: t.ID, Target: "target-1", Incarnation: 1,
			Address: list[f.next%len(list)],
		})
	}
	return nil, peer.Notify(ctx, fleet.MethodGrants, &m)
}

func (f *fakeDispatcher) outcomes() []fleet.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []fleet.Outcome
	for _, e := range f.ended {
		list = append(list, e.Outcome)
	}
	return list
}

// script answers one request on a raw connection of a fake target.
type script func(t *fakeTarget, c net.Conn, r *http.Request, body string)

// fakeTarget is a target whose answers are written byte by byte by a script.
type fakeTarget struct {
	ln   net.Listener
	addr netip.AddrPort

	mu     sync.Mutex
	script script
	seen   []string
	ids    []string
	conns  int
}

func newFakeTarget(t testing.TB, s script) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{ln: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort(), script: s}
	go f.accept()
	t.Cleanup(func() { _ = ln.Close() })
	return f
}

func (f *fakeTarget) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns++
		f.mu.Unlock()
		go f.serve(c)
	}
}

func (f *fakeTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := newReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.seen = append(f.seen, r.Method+" "+r.RequestURI)
		f.ids = append(f.ids, r.Header.Get("Fuchsiashed-Request-Id"))
		s := f.script
		f.mu.Unlock()
		s(f, c, r, string(body))
	}
}

// runs counts the requests that were not about streams.
func (f *fakeTarget) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.seen {
		if !strings.Contains(s, "/v1/streams/") {
			n++
		}
	}
	return n
}

func (f *fakeTarget) saw(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.seen {
		if strings.HasPrefix(s, prefix) {
			return true
		}
	}
	return false
}

// world is a router among fakes.
type world struct {
	control    *fakeControl
	dispatcher *fakeDispatcher
	url        string
	admin      string
	announce   string
	app        *fx.App
	force      chan struct{}
}

func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func startWorld(t testing.TB) *world {
	t.Helper()
	return startWorldWith(t, testText)
}

// startWorldWith starts a router under a fleet text.
func startWorldWith(t testing.TB, text string) *world {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	w := &world{
		control:    &fakeControl{text: text, ledger: map[fleet.LedgerKey]*fakeCall{}, hosts: map[fleet.HostID]fleet.HostState{}},
		dispatcher: &fakeDispatcher{targets: map[fleet.ServiceName][]netip.AddrPort{}},
		force:      make(chan struct{}),
	}
	w.control.srv = rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(w.control.handle)})
	w.dispatcher.srv = rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(w.dispatcher.handle)})
	for _, s := range []*rpc.Server{w.control.srv, w.dispatcher.srv} {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
	}
	var s Settings
	s.Host = program.HostSection{Host: "router-1", DataCentre: "riga-a", Admin: freeAddr(t)}
	s.Router = RouterSection{Callers: freeAddr(t), Targets: freeAddr(t), StopLimit: 10 * time.Second, BodyGrace: testBodyGrace, WriteTimeout: time.Second, MaxConnections: 500}
	s.Control.Replicas = []netip.AddrPort{w.control.srv.Addr()}
	s.Dispatchers.Addresses = []netip.AddrPort{w.dispatcher.srv.Addr()}
	w.url, w.admin, w.announce = "http://"+s.Router.Callers.String(), "http://"+s.Host.Admin.String(), "http://"+s.Router.Targets.String()
	w.app = fx.New(
		fx.Supply(slog.New(slog.DiscardHandler), program.Force(w.force)),
		fx.Supply(fx.Annotate(fleet.SystemClock{}, fx.As(new(fleet.Clock)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		modules(s),
	)
	if err := w.app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.waitReady(t)
	return w
}

// waitReady waits until the router has a configuration and a dispatcher.
func (w *world) waitReady(t testing.TB) {
	t.Helper()
	for range 400 {
		w.dispatcher.mu.Lock()
		n := len(w.dispatcher.reports)
		w.dispatcher.mu.Unlock()
		resp, err := http.Get(w.url + "/v1/hosts")
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

// end stops the router at once.
func (w *world) end(t testing.TB) {
	t.Helper()
	close(w.force)
	if err := w.app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// answer is what a caller got.
type answerGot struct {
	status int
	body   string
	err    error
	header http.Header
}

func (a answerGot) verdict() string { return a.header.Get("Fuchsiashed-Verdict") }
func (a answerGot) reason() string  { return a.header.Get("Fuchsiashed-Reason") }

func (w *world) call(method, path, body string, headers ...string) answerGot {
	r, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		return answerGot{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answerGot{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return answerGot{status: resp.StatusCode, body: string(got), err: err, header: resp.Header}
}
