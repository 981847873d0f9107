package rpc

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// ClientSetConfig configures a ClientSet.
type ClientSetConfig struct {
	// Handler returns the handler for the requests of the peer at an address. Requests are
	// rejected if it is nil.
	Handler func(addr netip.AddrPort) Handler
	// OnConnect, if set, is called after each new connection.
	OnConnect func(addr netip.AddrPort, peer fleet.Caller)
	// OnDisconnect, if set, is called when no connection to an address is left, with the cause.
	OnDisconnect func(addr netip.AddrPort, cause error)
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	// Uncompressed disables compression, see ClientConfig.
	Uncompressed bool
	// Budget bounds the messages of the peers that are held; nil means no limit.
	Budget *bytebudget.Budget
}

// ClientSet maintains one Client for each address of a set that can change at run time.
// It is safe for concurrent use.
type ClientSet struct {
	cfg     ClientSetConfig
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
	stopped bool
}

// NewClientSet returns a ClientSet without addresses.
func NewClientSet(cfg ClientSetConfig) *ClientSet {
	return &ClientSet{cfg: cfg, clients: map[netip.AddrPort]*Client{}}
}

// SetAddresses starts a client for each new address and stops the clients of all addresses
// that are not listed. It does nothing after Stop.
func (s *ClientSet) SetAddresses(addrs []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	for addr, c := range s.clients {
		if !slices.Contains(addrs, addr) {
			delete(s.clients, addr)
			// Stop blocks until the connection has ended; SetAddresses must not.
			go c.Stop()
		}
	}
	for _, addr := range addrs {
		if s.clients[addr] == nil {
			s.clients[addr] = s.dial(addr)
		}
	}
}

func (s *ClientSet) dial(addr netip.AddrPort) *Client {
	cfg := ClientConfig{Address: addr, Traffic: s.cfg.Traffic, Uncompressed: s.cfg.Uncompressed, Budget: s.cfg.Budget}
	if s.cfg.Handler != nil {
		cfg.Handler = s.cfg.Handler(addr)
	}
	if s.cfg.OnConnect != nil {
		cfg.OnConnect = func(peer fleet.Caller) { s.cfg.OnConnect(addr, peer) }
	}
	if s.cfg.OnDisconnect != nil {
		cfg.OnDisconnect = func(cause error) { s.cfg.OnDisconnect(addr, cause) }
	}
	c := NewClient(cfg)
	c.Start()
	return c
}

// Client returns the client of an address, or nil if the set does not hold the address.
func (s *ClientSet) Client(addr netip.AddrPort) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[addr]
}

// Connected returns the sorted addresses that have an open connection.
func (s *ClientSet) Connected() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for addr, c := range s.clients {
		if c.Connected() {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Stop closes all connections and returns when all clients have stopped.
func (s *ClientSet) Stop() {
	s.mu.Lock()
	clients := s.clients
	s.clients, s.stopped = map[netip.AddrPort]*Client{}, true
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(c.Stop)
	}
	wg.Wait()
}
