package dispatchercmd

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const fleetText = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[Service drafter]
Protocol = Model
MaxCost = 4000
[Customer riga-centrs]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// fakeControl is a control quorum with one lease and one fixed configuration.
type fakeControl struct {
	mu       sync.Mutex
	holder   fleet.HostID
	epoch    fleet.Epoch
	leaseEnd time.Time
}

func (c *fakeControl) Handle(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodState:
		return fleet.StateReply{Version: 1, Hash: fleettext.Hash(fleetText), Validity: 3 * time.Second}, nil
	case fleet.MethodText:
		return fleet.TextReply{Version: 1, Hash: fleettext.Hash(fleetText), Text: fleetText}, nil
	case fleet.MethodLease:
		var req fleet.LeaseRequest
		if err := fleet.Decode(params, &req); err != nil {
			return nil, err
		}
		return c.lease(&req), nil
	}
	return nil, errors.Errorf("method %q does not exist", method)
}

func (c *fakeControl) lease(req *fleet.LeaseRequest) fleet.LeaseReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	renewal := req.Holder == c.holder && req.Epoch == c.epoch && now.Before(c.leaseEnd)
	switch {
	case req.Release:
		c.leaseEnd = now
		return fleet.LeaseReply{Holder: c.holder, Epoch: c.epoch}
	case !renewal && now.Before(c.leaseEnd):
		return fleet.LeaseReply{Holder: c.holder, Epoch: c.epoch}
	case !renewal:
		c.holder = req.Holder
		c.epoch++
	}
	c.leaseEnd = now.Add(req.Duration)
	return fleet.LeaseReply{Granted: true, Holder: c.holder, Epoch: c.epoch, Duration: req.Duration}
}

// fakeRouter reports one target and its tickets to a dispatcher and collects the messages
// that the dispatcher sends.
type fakeRouter struct {
	client   *rpc.Client
	messages chan fleet.DispatcherGrants

	mu             sync.Mutex
	sequence       fleet.Sequence
	epoch          fleet.Epoch
	sendFull       bool
	pendingTickets []fleet.Ticket
	target         fleet.Announcement
}

func newFakeRouter(t *testing.T, dispatcher netip.AddrPort) *fakeRouter {
	r := &fakeRouter{messages: make(chan fleet.DispatcherGrants, 100), sendFull: true, target: fleet.Announcement{
		Target: "drafter-1", Incarnation: 1, Service: "drafter", DataCentre: "riga-a",
		Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 4, State: fleet.TargetServing,
	}}
	r.client = rpc.NewClient(rpc.ClientConfig{
		Address: dispatcher, Handler: rpc.HandlerFunc(r.handle), Log: slog.New(slog.DiscardHandler),
	})
	r.client.Start()
	stop := make(chan struct{})
	go r.run(stop)
	t.Cleanup(func() {
		close(stop)
		r.client.Stop()
	})
	return r
}

func (r *fakeRouter) handle(_ context.Context, _ fleet.Caller, _ string, params json.RawMessage) (any, error) {
	var m fleet.DispatcherGrants
	if err := fleet.Decode(params, &m); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.epoch = max(r.epoch, m.Epoch)
	r.sendFull = r.sendFull || m.Resync
	r.pendingTickets = slices.DeleteFunc(r.pendingTickets, func(t fleet.Ticket) bool {
		return slices.ContainsFunc(m.Grants, func(g fleet.Grant) bool { return g.Ticket == t.ID })
	})
	r.mu.Unlock()
	r.messages <- m
	return nil, nil
}

func (r *fakeRouter) run(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.report(fleet.RouterReport{})
		}
	}
}

func (r *fakeRouter) report(m fleet.RouterReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.client.Connected() {
		return
	}
	r.sequence++
	r.target.Sequence++
	m.Router, m.Incarnation, m.DataCentre, m.Sequence, m.Epoch = "router-1", 1, "riga-a", r.sequence, r.epoch
	m.Targets = []fleet.Announcement{r.target}
	m.Full = r.sendFull
	r.pendingTickets = append(r.pendingTickets, m.Tickets...)
	if m.Full {
		m.Tickets = r.pendingTickets
	}
	r.sendFull = r.client.Notify(context.Background(), fleet.MethodReport, &m) != nil
}

// waitFor returns the first message that ok accepts, and fails the test after within.
func (r *fakeRouter) waitFor(t *testing.T, within time.Duration, ok func(*fleet.DispatcherGrants) bool) fleet.DispatcherGrants {
	t.Helper()
	deadline := time.After(within)
	for {
		select {
		case m := <-r.messages:
			if ok(&m) {
				return m
			}
		case <-deadline:
			t.Fatal("no matching message from the dispatcher in time")
		}
	}
}
