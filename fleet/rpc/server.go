package rpc

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
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
	Log          *slog.Logger
}

// Server accepts connections of peers and serves their requests.
type Server struct {
	cfg    ServerConfig
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewServer returns a server; Start opens its listener.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{cfg: cfg, ctx: ctx, cancel: cancel}
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
		s.wg.Add(1)
		go s.serve(nc)
	}
}

// serve serves one connection until it ends.
func (s *Server) serve(nc net.Conn) {
	defer s.wg.Done()
	p, err := newPeer(s.ctx, nc, s.cfg.Handler, s.cfg.Traffic, s.cfg.Uncompressed)
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
