package intake

import (
	"fmt"
	"io"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// firstHeadBuffer is the size of the first buffer for a header that does not arrive at once, in bytes.
const firstHeadBuffer = 1 << 10

// memoryFull is the response to a request whose header could not be kept.
var memoryFull = func() []byte {
	body := `{"Reason":"` + string(fleet.ReasonMemoryFull) + `","Verdict":"` + fleet.NotRun.String() + `"}`
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
}()

// readHead reads a header. If all of it arrives at once, it goes into p without a copy.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.partial != nil {
		return 0, c.readPartial()
	}
	if c.hasLead {
		return c.readAfterLead(p)
	}
	n, err := c.source(p)
	if n == 0 || err != nil {
		return n, err
	}
	if len(p) == 1 && p[0] > ' ' {
		c.lead, c.hasLead = p[0], true
		return 1, nil
	}
	return c.scanHead(p, n)
}

// readAfterLead reads the rest of a header whose first byte was passed on.
func (c *Conn) readAfterLead(p []byte) (int, error) {
	p[0] = c.lead
	if len(p) == 1 {
		return c.scanHead(p, 1)
	}
	n, err := c.source(p[1:])
	if n == 0 || err != nil {
		return n, err
	}
	n, err = c.scanHead(p, n+1)
	if n > 0 {
		c.hasLead = false
		n = copy(p, p[1:n])
	}
	return n, err
}

// scanHead takes the first n bytes of a header, which are the first ones of p, and returns the number of
// bytes to pass on.
func (c *Conn) scanHead(p []byte, n int) (int, error) {
	c.head = headScanner{}
	switch c.head.scan(p[:n]) {
	case complete:
		return c.takeHead(p[:n]), nil
	case incomplete:
		c.began = c.cfg.Clock.Now()
		c.setOwnDeadline(c.began.Add(c.cfg.Times.Head))
		c.partial = append(make([]byte, 0, max(firstHeadBuffer, n)), p[:n]...)
		return 0, nil
	case tooLarge:
		c.state = passing
		return n, nil
	default:
		c.refuseHead()
		return 0, nil
	}
}

// takeHead begins the body after a header that has arrived at once, and returns the number of bytes of
// buf to pass on: the header, which it moves to the begin, and what follows it of a body of known length.
func (c *Conn) takeHead(buf []byte) int {
	c.beginBody(c.cfg.Clock.Now())
	end := c.head.end
	if c.state == inLength {
		n := min(int64(len(buf)-end), c.left)
		end += int(n)
		c.addLength(n)
	}
	c.putBack(buf[end:])
	return copy(buf, buf[c.head.begin:end])
}

// putBack makes source return bytes again that follow what was taken.
func (c *Conn) putBack(rest []byte) {
	if len(rest) > 0 {
		c.unread = slices.Concat(rest, c.unread)
	}
}

// readPartial reads the next part of a header that has not arrived at once.
func (c *Conn) readPartial() error {
	if len(c.partial) == cap(c.partial) {
		size := min(2*cap(c.partial), maxHeadBytes+chunkBufferSize)
		if err := c.reserve(int64(size)); err != nil {
			return err
		}
		c.partial = append(make([]byte, 0, size), c.partial...)
	}
	n, err := c.source(c.partial[len(c.partial):cap(c.partial)])
	if n == 0 || err != nil {
		return err
	}
	c.partial = c.partial[:len(c.partial)+n]
	switch c.head.scan(c.partial) {
	case incomplete:
		return nil
	case complete:
		c.putBack(c.partial[c.head.end:])
		c.ready = c.partial[c.head.begin:c.head.end]
		c.beginBody(c.cfg.Clock.Now())
	case tooLarge:
		c.ready, c.state = c.partial, passing
		c.cfg.count("HeaderTooLarge")
	default:
		c.refuseHead()
		c.hasLead = false
	}
	if c.hasLead {
		c.ready, c.hasLead = c.ready[1:], false
	}
	c.partial = nil
	c.release()
	return nil
}

// refuseHead makes net/http refuse the request.
func (c *Conn) refuseHead() {
	c.cfg.count(c.head.reason)
	c.cfg.logEnded(c, c.head.reason, c.figures()...)
	c.ready, c.state, c.unread = badRequest, passing, nil
}

// refuseForMemory responds to a request whose header could not be kept, and returns the error by which the
// server closes the connection. size is that of the read: while it is a single byte, the response to an
// earlier request may be in progress.
func (c *Conn) refuseForMemory(size int) error {
	if size > 1 {
		// The write fails only if the peer has disconnected.
		_, _ = c.Write(memoryFull)
		c.inBody.Store(true)
	}
	return io.EOF
}

// figures returns what is logged about a request that is refused while it is read.
func (c *Conn) figures() []any {
	return []any{"header", len(c.partial), "body", c.body, "chunks", c.chunks.chunks, "sinceMs", c.cfg.Clock.Now().Sub(c.began).Milliseconds()}
}
