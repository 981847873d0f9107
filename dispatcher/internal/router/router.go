// Package router handles the connections of routers to a dispatcher.
package router

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/loop"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Config configures a Server.
type Config struct {
	Address netip.AddrPort
	Loop    *loop.Loop
	Clock   fleet.Clock
	Traffic *rpc.Traffic
	Log     *slog.Logger
}

// Server receives reports from routers and sends them grants. It is safe for concurrent use.
type Server struct {
	cfg       Config
	rpc       *rpc.Server
	onVersion func(fleet.Version)

	mu sync.Mutex
	// links has the newest connection of each router, hosts the router of each connection.
	links   map[fleet.HostID]*link
	hosts   map[fleet.Caller]fleet.HostID
	stopped bool
}

// NewServer returns a Server; Start opens its listener.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, links: map[fleet.HostID]*link{}, hosts: map[fleet.Caller]fleet.HostID{}, onVersion: func(fleet.Version) {}}
	s.rpc = rpc.NewServer(rpc.ServerConfig{
		Address: cfg.Address, Handler: rpc.HandlerFunc(s.handle), OnDisconnect: s.disconnected, Traffic: cfg.Traffic, Log: cfg.Log,
	})
	return s
}

// SetVersionObserver sets the function that receives the configuration version of each
// report. Call it before Start.
func (s *Server) SetVersionObserver(f func(fleet.Version)) { s.onVersion = f }

// Start begins to accept connections of routers. It fails if the address is in use.
func (s *Server) Start() error { return s.rpc.Start() }

// Stop closes all connections.
func (s *Server) Stop() {
	s.rpc.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for host, l := range s.links {
		l.close()
		delete(s.links, host)
	}
}

// Addr returns the address that the Server listens on. Call it after Start.
func (s *Server) Addr() netip.AddrPort { return s.rpc.Addr() }

// Connected returns the number of routers that are connected.
func (s *Server) Connected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// handle receives one report.
func (s *Server) handle(_ context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method != fleet.MethodReport {
		return nil, errors.Errorf("method %q does not exist", method)
	}
	var report fleet.RouterReport
	if err := fleet.Decode(params, &report); err != nil {
		s.cfg.Log.Warn(logevent.ReportRefused, "error", err)
		return nil, err
	}
	s.useForRouter(report.Router, peer)
	s.onVersion(report.Version)
	s.cfg.Loop.Post(dispatch.ReportReceived{Report: report})
	return nil, nil
}

// useForRouter makes a connection the one over which grants are sent to a router.
func (s *Server) useForRouter(host fleet.HostID, peer fleet.Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.links[host]
	if ok && l.peer == peer || s.stopped {
		return
	}
	if _, known := s.hosts[peer]; known {
		// The router has a newer connection; this one only delivers delayed reports.
		return
	}
	if ok {
		l.close()
	}
	s.hosts[peer] = host
	s.links[host] = newLink(s.cfg, peer)
}

// disconnected removes a connection that has ended. If it was the router's newest, the
// reducer is notified.
func (s *Server) disconnected(peer fleet.Caller) {
	s.mu.Lock()
	host, ok := s.hosts[peer]
	delete(s.hosts, peer)
	l := s.links[host]
	current := ok && l != nil && l.peer == peer
	if current {
		l.close()
		delete(s.links, host)
	}
	s.mu.Unlock()
	if current {
		s.cfg.Loop.Post(dispatch.RouterDisconnected{Router: host})
	}
}

// Send implements loop.Sender. A message to a router without a connection is dropped.
func (s *Server) Send(e dispatch.SendGrants) {
	s.mu.Lock()
	l := s.links[e.To]
	s.mu.Unlock()
	if l != nil {
		l.send(e)
	}
}
