package targetconn

import (
	"net/netip"
	"sync"
	"time"
)

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[netip.AddrPort][]*Conn{}} }

// Get returns an open idle connection to a target, or nil if there is none.
func (p *Pool) Get(addr netip.AddrPort, now time.Time) *Conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.Alive() {
			c.ResetBytesWritten()
			c.reused = true
			return c
		}
		Discard(c)
	}
}

func (p *Pool) pop(addr netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

// Put keeps a connection for reuse until the given time, or closes it if maxIdle
// connections to its target are kept already.
func (p *Pool) Put(c *Conn, until time.Time, maxIdle int) {
	c.idleUntil = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.Address]) >= maxIdle {
		go Discard(c)
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// Drop closes the idle connections to a target.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		Discard(c)
	}
	delete(p.idle, addr)
}

// Sweep closes the connections whose time in the pool has ended.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				Discard(c)
			}
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}
