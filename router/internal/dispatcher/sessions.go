// Package dispatcher keeps the router's connections to the dispatchers.
package dispatcher

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// maxQueuedReports bounds the reports that wait to be sent to one dispatcher. Further
// ones are dropped and reported to the reducer by ReportLost; it then sends a full
// report.
const maxQueuedReports = 256

// Poster passes events to the reducer.
type Poster interface {
	Post(ev fleet.Event)
}

// Config configures Sessions.
type Config struct {
	Addresses []netip.AddrPort
	Events    Poster
	Traffic   *rpc.Traffic
	Log       *slog.Logger
}

// Sessions holds the connections to all dispatchers.
type Sessions struct {
	cfg   Config
	peers map[routing.Peer]*session
}

// session is the connection to one dispatcher.
type session struct {
	name   routing.Peer
	client *rpc.Client
	queue  chan fleet.RouterReport
	events Poster
	done   chan struct{}
	wg     sync.WaitGroup
}

// Names returns the names that the reducer uses for the dispatchers at the addresses.
func Names(addresses []netip.AddrPort) []routing.Peer {
	names := make([]routing.Peer, 0, len(addresses))
	for _, a := range addresses {
		names = append(names, routing.Peer(a.String()))
	}
	return names
}

// New returns Sessions. Start begins to connect.
func New(cfg Config) *Sessions {
	s := &Sessions{cfg: cfg, peers: map[routing.Peer]*session{}}
	for i, name := range Names(cfg.Addresses) {
		s.peers[name] = newSession(cfg, name, cfg.Addresses[i])
	}
	return s
}

func newSession(cfg Config, name routing.Peer, addr netip.AddrPort) *session {
	s := &session{
		name: name, events: cfg.Events,
		queue: make(chan fleet.RouterReport, maxQueuedReports), done: make(chan struct{}),
	}
	s.client = rpc.NewClient(rpc.ClientConfig{
		Address:      addr,
		Handler:      rpc.HandlerFunc(s.handle),
		OnConnect:    func(fleet.Caller) { cfg.Events.Post(routing.DispatcherUp{Peer: name}) },
		OnDisconnect: func(error) { cfg.Events.Post(routing.DispatcherDown{Peer: name}) },
		Traffic:      cfg.Traffic,
		Log:          cfg.Log,
	})
	return s
}

// Start connects to all dispatchers in the background, and reconnects until Stop.
func (s *Sessions) Start() {
	for _, p := range s.peers {
		p.wg.Add(1)
		go p.sendReports()
		p.client.Start()
	}
}

// Stop closes all connections and waits for the senders to end.
func (s *Sessions) Stop() {
	for _, p := range s.peers {
		p.client.Stop()
		close(p.done)
		p.wg.Wait()
	}
}

// Perform implements engine.Performer for SendReport.
func (s *Sessions) Perform(e fleet.Effect) {
	rep, ok := e.(routing.SendReport)
	if !ok {
		return
	}
	p := s.peers[rep.To]
	select {
	case p.queue <- rep.Report:
	default:
		s.cfg.Events.Post(routing.ReportLost{Peer: rep.To})
	}
}

func (s *session) sendReports() {
	defer s.wg.Done()
	for {
		select {
		case <-s.done:
			return
		case rep := <-s.queue:
			if err := s.client.Notify(context.Background(), fleet.MethodReport, &rep); err != nil {
				s.events.Post(routing.ReportLost{Peer: s.name})
			}
		}
	}
}

func (s *session) handle(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method != fleet.MethodGrants {
		return nil, errors.Errorf("method %q does not exist", method)
	}
	var m fleet.DispatcherGrants
	if err := fleet.Decode(params, &m); err != nil {
		return nil, err
	}
	s.events.Post(routing.GrantsReceived{Peer: s.name, Message: m})
	return nil, nil
}
