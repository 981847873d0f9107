// Package targetconn opens HTTP/1.1 connections to targets and pools idle ones.
package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds opening a connection.
	DialTimeout = time.Second
	// BufferSize is the size of a connection's read buffer and of its write buffer in
	// bytes.
	BufferSize = 4 << 10
	// maxResponseHeader bounds the header of a response in bytes. Targets send a few hundred.
	maxResponseHeader = 64 << 10
	// headerLineCost is what each line of the header of a response counts for in addition to its bytes:
	// a field takes about 100 bytes of memory, however short it is.
	headerLineCost = 64
	// minStatus and maxStatus are the lowest and the highest status of HTTP (RFC 9110, 15).
	minStatus, maxStatus = 100, 599
	// socketBuffer bounds the bytes that the system keeps of a connection in each direction: what a
	// target has sent and is not read yet, and what it does not read. It is set for each connection,
	// because the system otherwise lets them grow to 4 MB and more.
	socketBuffer = 128 << 10
)

// keepAlive detects peers that have vanished while a connection carries no data.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 4}

// errHeaderTooLarge is returned when a response header exceeds maxResponseHeader.
var errHeaderTooLarge = errors.Errorf("header of the answer has more than %d bytes", maxResponseHeader)

// Conn is a connection to a target. It counts the bytes written.
type Conn struct {
	net.Conn
	// Address is that of the target.
	Address netip.AddrPort
	// Reader buffers what is read from the connection; responses must be read from it.
	Reader       *bufio.Reader
	bytesWritten atomic.Int64
	// headerBudget is how many bytes may still be read while a response header is read;
	// -1 at other times.
	headerBudget int64
	// headerBytes is what the last response header has taken of its budget.
	headerBytes int64
	// idleUntil is when a pooled connection is too old to be reused.
	idleUntil time.Time
	reused    bool
}

// Options are the options of Dial.
type Options struct {
	Timeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the
	// connection counts as broken; 0 leaves that to the operating system.
	UnackedTimeout time.Duration
}

// Dial connects to a target. The time-out is opts.Timeout, but at most DialTimeout.
func Dial(ctx context.Context, addr netip.AddrPort, opts Options) (*Conn, error) {
	d := net.Dialer{Timeout: min(DialTimeout, opts.Timeout), KeepAliveConfig: keepAlive}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		return setOptions(raw, opts.UnackedTimeout)
	}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	c := &Conn{Conn: nc, Address: addr, headerBudget: -1}
	c.Reader = bufio.NewReaderSize(c, BufferSize)
	return c, nil
}

// setOptions sets the options of a connection before it is opened.
func setOptions(raw syscall.RawConn, unacked time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		if sockErr == nil {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		}
		if sockErr == nil && unacked > 0 {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		}
	})
	if err == nil {
		err = sockErr
	}
	return errors.Wrap(err, "set options of the connection")
}

// Read implements net.Conn. It fails once a response header exceeds maxResponseHeader.
func (c *Conn) Read(b []byte) (int, error) {
	if c.headerBudget == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBudget > 0 && int64(len(b)) > c.headerBudget {
		b = b[:c.headerBudget]
	}
	n, err := c.Conn.Read(b)
	if c.headerBudget > 0 {
		c.headerBudget = max(0, c.headerBudget-int64(n)-headerLineCost*int64(bytes.Count(b[:n], []byte{'\n'})))
	}
	return n, err
}

// Write implements net.Conn. The bytes are counted before they are written, since a
// failed write may have sent some of them.
func (c *Conn) Write(b []byte) (int, error) {
	c.bytesWritten.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// BytesWritten returns the bytes written since the last ResetBytesWritten.
func (c *Conn) BytesWritten() int64 { return c.bytesWritten.Load() }

// HeaderBytes returns the size of the header that ReadResponse has read last, with headerLineCost for
// each line. It includes what was read of the body meanwhile.
func (c *Conn) HeaderBytes() int64 { return c.headerBytes }

// ResetBytesWritten sets the count of bytes written to 0.
func (c *Conn) ResetBytesWritten() { c.bytesWritten.Store(0) }

// Reused reports whether the connection may have carried an earlier request. A response on such a
// connection may be a second one to that request.
func (c *Conn) Reused() bool { return c.reused }

// WriteRequest sends a request with its body.
func (c *Conn) WriteRequest(req *http.Request) error {
	bw := bufio.NewWriterSize(c, BufferSize)
	var w io.Writer = bw
	if strings.HasPrefix(req.URL.Opaque, "//") {
		// Package url writes the scheme before such a path, which makes it an absolute URI.
		begin := len(req.Method) + len(" ")
		w = &rangeOmitter{w: bw, begin: begin, end: begin + len(req.URL.Scheme) + len(":")}
	}
	if err := req.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(bw.Flush(), "write request")
}

// rangeOmitter is a writer that leaves out the bytes from begin to end, excluded.
type rangeOmitter struct {
	w          io.Writer
	begin, end int
	// written is the number of bytes so far, with those that were left out.
	written int
}

// Write implements io.Writer.
func (o *rangeOmitter) Write(p []byte) (int, error) {
	begin := min(max(o.begin-o.written, 0), len(p))
	end := min(max(o.end-o.written, 0), len(p))
	o.written += len(p)
	if _, err := o.w.Write(slices.Concat(p[:begin], p[end:])); err != nil {
		return 0, err
	}
	return len(p), nil
}

// ReadResponse reads the header of the final response; informational ones (1xx) are
// skipped. It fails if the status is not one of HTTP.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	c.headerBudget = maxResponseHeader
	defer func() { c.headerBytes, c.headerBudget = maxResponseHeader-c.headerBudget, -1 }()
	for {
		resp, err := http.ReadResponse(c.Reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read header of the answer")
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, errors.Errorf("the answer has the invalid status %.32q", resp.Status)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switched protocols without being asked")
		}
	}
}

// Alive reports whether an idle connection is still open and has no unread data.
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

// IsTimeout reports whether an error means that a deadline has passed.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Discard closes a connection or body that is no longer needed.
func Discard(c io.Closer) {
	// An error of closing what is no longer needed has no consequence.
	_ = c.Close()
}
