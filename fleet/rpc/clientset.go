package rpc

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// MeshConfig configures a Mesh.
type ClientSetConfig struct {
	// Handler answers what a peer asks; nil when peers ask nothing.
	Handler func(addr netip.AddrPort) Handler
	// Up, when set, is called after each new connection.
	OnConnect func(addr netip.AddrPort, peer fleet.Caller)
	// Down, when set, is called when no connection to an address is left.
	OnDisconnect func(addr netip.AddrPort)
	Traffic      *Traffic
	Uncompressed bool
}

// Mesh keeps a connection to each of a set of peers that changes. It is safe for
// concurrent use.
type ClientSet struct {
	cfg     ClientSetConfig
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
	stopped bool
}

// NewMesh makes a Mesh without peers.
func NewClientSet(cfg ClientSetConfig) *ClientSet {
	return &ClientSet{cfg: cfg, clients: map[netip.AddrPort]*Client{}}
}

// Want connects to the given addresses and leaves all others.
func (m *ClientSet) SetAddresses(addrs []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	for addr, c := range m.clients {
		if !slices.Contains(addrs, addr) {
			delete(m.clients, addr)
			// Stop waits for the connection to end, which nobody here depends on.
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

// Client returns the client of an address, or nil.
func (m *ClientSet) Client(addr netip.AddrPort) *Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clients[addr]
}

// Connected returns the addresses with an open connection, in order.
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

// Stop closes all connections.
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
