package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes that passed over connections, including heartbeats.
type Traffic struct {
	read    atomic.Int64
	written atomic.Int64
}

// Read returns the bytes received so far.
func (t *Traffic) BytesRead() int64 { return t.read.Load() }

// Written returns the bytes sent so far.
func (t *Traffic) BytesWritten() int64 { return t.written.Load() }

// timedConn bounds every read and write and counts bytes.
type timedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(ReadTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.traffic.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.written.Add(int64(n))
	return n, err
}
