package target

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// idleLimit is how long an unused connection is kept. It is short, so that few
	// requests meet a connection that its target is about to close.
	idleLimit = 2 * time.Second
	// idlePerTarget is how many unused connections are kept for each target.
	idlePerTarget = 32
)

// pool keeps unused connections to targets.
type pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

func newPool() *pool { return &pool{idle: map[netip.AddrPort][]*conn{}} }

// get returns an open connection that was used before, or nil.
func (p *pool) get(addr netip.AddrPort, now time.Time) *conn {
	for {
		c := p.take(addr)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < idleLimit && c.alive() {
			return c
		}
		discard(c)
	}
}

func (p *pool) take(addr netip.AddrPort) *conn {
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

// put keeps a connection for another request.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerTarget {
		go discard(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes connections that were unused for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < idleLimit {
				kept = append(kept, c)
			} else {
				discard(c)
			}
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}
