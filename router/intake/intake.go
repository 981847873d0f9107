// Package intake bounds what the connections of an http.Server take in from peers that exceed limits:
// headers, bodies that stall or come in very small chunks, and responses that are not read. What
// net/http reads is the same otherwise.
package intake

import (
	"expvar"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// Times are the times after which a connection is ended.
type Times struct {
	// Head bounds the time from the first byte of a header to its end.
	Head time.Duration
	// Stall bounds the time without a byte of a body.
	Stall time.Duration
	// Grace is the time that a body may take in addition to the one by minBodyRate.
	Grace time.Duration
	// Unread bounds the time in which a peer reads no part of a response that fills the buffers of the
	// connection.
	Unread time.Duration
}

// DefaultTimes are the times of deployments. Proper callers send a header within 3 s. Four packets lost
// one after the other take 3 s. Targets cut off a response that remains unread for some seconds, and no
// request takes longer than 12 s.
var DefaultTimes = Times{Head: 5 * time.Second, Stall: 5 * time.Second, Grace: 5 * time.Second, Unread: 10 * time.Second}

const (
	// minBodyRate is the lowest rate at which a body may arrive, in bytes a second.
	minBodyRate = 16 << 10
	// lingerTime is how long a connection is kept open after a response whose request has not been
	// read to its end.
	lingerTime = 500 * time.Millisecond
	// maxLingering bounds the connections that are kept open so at the same time.
	maxLingering = 256
	// lateTime is how long after a deadline the process has to notice it to count as delayed itself, as
	// after a suspension.
	lateTime = 500 * time.Millisecond
	// deadlineStep is the time by which the deadline of a read has to move on to be set again.
	deadlineStep = 500 * time.Millisecond
)

// ended counts connections that exceeded a limit, by reason.
var ended = expvar.NewMap("IntakeEnded")

// Config configures a Listener.
type Config struct {
	// Budget bounds what connections hold; nil means no limit.
	Budget *bytebudget.Budget
	// Times are DefaultTimes except in tests.
	Times Times
	Clock fleet.Clock
	Log   *slog.Logger

	lingering atomic.Int64
}

func (cfg *Config) count(reason string) { ended.Add(reason, 1) }

// logEnded logs a connection that is ended because its peer exceeds a limit.
func (cfg *Config) logEnded(c *Conn, reason string, figures ...any) {
	cfg.Log.Warn(logevent.ConnectionEnded, append([]any{"listener", c.LocalAddr().String(), "peer", c.RemoteAddr().String(), logevent.FieldReason, reason}, figures...)...)
}

func (cfg *Config) beginLinger() bool {
	if cfg.lingering.Add(1) > maxLingering {
		cfg.lingering.Add(-1)
		return false
	}
	return true
}

func (cfg *Config) endLinger() { cfg.lingering.Add(-1) }

// Listener accepts the connections of another listener and bounds what they take in.
type Listener struct {
	net.Listener
	cfg *Config
}

// NewListener returns a Listener. Listeners of the same server may share cfg.
func NewListener(ln net.Listener, cfg *Config) *Listener {
	return &Listener{Listener: ln, cfg: cfg}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.cfg), nil
}
