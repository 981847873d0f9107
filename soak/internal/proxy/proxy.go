// Package proxy stands before a process on loopback and misbehaves as a network does.
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
	// dialTimeout bounds the connection to the process behind the proxy.
	dialTimeout = time.Second
	// pieceSize bounds what is read and passed on at once, in bytes.
	pieceSize = 16 << 10
)

// Direction is the way of a piece.
type Direction int

// The two ways.
const (
	ToSubject Direction = iota
	FromSubject
)

// Host passes connections on from the public address of a process to its own one.
type Host struct {
	private   netip.Addr
	listeners []net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	cut     [2]bool
	delay   time.Duration
	refuses bool
	closed  bool
	pairs   map[*pair]bool
}

// pair is a connection and its continuation.
type pair struct {
	host     *Host
	in, out  net.Conn
	silenced bool
}

// New listens at the public address, on each of the ports, and passes on to the same
// port of the private address.
func New(public, private netip.Addr, ports ...uint16) (*Host, error) {
	h := &Host{private: private, pairs: map[*pair]bool{}}
	h.changed = sync.NewCond(&h.mu)
	for _, port := range ports {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(public, port).String())
		if err != nil {
			h.Close()
			return nil, errors.Wrap(err, "listen")
		}
		h.listeners = append(h.listeners, ln)
		go h.accept(ln, port)
	}
	return h, nil
}

// Close ends all connections.
func (h *Host) Close() {
	for _, ln := range h.listeners {
		// The listener is of no use any more.
		_ = ln.Close()
	}
	h.change(func() { h.closed = true })
	h.Reset()
}

// Delay holds up each piece; 0 ends it.
func (h *Host) Delay(d time.Duration) { h.change(func() { h.delay = d }) }

// Cut holds back what goes one way, until it is undone.
func (h *Host) Cut(d Direction, cut bool) { h.change(func() { h.cut[d] = cut }) }

// Refuse resets all connections, and new ones as they come, until it is undone.
func (h *Host) Refuse(refuses bool) {
	h.change(func() { h.refuses = refuses })
	if refuses {
		h.Reset()
	}
}

// Silence lets nothing more through the connections that are open now.
func (h *Host) Silence() {
	h.change(func() {
		for p := range h.pairs {
			p.silenced = true
		}
	})
}

// Reset resets all connections.
func (h *Host) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.pairs {
		reset(p.in)
		reset(p.out)
	}
}

func (h *Host) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.changed.Broadcast()
}

// reset ends a connection without a farewell.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that has ended can't be reset, and need not be.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (h *Host) accept(ln net.Listener, port uint16) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go h.serve(in, port)
	}
}

func (h *Host) serve(in net.Conn, port uint16) {
	h.mu.Lock()
	refuses := h.refuses
	h.mu.Unlock()
	if refuses {
		reset(in)
		return
	}
	out, err := net.DialTimeout("tcp", netip.AddrPortFrom(h.private, port).String(), dialTimeout)
	if err != nil {
		// The process is not there; its own host would reset the connection too.
		reset(in)
		return
	}
	p := &pair{host: h, in: in, out: out}
	h.mu.Lock()
	h.pairs[p] = true
	h.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(out, in, ToSubject) })
	wg.Go(func() { p.pass(in, out, FromSubject) })
	wg.Wait()
	h.mu.Lock()
	delete(h.pairs, p)
	h.mu.Unlock()
}

// pass copies one way until the source ends, and then ends that way.
func (p *pair) pass(to, from net.Conn, d Direction) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.host.admit(p, d) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if !p.host.admit(p, d) {
			return
		}
		var ended interface{ CloseWrite() error }
		if tcp, ok := to.(*net.TCPConn); ok && isEnd(err) {
			ended = tcp
		}
		if ended == nil || ended.CloseWrite() != nil {
			reset(to)
		}
		return
	}
}

// isEnd says whether a connection ended by a farewell.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// admit waits until a piece may pass, and says whether it may.
func (h *Host) admit(p *pair, d Direction) bool {
	h.mu.Lock()
	for h.cut[d] && !h.closed {
		h.changed.Wait()
	}
	delay, silenced := h.delay, p.silenced
	h.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !silenced
}
