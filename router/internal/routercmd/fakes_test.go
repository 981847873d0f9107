package routercmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
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

// fakeControl is a single control host that keeps the ledger in memory.
type fakeControl struct {
	srv  *rpc.Server
	text string

	mu   sync.Mutex
	down bool
	// loseBeginReplies loses the replies to begins after they have been recorded.
	loseBeginReplies bool
	// delayBegins handles a begin only after the end of the same attempt, as can happen
	// when both messages are in transit.
	delayBegins  bool
	delayedBegin *fleet.LedgerBeginRequest
	ledger       map[fleet.LedgerKey]*fakeCall
	// notRun holds the attempts that ended without a run. As in the registry, a later
	// begin of such an attempt starts nothing.
	notRun map[fleet.AttemptID]bool
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
		if f.delayBegins && !f.notRun[req.By] {
			f.delayedBegin = &req
			return nil, rpc.NewError(fleet.CodeUnavailable, "reply is lost", nil)
		}
		reply := f.begin(req)
		if f.loseBeginReplies {
			return nil, rpc.NewError(fleet.CodeUnavailable, "reply is lost", nil)
		}
		return reply, nil
	case fleet.MethodLedgerEnd:
		var req fleet.LedgerEndRequest
		if err := fleet.Decode(raw, &req); err != nil {
			return nil, err
		}
		reply := f.end(req)
		if f.delayedBegin != nil {
			f.begin(*f.delayedBegin)
			f.delayedBegin = nil
		}
		return reply, nil
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
	case f.notRun[req.By]:
		return fleet.LedgerBeginReply{State: fleet.LedgerRunning}
	case c == nil:
		f.ledger[req.LedgerKey] = &fakeCall{begin: req, state: fleet.LedgerRunning}
		return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
	case c.state == fleet.LedgerRunning && c.begin.By == req.By:
		return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
	case c.begin.Body != req.Body:
		return fleet.LedgerBeginReply{State: fleet.LedgerMismatch}
	}
	return fleet.LedgerBeginReply{State: c.state, Answer: c.answer}
}

func (f *fakeControl) end(req fleet.LedgerEndRequest) fleet.LedgerEndReply {
	f.ends = append(f.ends, req)
	c := f.ledger[req.LedgerKey]
	if req.Verdict == fleet.NotRun && (c == nil || c.begin.By == req.By) {
		f.notRun[req.By] = true
		delete(f.ledger, req.LedgerKey)
		return fleet.LedgerEndReply{Recorded: true}
	}
	if c == nil || c.begin.By != req.By {
		return fleet.LedgerEndReply{}
	}
	switch req.Verdict {
	case fleet.MayHaveRun:
		c.state = fleet.LedgerMayHaveRun
	case fleet.Ran:
		c.state, c.answer = fleet.LedgerDone, req.Answer
	}
	return fleet.LedgerEndReply{Recorded: true}
}

// delayedBeginHandled reports whether a delayed begin was handled after its end.
func (f *fakeControl) delayedBeginHandled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delayBegins && f.delayedBegin == nil
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
