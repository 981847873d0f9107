// Package target speaks HTTP/1.1 to targets: it sends requests, passes their answers
// on, resumes and cancels streams, and takes the targets' announcements.
package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// readBuffer is the buffer of a connection in bytes.
	readBuffer = 4 << 10
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 256 << 10
)

// keepAlive finds peers that vanished while a connection carries no data.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 4}

// errHeaderTooLarge is returned when the header of an answer exceeds maxAnswerHeader.
var errHeaderTooLarge = errors.Errorf("header of the answer has more than %d bytes", maxAnswerHeader)

// conn is a connection to a target. It counts the bytes written.
type conn struct {
	net.Conn
	address netip.AddrPort
	br      *bufio.Reader
	wrote   atomic.Int64
	// header bounds the bytes that may still be read, while a header is read.
	header int64
	// idleSince is when the connection was given back to the pool.
	idleSince time.Time
}

func dial(ctx context.Context, addr netip.AddrPort, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: min(dialTimeout, timeout), KeepAliveConfig: keepAlive}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	c := &conn{Conn: nc, address: addr, header: -1}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.header == 0 {
		return 0, errHeaderTooLarge
	}
	if c.header > 0 && int64(len(b)) > c.header {
		b = b[:c.header]
	}
	n, err := c.Conn.Read(b)
	if c.header > 0 {
		c.header -= int64(n)
	}
	return n, err
}

// Write implements net.Conn. Bytes count as written before they are, since a failed
// write may have sent some of them.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// alive says whether an idle connection is still open and has nothing to be read.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, rerr := syscall.Read(int(fd), b[:])
		open = n < 0 && (rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// discard closes a connection whose state no longer matters.
func discard(c io.Closer) {
	// Nothing depends on how the close of an abandoned connection ends.
	_ = c.Close()
}
