package intake

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// SetReadDeadline implements net.Conn. It is the server's deadline; that of the limits may be earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverUntil = t
	return c.applyLocked()
}

// SetWriteDeadline implements net.Conn. A deadline in the past ends all writes. Others end the next Write
// at the latest; the server clears its own after each response.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	if t.Before(c.cfg.Clock.Now()) {
		c.cut.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// setOwnDeadline sets the deadline of the limits, which the next read from the peer applies.
func (c *Conn) setOwnDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownUntil = t
}

// applyReadDeadline puts the deadline for the next read from the peer in force.
func (c *Conn) applyReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyLocked()
}

// applyLocked puts the earlier deadline in force. One of the limits that moves on by less than
// deadlineStep is left as it is, which saves processor time. The caller holds mu.
func (c *Conn) applyLocked() error {
	until := c.serverUntil
	if own := c.ownUntil; !own.IsZero() && (until.IsZero() || own.Before(until)) {
		if ahead := own.Sub(c.readUntil); ahead >= 0 && ahead < deadlineStep {
			return nil
		}
		until = own
	}
	if until.Equal(c.readUntil) {
		return nil
	}
	c.readUntil = until
	return c.Conn.SetReadDeadline(until)
}

// reserve makes the bytes that the connection holds count in the budget; n replaces what it held.
func (c *Conn) reserve(n int64) error {
	hold, err := c.openHold()
	if err != nil {
		return err
	}
	// Not under mu: the budget may end other holds, whose connections take their own locks.
	if err := hold.Grow(c.cfg.Clock.Now(), n-c.reserved); err != nil {
		c.cfg.count("Memory")
		return err
	}
	c.reserved = n
	return nil
}

// openHold returns the hold of the connection.
func (c *Conn) openHold() (*bytebudget.Hold, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.hold == nil && c.cfg.Budget != nil {
		c.hold = c.cfg.Budget.Open(c.cfg.Clock.Now(), bytebudget.OwnerOf("", c.RemoteAddr().String()), c.drop)
	}
	return c.hold, nil
}

// drop ends the reading of a connection whose memory is needed. The server then closes it.
func (c *Conn) drop(bytebudget.Phase) {
	c.dropped.Store(true)
	// The call fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// release releases what reserve has reserved.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved = 0
	c.releaseLocked()
}

func (c *Conn) releaseLocked() {
	c.hold.Close()
	c.hold = nil
}

// isLateTimeout reports whether a read has timed out by the limits because the process was delayed, so
// that it is to be repeated: what the peer has sent meanwhile may wait to be read. Other time-outs by
// the limits are counted and logged.
func (c *Conn) isLateTimeout(err error) bool {
	c.mu.Lock()
	own, byServer := c.ownUntil, c.serverUntil
	c.mu.Unlock()
	// The server ends its reads by a deadline after each request, so that the usual case comes first.
	if own.IsZero() || c.dropped.Load() || !isTimeout(err) {
		return false
	}
	now := c.cfg.Clock.Now()
	if !byServer.IsZero() && byServer.Before(now) || now.Before(own.Add(-deadlineStep)) {
		return false
	}
	if late := now.Sub(own); late >= lateTime {
		c.began = c.began.Add(late)
		c.setOwnDeadline(now.Add(c.cfg.Times.Stall))
		return true
	}
	reason := "SlowBody"
	if c.state == inHead {
		reason = "SlowHeader"
	}
	c.cfg.count(reason)
	c.cfg.logEnded(c, reason, c.figures()...)
	return false
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Close implements net.Conn. If the peer still sends a body, the connection is closed a while later:
// closing it with unread data resets it, and the peer may lose the response.
func (c *Conn) Close() error {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.releaseLocked()
	c.mu.Unlock()
	if again || !c.inBody.Load() || !c.wrote.Load() || !c.cfg.beginLinger() {
		return c.Conn.Close()
	}
	err := c.CloseWrite()
	time.AfterFunc(lingerTime, func() {
		// The connection is given up; an error has no consequence.
		_ = c.Conn.Close()
		c.cfg.endLinger()
	})
	return err
}
