// Package proxy forwards TCP connections to a process on loopback and injects network faults.
package proxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds connecting to the process behind the proxy.
	dialTimeout = time.Second
	// bufferSize is the maximum size of a chunk of data, in bytes.
	bufferSize = 16 << 10
)

// Direction is the direction in which data flows through a proxy.
type Direction int

// The subject is the process or target behind the proxy.
const (
	// ToSubject is from the client to the subject.
	ToSubject Direction = iota
	// FromSubject is from the subject to the client.
	FromSubject
)

// Proxy forwards connections from the public address of a process to its private address.
// Its methods are safe for concurrent use.
type Proxy struct {
	private   netip.Addr
	listeners []net.Listener

	mu sync.Mutex
	// stateChanged is signalled after every change by updateState.
	stateChanged *sync.Cond
	// blocked is indexed by Direction.
	blocked     [2]bool
	delay       time.Duration
	refusing    bool
	closed      bool
	connections map[*connection]bool
}

// connection is a client's connection and the one to the process that it is forwarded to.
type connection struct {
	proxy          *Proxy
	client, server net.Conn
	// blackholed drops all further data in both directions.
	blackholed bool
}

// New listens on each of the ports at the public address and forwards connections to the same
// port at the private address.
func New(public, private netip.Addr, ports ...uint16) (*Proxy, error) {
	p := &Proxy{private: private, connections: map[*connection]bool{}}
	p.stateChanged = sync.NewCond(&p.mu)
	for _, port := range ports {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(public, port).String())
		if err != nil {
			p.Close()
			return nil, errors.Wrap(err, "listen")
		}
		p.listeners = append(p.listeners, ln)
		go p.accept(ln, port)
	}
	return p, nil
}

// Close closes the listeners and resets all connections.
func (p *Proxy) Close() {
	for _, ln := range p.listeners {
		// The listener is not used any more.
		_ = ln.Close()
	}
	p.updateState(func() { p.closed = true })
	p.Reset()
}

// Delay adds a delay before each chunk of data is forwarded; 0 removes it.
func (p *Proxy) Delay(d time.Duration) { p.updateState(func() { p.delay = d }) }

// Block holds back all data in one direction until Block is called with false; the data is
// forwarded then.
func (p *Proxy) Block(d Direction, blocked bool) { p.updateState(func() { p.blocked[d] = blocked }) }

// Refuse resets all open connections, and each new one until Refuse is called with false.
func (p *Proxy) Refuse(refusing bool) {
	p.updateState(func() { p.refusing = refusing })
	if refusing {
		p.Reset()
	}
}

// Blackhole drops all further data on the connections that are open now, without closing
// them. New connections are not affected.
func (p *Proxy) Blackhole() {
	p.updateState(func() {
		for c := range p.connections {
			c.blackholed = true
		}
	})
}

// Reset resets all open connections; new ones are accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		reset(c.client)
		reset(c.server)
	}
}

// updateState changes the state under the lock and wakes the waiters in awaitForwarding.
func (p *Proxy) updateState(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.stateChanged.Broadcast()
}

// reset closes a connection with a TCP RST instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Fails only if the connection is already closed, which is harmless.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(ln net.Listener, port uint16) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client, port)
	}
}

func (p *Proxy) serve(client net.Conn, port uint16) {
	p.mu.Lock()
	refusing := p.refusing
	p.mu.Unlock()
	if refusing {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", netip.AddrPortFrom(p.private, port).String(), dialTimeout)
	if err != nil {
		// The process is not listening; its host would reset the connection too.
		reset(client)
		return
	}
	c := &connection{proxy: p, client: client, server: server}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(server, client, ToSubject) })
	wg.Go(func() { c.forward(client, server, FromSubject) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// forward copies data in one direction until src ends, and then closes that direction of dst.
// An abnormal end of src resets dst.
func (c *connection) forward(dst, src net.Conn, d Direction) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && c.proxy.awaitForwarding(c, d) {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				reset(src)
				return
			}
		}
		if err == nil {
			continue
		}
		if !c.proxy.awaitForwarding(c, d) {
			return
		}
		var halfCloser interface{ CloseWrite() error }
		if tcp, ok := dst.(*net.TCPConn); ok && isOrderlyClose(err) {
			halfCloser = tcp
		}
		if halfCloser == nil || halfCloser.CloseWrite() != nil {
			reset(dst)
		}
		return
	}
}

// isOrderlyClose reports whether the peer closed the connection with a FIN.
func isOrderlyClose(err error) bool { return errors.Is(err, io.EOF) }

// awaitForwarding waits while direction d is blocked, then for the configured delay. It returns
// false if the connection is blackholed and the data is to be dropped.
func (p *Proxy) awaitForwarding(c *connection, d Direction) bool {
	p.mu.Lock()
	for p.blocked[d] && !p.closed {
		p.stateChanged.Wait()
	}
	delay, blackholed := p.delay, c.blackholed
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !blackholed
}
