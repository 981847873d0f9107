package rpc

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the address to listen on; port 0 takes any free port.
	Address netip.AddrPort
	Handler Handler
	// OnDisconnect, if set, is called after each connection that ended.
	OnDisconnect func(peer fleet.Caller)
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	// Uncompressed disables compression, see ClientConfig.
	Uncompressed bool
	// MaxConnections bounds the open connections; 0 means no limit. At the limit one that has sent
	// nothing is closed for a new one, or the new one.
	MaxConnections int
	// Budget bounds the messages of the peers that are held; nil means no limit.
	Budget *bytebudget.Budget
	Log    *slog.Logger
}

// Server accepts connections of peers and serves their requests.
type Server struct {
	cfg    ServerConfig
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	open map[net.Conn]*accepted
}

// accepted is an open connection.
type accepted struct {
	at time.Time
	// spoke is set once the peer has sent a message.
	spoke atomic.Bool
}

// closedAtLimit counts the connections that were closed because of MaxConnections.
var closedAtLimit = expvar.NewInt("PeersClosedAtLimit")

// NewServer returns a server; Start opens its listener.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{cfg: cfg, ctx: ctx, cancel: cancel, open: map[net.Conn]*accepted{}}
}

// Start opens the listener and serves in the background until Stop.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Address)
	}
	s.ln = ln
	s.wg.Add(1)
	go s.accept()
	return nil
}

// Addr returns the address that the server listens on. It must be called after Start.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		a, ok := s.admit(nc)
		if !ok {
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go s.serve(nc, a)
	}
}

// admit records a connection, unless the limit is reached and none can be closed for it.
func (s *Server) admit(nc net.Conn) (*accepted, bool) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConnections > 0 && len(s.open) >= s.cfg.MaxConnections {
		closedAtLimit.Add(1)
		silent := s.oldestSilent(now)
		if silent == nil {
			return nil, false
		}
		delete(s.open, silent)
		// Its peer has said nothing that could be lost.
		_ = silent.Close()
	}
	a := &accepted{at: now}
	s.open[nc] = a
	return a, true
}

// oldestSilent returns the connection that has been open longest without a message, or nil if none has
// been for minSilence. The caller holds mu.
func (s *Server) oldestSilent(now time.Time) net.Conn {
	var oldest net.Conn
	for nc, a := range s.open {
		if !a.spoke.Load() && now.Sub(a.at) >= minSilence && (oldest == nil || a.at.Before(s.open[oldest].at)) {
			oldest = nc
		}
	}
	return oldest
}

func (s *Server) forget(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, nc)
}

// serve serves one connection until it ends.
func (s *Server) serve(nc net.Conn, a *accepted) {
	defer s.wg.Done()
	defer s.forget(nc)
	p, err := newPeer(s.ctx, nc, s.cfg.Handler, peerConfig{traffic: s.cfg.Traffic, uncompressed: s.cfg.Uncompressed, budget: s.cfg.Budget, spoke: &a.spoke})
	if err != nil {
		_ = nc.Close()
		return
	}
	select {
	case <-p.conn.DisconnectNotify():
	case <-s.ctx.Done():
		p.close()
		<-p.conn.DisconnectNotify()
	}
	if s.cfg.OnDisconnect != nil {
		s.cfg.OnDisconnect(p)
	}
}

// Stop closes the listener and all connections, and returns when their goroutines have
// ended.
func (s *Server) Stop() {
	s.cancel()
	if s.ln != nil {
		// The error is ignored: Stop may be called twice.
		_ = s.ln.Close()
	}
	s.wg.Wait()
}
