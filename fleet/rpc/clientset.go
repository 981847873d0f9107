package rpc

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ClientSetConfig configures a ClientSet.
type ClientSetConfig struct {
	// Handler returns the handler for the requests of the peer at an address. Requests are
	// rejected if it is nil.
	Handler func(addr netip.AddrPort) Handler
	// OnConnect, if set, is called after each new connection.
	OnConnect func(addr netip.AddrPort, peer fleet.Caller)
	// OnDisconnect, if set, is called when no connection to an address is left.
	OnDisconnect func(addr netip.AddrPort)
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	// Uncompressed disables compression, see ClientConfig.
	Uncompressed bool
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
func (m *ClientSet) SetAddresses(addrs []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	for addr, c := range m.clients {
		if !slices.Contains(addrs, addr) {
			delete(m.clients, addr)
			// Stop blocks until the connection has ended; SetAddresses must not.
			go c.Stop()
		}
	}
	for _, addr := range addrs {
		if m.clients[addr] == nil {
			m.clients[addr] = m.dial(addr)
		}
	}
}

func (m *ClientSet) dial(addr netip.AddrPort) *Client {
	cfg := ClientConfig{Address: addr, Traffic: m.cfg.Traffic, Uncompressed: m.cfg.Uncompressed}
	if m.cfg.Handler != nil {
		cfg.Handler = m.cfg.Handler(addr)
	}
	if m.cfg.OnConnect != nil {
		cfg.OnConnect = func(peer fleet.Caller) { m.cfg.OnConnect(addr, peer) }
	}
	if m.cfg.OnDisconnect != nil {
		cfg.OnDisconnect = func() { m.cfg.OnDisconnect(addr) }
	}
	c := NewClient(cfg)
	c.Start()
	return c
}

// Client returns the client of an address, or nil if the set does not hold the address.
func (m *ClientSet) Client(addr netip.AddrPort) *Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clients[addr]
}

// Connected returns the sorted addresses that have an open connection.
func (m *ClientSet) Connected() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for addr, c := range m.clients {
		if c.Connected() {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Stop closes all connections and returns when all clients have stopped.
func (m *ClientSet) Stop() {
	m.mu.Lock()
	clients := m.clients
	m.clients, m.stopped = map[netip.AddrPort]*Client{}, true
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(c.Stop)
	}
	wg.Wait()
}
