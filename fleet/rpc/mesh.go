package rpc

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// MeshConfig configures a Mesh.
type MeshConfig struct {
	// Handler answers what a peer asks; nil when peers ask nothing.
	Handler func(addr netip.AddrPort) Handler
	// Up, when set, is called after each new connection.
	Up func(addr netip.AddrPort, peer fleet.Caller)
	// Down, when set, is called when no connection to an address is left.
	Down    func(addr netip.AddrPort)
	Traffic *Traffic
	Plain   bool
}

// Mesh keeps a connection to each of a set of peers that changes. It is safe for
// concurrent use.
type Mesh struct {
	cfg     MeshConfig
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
	stopped bool
}

// NewMesh makes a Mesh without peers.
func NewMesh(cfg MeshConfig) *Mesh {
	return &Mesh{cfg: cfg, clients: map[netip.AddrPort]*Client{}}
}

// Want connects to the given addresses and leaves all others.
func (m *Mesh) Want(addrs []netip.AddrPort) {
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

func (m *Mesh) dial(addr netip.AddrPort) *Client {
	cfg := ClientConfig{Address: addr, Traffic: m.cfg.Traffic, Plain: m.cfg.Plain}
	if m.cfg.Handler != nil {
		cfg.Handler = m.cfg.Handler(addr)
	}
	if m.cfg.Up != nil {
		cfg.Up = func(peer fleet.Caller) { m.cfg.Up(addr, peer) }
	}
	if m.cfg.Down != nil {
		cfg.Down = func() { m.cfg.Down(addr) }
	}
	c := NewClient(cfg)
	c.Start()
	return c
}

// Client returns the client of an address, or nil.
func (m *Mesh) Client(addr netip.AddrPort) *Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clients[addr]
}

// Connected returns the addresses with an open connection, in order.
func (m *Mesh) Connected() []netip.AddrPort {
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
func (m *Mesh) Stop() {
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
