package intake

import (
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

const (
	// yieldAfter is the number of bytes of a body after which other work gets the processor, and again
	// after each yieldAfter bytes. Ordinary bodies are smaller.
	yieldAfter = 32 << 10
	// writePiece is the largest part of a response that is written under one deadline, in bytes.
	writePiece = 64 << 10
)

// badRequest takes the place of a malformed header, so that net/http refuses it with status 400.
var badRequest = []byte("x\r\n\r\n")

// state is the part of a request that a connection reads.
type state int

const (
	// inHead is the header, or the wait for one.
	inHead state = iota
	// inLength is a body of known length.
	inLength
	// inChunks is a body in chunks.
	inChunks
	// passing is a request that net/http refuses.
	passing
)

// Conn is a connection of an http.Server. It passes on what net/http is to read: whole headers within
// limits, and bodies in chunks of a few KB instead of the peer's.
type Conn struct {
	net.Conn
	cfg *Config

	state state
	head  headScanner
	// partial is the part of a header that has arrived; nil before the first byte.
	partial []byte
	// lead is the first byte of a header if it was passed on alone, which hasLead says. The server reads
	// one byte to notice the end of a connection while it handles a request.
	lead    byte
	hasLead bool
	// unread has bytes of the peer that were read ahead, ready those that the next Read returns.
	unread, ready []byte
	// left is the rest of a body of known length.
	left   int64
	chunks chunkDecoder
	// direct is the rest of a chunk that is passed on as it is.
	direct int64
	// raw and decoded, if not nil, are the buffers for a body in chunks.
	raw, decoded []byte
	// began is when the header or the body began, less the time in which the connection was not read,
	// waitedAt is when the last read ended, and body the number of bytes of the body that have arrived.
	began, waitedAt time.Time
	body            int64
	// yieldAt is the value of body at which the processor is yielded next.
	yieldAt int64
	// writeUntil is the deadline of writes in force.
	writeUntil time.Time

	// dropped is set when the budget has ended the hold, inBody while the peer is to send a body, wrote
	// once a response has begun, and cut when writes are to fail.
	dropped, inBody, wrote, cut atomic.Bool

	// reserved is what hold has.
	reserved int64

	mu     sync.Mutex
	hold   *bytebudget.Hold
	closed bool
	// serverUntil is the read deadline that the server has set, ownUntil that of the limits, and
	// readUntil the one in force; zero for none.
	serverUntil, ownUntil, readUntil time.Time
}

func newConn(c net.Conn, cfg *Config) *Conn {
	return &Conn{Conn: c, cfg: cfg}
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return sc.SyscallConn()
}

// CloseWrite ends the sending side, as net/http does before it closes a connection with unread data.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with unsent data, see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if len(c.ready) > 0 {
			n := copy(p, c.ready)
			c.ready = c.ready[n:]
			return n, nil
		}
		var n int
		var err error
		switch c.state {
		case inHead:
			if n, err = c.readHead(p); errors.Is(err, bytebudget.ErrEnded) {
				err = c.refuseForMemory(len(p))
			}
		case inLength:
			n, err = c.readLength(p)
		case inChunks:
			if c.direct > 0 {
				n, err = c.readDirect(p)
			} else {
				err = c.readChunks()
			}
		case passing:
			n, err = c.source(p)
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// source reads bytes of the peer: those read ahead, or from the connection.
func (c *Conn) source(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
		}
		return n, nil
	}
	if c.dropped.Load() {
		return 0, bytebudget.ErrEnded
	}
	for {
		if err := c.applyReadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if err != nil && c.dropped.Load() {
			return n, bytebudget.ErrEnded
		}
		if err == nil || !c.isLateTimeout(err) {
			return n, err
		}
	}
}

// beginBody begins to read the body after a complete header.
func (c *Conn) beginBody(now time.Time) {
	c.began, c.waitedAt, c.body, c.yieldAt = now, now, 0, yieldAfter
	switch f := c.head.framing(); {
	case f.chunked:
		c.state, c.chunks = inChunks, chunkDecoder{}
	case f.length > 0:
		c.state, c.left = inLength, f.length
	default:
		c.endBody()
		return
	}
	c.inBody.Store(true)
	// The server sets its own deadline next, which puts this one in force.
	c.extendBody(now)
}

// extendBody sets the deadline for the next bytes of a body. Time in which the connection was not read
// does not count.
func (c *Conn) extendBody(now time.Time) {
	c.began = c.began.Add(now.Sub(c.waitedAt))
	c.waitedAt = now
	byRate := c.began.Add(c.cfg.Times.Grace + time.Duration(float64(c.body)/minBodyRate*float64(time.Second)))
	until := now.Add(c.cfg.Times.Stall)
	if byRate.Before(until) {
		until = byRate
	}
	c.setOwnDeadline(until)
}

// endBody prepares for the next header.
func (c *Conn) endBody() {
	c.state = inHead
	c.inBody.Store(false)
	c.setOwnDeadline(time.Time{})
	if c.raw != nil {
		c.raw, c.decoded = nil, nil
		c.release()
	}
}

// readBody reads the next bytes of a body.
func (c *Conn) readBody(p []byte) (int, error) {
	if len(c.unread) == 0 {
		c.extendBody(c.cfg.Clock.Now())
	}
	n, err := c.source(p)
	c.waitedAt = c.cfg.Clock.Now()
	c.body += int64(n)
	if c.body >= c.yieldAt {
		c.yieldAt = c.body + yieldAfter
		runtime.Gosched()
	}
	return n, err
}

func (c *Conn) readLength(p []byte) (int, error) {
	n, err := c.readBody(p[:min(int64(len(p)), c.left)])
	c.addLength(int64(n))
	return n, err
}

// addLength counts bytes of a body of known length.
func (c *Conn) addLength(n int64) {
	if c.left -= n; c.left == 0 {
		c.endBody()
	}
}

// Write implements net.Conn. It fails if the peer takes no part of a response for a time.
func (c *Conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	written := 0
	for {
		if c.cut.Load() {
			return written, os.ErrDeadlineExceeded
		}
		if now := c.cfg.Clock.Now(); c.writeUntil.Sub(now) < c.cfg.Times.Unread/2 {
			c.writeUntil = now.Add(c.cfg.Times.Unread)
			if err := c.Conn.SetWriteDeadline(c.writeUntil); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			if isTimeout(err) {
				c.cfg.count("Unread")
				c.cfg.logEnded(c, "Unread", "written", written)
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}
