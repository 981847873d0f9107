package overload

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// maxConcurrentRejections bounds the connections that are being refused; more are reset.
	maxConcurrentRejections = 128
	// turnAwayLimit bounds the time that refusing one connection takes.
	rejectTimeout = time.Second
	// turnAwayBuffer is how much of a request is read at once, in bytes.
	rejectBufferSize = 16 << 10
	// maxTurnedAway bounds what is read of a request that is refused, in bytes: a caller
	// that is still sending when its connection is closed may lose the answer.
	maxRejectedRead = 256 << 10
)

// Listener accepts connections as long as there are not too many, and refuses the
// requests on the others by a ready answer, for a fraction of what serving them costs.
type Listener struct {
	net.Listener
	// Full says whether a connection is to be refused.
	ShouldReject func() bool
	// Answer returns the refusal of a request, with what was read of it.
	Response func(request []byte) []byte
	// Refused is told of each refusal.
	OnReject func()

	slots chan struct{}
}

// minIdle is how long a connection has been idle when it may be closed for a new one.
// Callers in a crowd use theirs again within a second.
const minEvictIdle = 5 * time.Second

// ConnectionLimiter follows the connections of a server and bounds their number. Those that
// have been idle for long make room for new ones.
type ConnectionLimiter struct {
	// Max is the number from which new ones are refused; 0 means any number.
	Max   int
	Clock fleet.Clock

	mu sync.Mutex
	// idleSince holds when a connection became idle; the zero time for those in use.
	idleSince map[net.Conn]time.Time
}

// Track takes a change of a connection, as the server's ConnState tells it.
func (n *ConnectionLimiter) Track(c net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idleSince == nil {
		n.idleSince = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew, http.StateActive:
		n.idleSince[c] = time.Time{}
	case http.StateIdle:
		n.idleSince[c] = n.Clock.Now()
	case http.StateClosed, http.StateHijacked:
		delete(n.idleSince, c)
	}
}

// Count returns how many there are.
func (n *ConnectionLimiter) Count() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(len(n.idleSince))
}

// ShouldReject says whether a new connection is to be refused. When there are too many, it closes
// the one that has been idle longest, if that is long enough.
func (n *ConnectionLimiter) ShouldReject() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Max == 0 || len(n.idleSince) < n.Max {
		return false
	}
	var oldest net.Conn
	for c, since := range n.idleSince {
		if !since.IsZero() && (oldest == nil || since.Before(n.idleSince[oldest])) {
			oldest = c
		}
	}
	if oldest == nil || n.Clock.Now().Sub(n.idleSince[oldest]) < minEvictIdle {
		return true
	}
	delete(n.idleSince, oldest)
	// Its caller opens another one; a request that is on its way has not run.
	_ = oldest.Close()
	return false
}

// NewListener puts a Listener before another one.
func NewListener(ln net.Listener, shouldReject func() bool, response func([]byte) []byte, onReject func()) *Listener {
	return &Listener{Listener: ln, ShouldReject: shouldReject, Response: response, OnReject: onReject, slots: make(chan struct{}, maxConcurrentRejections)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.ShouldReject() {
			return c, err
		}
		l.OnReject()
		select {
		case l.slots <- struct{}{}:
			go func() {
				l.reject(c)
				<-l.slots
			}()
		default:
			reset(c)
		}
	}
}

// reset ends a connection at once.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it the close takes longer, and that is all.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// turnAway answers the first request of a connection, reads what is left of it, and closes.
func (l *Listener) reject(c net.Conn) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(rejectTimeout)) != nil {
		return
	}
	buf := make([]byte, rejectBufferSize)
	n := 0
	for !bytes.Contains(buf[:n], []byte("\r\n\r\n")) {
		if n == len(buf) {
			return
		}
		read, err := c.Read(buf[n:])
		if err != nil {
			return
		}
		n += read
	}
	if _, err := c.Write(l.Response(buf[:n])); err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() != nil {
		return
	}
	for read := n; read < maxRejectedRead; read += n {
		var err error
		if n, err = c.Read(buf); err != nil {
			return
		}
	}
}

// HeaderValue returns the value of a header of a request; nil when it has none.
func HeaderValue(request []byte, name string) []byte {
	for line := range bytes.SplitSeq(request, []byte("\r\n")) {
		if len(line) == 0 {
			return nil
		}
		key, value, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(key, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

// UnavailableResponse returns the answer that a request has not run, with a time to come back.
func UnavailableResponse(after time.Duration, header string, value []byte, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		after.Seconds(), header, value, len(body), body)
}
