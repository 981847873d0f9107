// Package targetconn opens connections to targets over HTTP/1.1 and keeps those that
// are not in use.
package targetconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds opening a connection.
	DialTimeout = time.Second
	// BufferSize is the read and write buffer of a connection in bytes.
	BufferSize = 4 << 10
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxResponseHeader = 256 << 10
)

// keepAlive finds peers that vanished while a connection carries no data.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 4}

// errHeaderTooLarge is returned when the header of an answer exceeds maxAnswerHeader.
var errHeaderTooLarge = errors.Errorf("header of the answer has more than %d bytes", maxResponseHeader)

// Conn is a connection to a target. It counts the bytes written.
type Conn struct {
	net.Conn
	// Address is that of the target.
	Address netip.AddrPort
	// Reader is what answers are read from.
	Reader       *bufio.Reader
	bytesWritten atomic.Int64
	// header bounds the bytes that may still be read, while a header is read.
	headerBudget int64
	// idleUntil is when a connection that was given back to the pool is too old to use.
	idleUntil time.Time
}

// Options are what a connection is opened with.
type Options struct {
	Timeout time.Duration
	// Unacknowledged is how long sent data may stay unacknowledged before the
	// connection counts as broken; 0 leaves that to the operating system.
	UnackedTimeout time.Duration
}

// Dial connects to a target.
func Dial(ctx context.Context, addr netip.AddrPort, opts Options) (*Conn, error) {
	d := net.Dialer{Timeout: min(DialTimeout, opts.Timeout), KeepAliveConfig: keepAlive}
	if opts.UnackedTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return setUnackedTimeout(raw, opts.UnackedTimeout)
		}
	}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	c := &Conn{Conn: nc, Address: addr, headerBudget: -1}
	c.Reader = bufio.NewReaderSize(c, BufferSize)
	return c, nil
}

func setUnackedTimeout(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err == nil {
		err = sockErr
	}
	return errors.Wrap(err, "bound unacknowledged data")
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.headerBudget == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBudget > 0 && int64(len(b)) > c.headerBudget {
		b = b[:c.headerBudget]
	}
	n, err := c.Conn.Read(b)
	if c.headerBudget > 0 {
		c.headerBudget -= int64(n)
	}
	return n, err
}

// Write implements net.Conn. Bytes count as written before they are, since a failed
// write may have sent some of them.
func (c *Conn) Write(b []byte) (int, error) {
	c.bytesWritten.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Wrote returns the bytes written since the last Reuse.
func (c *Conn) BytesWritten() int64 { return c.bytesWritten.Load() }

// Reuse begins to count the bytes written anew.
func (c *Conn) ResetBytesWritten() { c.bytesWritten.Store(0) }

// WriteRequest sends a request.
func (c *Conn) WriteRequest(req *http.Request) error {
	bw := bufio.NewWriterSize(c, BufferSize)
	if err := req.Write(bw); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(bw.Flush(), "write request")
}

// ReadResponse reads the header of the final answer.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	c.headerBudget = maxResponseHeader
	defer func() { c.headerBudget = -1 }()
	for {
		resp, err := http.ReadResponse(c.Reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read header of the answer")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switched protocols without being asked")
		}
	}
}

// Alive says whether an idle connection is still open and has nothing to be read.
func (c *Conn) Alive() bool {
	if c.Reader.Buffered() > 0 {
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
		n, readErr := syscall.Read(int(fd), b[:])
		open = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// IsTimeout says whether an error is a deadline that passed.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Discard closes a connection whose state no longer matters.
func Discard(c io.Closer) {
	// Nothing depends on how the close of an abandoned connection ends.
	_ = c.Close()
}
