package rpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Traffic counts the bytes sent and received over connections, after compression and
// including heartbeats. It is safe for concurrent use.
type Traffic struct {
	read    atomic.Int64
	written atomic.Int64
}

// BytesRead returns the number of bytes received so far.
func (t *Traffic) BytesRead() int64 { return t.read.Load() }

// BytesWritten returns the number of bytes sent so far.
func (t *Traffic) BytesWritten() int64 { return t.written.Load() }

// deadlineConn sets a deadline for each read and write and counts the bytes.
type deadlineConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(ReadTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.traffic.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It closes the connection if it fails, since a part of a message
// may have been written.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.written.Add(int64(n))
	if err != nil {
		// The error of Write is the one to report.
		_ = c.Close()
	}
	return n, err
}

// writeAll writes messages without joining them, so that what is sent to all followers of a feed is held
// once. Other writes come before or after all of them.
func (c *deadlineConn) writeAll(messages []fleet.EncodedNotification) error {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	buffers := make(net.Buffers, len(messages))
	for i, m := range messages {
		buffers[i] = m
	}
	n, err := buffers.WriteTo(c.Conn)
	c.traffic.written.Add(n)
	if err != nil {
		// The error of the write is the one to report.
		_ = c.Close()
	}
	return err
}
