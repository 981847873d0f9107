package overload

import (
	"net"
	"sync/atomic"
)

// connState says whether a connection may be evicted.
type connState = int32

const (
	connInUse connState = iota
	connIdle
	connEvicted
)

// limitedConn is a connection of a ConnectionLimiter. It is in use from the moment at which
// bytes of a request are read: an http.Server reports that only once it has read the header.
type limitedConn struct {
	*net.TCPConn
	state atomic.Int32
	// unread has bytes that were read before the connection was passed on to the server.
	unread []byte
}

// Read implements net.Conn. It returns no bytes of a connection that was evicted while they
// arrived, so that their request is not served without a connection for the response.
func (c *limitedConn) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connInUse) && c.state.Load() == connEvicted {
		return 0, net.ErrClosed
	}
	return n, err
}

// setIdle records that the connection waits for its next request.
func (c *limitedConn) setIdle() { c.state.CompareAndSwap(connInUse, connIdle) }

// evict closes the connection and returns true if it is idle.
func (c *limitedConn) evict() bool {
	if !c.state.CompareAndSwap(connIdle, connEvicted) {
		return false
	}
	// The caller opens another one. A request in transit on this one has not run.
	_ = c.Close()
	return true
}
