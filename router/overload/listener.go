package overload

import (
	"bytes"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// maxConcurrentRejections bounds the connections that are answered with a rejection
	// at the same time; further ones are reset.
	maxConcurrentRejections = 128
	// rejectTimeout bounds the time that rejecting one connection takes.
	rejectTimeout = time.Second
	// rejectBufferSize is the read buffer for a rejected request in bytes. It must hold
	// the request's header, or the connection is closed without a response.
	rejectBufferSize = 16 << 10
	// maxRejectedRead bounds the bytes read of a rejected request: a caller that is
	// still sending when its connection is closed may lose the response.
	maxRejectedRead = 256 << 10
)

// rejections counts the connections above the limit: Answered got a response, Reset did not.
var rejections = expvar.NewMap("CallerConnections")

// Listener accepts connections while ShouldReject returns false. Other connections get a
// prepared response to their first request, which takes a fraction of the CPU time of
// serving it.
type Listener struct {
	net.Listener
	// ShouldReject reports whether a new connection is to be rejected.
	ShouldReject func() bool
	// Response returns the raw response to a rejected request. It gets the bytes that
	// have been read of the request, which include its header.
	Response func(request []byte) []byte
	// OnReject is called for each rejected connection.
	OnReject func()

	slots chan struct{}
}

// minEvictIdle is how long a connection must have been idle to be closed for a new one.
// Under overload callers reuse their connections within a second.
const minEvictIdle = 5 * time.Second

// ConnectionLimiter tracks the connections of an http.Server and bounds their number.
// Connections that have been idle for minEvictIdle are closed to make room for new
// ones.
type ConnectionLimiter struct {
	// Max is the number of connections from which new ones are rejected; 0 means no
	// limit.
	Max   int
	Clock fleet.Clock

	mu sync.Mutex
	// idleSince holds when each open connection became idle; the zero time if it is in
	// use.
	idleSince map[net.Conn]time.Time
}

// Track records the new state of a connection. Set it as the server's ConnState.
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

// Count returns the number of open connections.
func (n *ConnectionLimiter) Count() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(len(n.idleSince))
}

// ShouldReject reports whether a new connection is to be rejected. At the limit it
// closes the connection that has been idle longest and reports false, if that one has
// been idle for minEvictIdle.
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
	// The caller opens another one. A request in transit on this one has not run.
	_ = oldest.Close()
	return false
}

// NewListener returns a Listener that accepts from ln. Its fields describe the other
// arguments.
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
			rejections.Add("Answered", 1)
			go func() {
				l.reject(c)
				<-l.slots
			}()
		default:
			rejections.Add("Reset", 1)
			reset(c)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If this fails, closing merely takes longer.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// reject responds to the first request of a connection, discards the rest of it and
// closes.
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

// HeaderValue returns the value of a header of a raw HTTP/1.1 request, or nil if it has
// none. The name is not case-sensitive.
func HeaderValue(request []byte, name string) []byte {
	for line := range bytes.SplitSeq(request, []byte("\r\n")) {
		if len(line) == 0 {
			return nil
		}
		fieldName, value, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(fieldName, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

// UnavailableResponse returns a raw HTTP/1.1 response with status 503, which means that
// the request has not run. after becomes its Retry-After in seconds; header and value
// are an extra header, and body is JSON.
func UnavailableResponse(after time.Duration, header string, value []byte, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		after.Seconds(), header, value, len(body), body)
}
