package overload

import (
	"cmp"
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// minEvictIdle is how long a connection must have been idle to be closed for a new one.
// Under overload callers reuse their connections within a second.
const minEvictIdle = 5 * time.Second

// ConnectionLimiter tracks the connections of an http.Server and bounds their number.
// Connections that have been idle for minEvictIdle are closed to make room for new
// ones.
type ConnectionLimiter struct {
	// Max is the number of connections from which new ones are rejected; 0 means no
	// limit.
	Max   int
	Clock fleet.Clock
	// Adaptive, if it is not nil, lowers the limit while requests wait for the processor.
	Adaptive *AdaptiveLimit
	// MinIdle is how long a connection must have been idle to be closed for a new one; 0 means
	// minEvictIdle.
	MinIdle time.Duration
	// EvictSilent makes connections count as idle that have not sent a request yet.
	EvictSilent bool

	mu sync.Mutex
	// limit is the present limit with Adaptive; 0 before the first Adapt.
	limit int
	// open has the open connections, with their elements of idle; nil for those in use.
	open map[net.Conn]*list.Element
	// idle has an idleConn for each connection that is not in use, longest idle first.
	idle list.List
}

// idleConn is a connection that waits for its next request.
type idleConn struct {
	net.Conn
	since time.Time
}

// Track records the new state of a connection. Set it as the server's ConnState.
func (n *ConnectionLimiter) Track(c net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open == nil {
		n.open = map[net.Conn]*list.Element{}
	}
	if e := n.open[c]; e != nil {
		n.idle.Remove(e)
	}
	switch {
	case s == http.StateIdle, s == http.StateNew && n.EvictSilent:
		if limited, ok := limitedOf(c); ok {
			limited.setIdle()
		}
		n.open[c] = n.idle.PushBack(idleConn{Conn: c, since: n.Clock.Now()})
	case s == http.StateNew, s == http.StateActive:
		n.open[c] = nil
	case s == http.StateClosed, s == http.StateHijacked:
		delete(n.open, c)
	}
}

// limitedOf returns the limitedConn that a connection is or wraps.
func limitedOf(c net.Conn) (*limitedConn, bool) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	limited, ok := c.(*limitedConn)
	return limited, ok
}

// Count returns the number of open connections.
func (n *ConnectionLimiter) Count() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(len(n.open))
}

// currentLimit returns the present limit. The caller holds mu.
func (n *ConnectionLimiter) currentLimit() int {
	if n.Adaptive == nil || n.limit == 0 {
		return n.Max
	}
	return n.limit
}

// Limit returns the number of connections from which new ones are rejected now; 0 means no limit.
func (n *ConnectionLimiter) Limit() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentLimit()
}

// Adapt updates the limit by the time that goroutines wait for the processor. It has no effect
// without Adaptive.
func (n *ConnectionLimiter) Adapt(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Adaptive != nil {
		n.limit = n.Adaptive.Update(delay, len(n.open), n.Max)
	}
}

// Occupied returns the number of open connections that ShouldReject does not close for new ones.
func (n *ConnectionLimiter) Occupied() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	evictable := 0
	now := n.Clock.Now()
	for e := n.idle.Front(); e != nil && now.Sub(e.Value.(idleConn).since) >= cmp.Or(n.MinIdle, minEvictIdle); e = e.Next() {
		evictable++
	}
	return int64(len(n.open) - evictable)
}

// ShouldReject reports whether a new connection is to be rejected. At the limit it
// closes the connection that has been idle longest and reports false, if that one has
// been idle for minEvictIdle.
func (n *ConnectionLimiter) ShouldReject() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Max == 0 || len(n.open) < n.currentLimit() {
		return false
	}
	e := n.idle.Front()
	if e == nil {
		return true
	}
	oldest := e.Value.(idleConn)
	if n.Clock.Now().Sub(oldest.since) < cmp.Or(n.MinIdle, minEvictIdle) {
		return true
	}
	n.idle.Remove(e)
	if limited, ok := limitedOf(oldest.Conn); ok {
		if !limited.evict() {
			// A request has just arrived on it; Track follows.
			n.open[oldest.Conn] = nil
			return true
		}
	} else {
		_ = oldest.Close()
	}
	delete(n.open, oldest.Conn)
	return false
}
