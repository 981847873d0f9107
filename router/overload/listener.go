package overload

import (
	"bytes"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

const (
	// maxConcurrentRejections bounds the connections that are being rejected at the same
	// time; further ones are not accepted meanwhile. A reset would bring their callers back at
	// once.
	maxConcurrentRejections = 2048
	// rejectTimeout bounds the wait for the header of a rejected request, and for the
	// response to be sent.
	rejectTimeout = time.Second
	// rejectLinger is the time from the response to the close of the connection. It lets the
	// response arrive: closing a connection with unread data resets it.
	rejectLinger = 300 * time.Millisecond
	// rejectBufferSize is the read buffer for a rejected request in bytes. It must hold
	// the request's header, or the connection is closed without a response.
	rejectBufferSize = 20 << 10
	// maxUnreadBody is the largest body of a rejected request, in bytes, that is not read.
	// It fits into the socket buffers, so that the caller can send it all and then read the
	// response.
	maxUnreadBody = 32 << 10
	// maxRejectedRead bounds the bytes read of a rejected request: a caller that is
	// still sending when its connection is closed may lose the response.
	maxRejectedRead = 256 << 10
)

// rejectBuffers holds buffers of rejectBufferSize.
var rejectBuffers = sync.Pool{New: func() any { return new([rejectBufferSize]byte) }}

// The outcomes of new connections. Those above the limit are admitted by their first request or
// answered with a rejection; broken ones ended before the response was sent.
const (
	connectionAccepted = "Accepted"
	connectionAdmitted = "Admitted"
	connectionAnswered = "Answered"
	connectionBroken   = "Broken"
)

// connectionOutcomes lists all outcomes of new connections.
var connectionOutcomes = []string{connectionAccepted, connectionAdmitted, connectionAnswered, connectionBroken}

// newConnections counts new connections by outcome.
var newConnections = expvar.NewMap("CallerConnections")

// connectionCounts returns the values of newConnections.
func connectionCounts() map[string]int64 {
	counts := map[string]int64{}
	for _, name := range connectionOutcomes {
		if n, ok := newConnections.Get(name).(*expvar.Int); ok {
			counts[name] = n.Value()
		}
	}
	return counts
}

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
	// Admit reports, by what has been read of its first request, which includes the header,
	// whether a connection above the limit is served nevertheless. Such connections are accepted
	// from Admitted. It is optional.
	Admit func(request []byte) bool
	// Budget bounds what is held of the requests on connections above the limit; nil means no limit.
	Budget *bytebudget.Budget

	slots chan struct{}
	// admitted passes on connections until closed is closed.
	admitted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a Listener that accepts from ln. Its fields describe the other
// arguments.
func NewListener(ln net.Listener, shouldReject func() bool, response func([]byte) []byte, onReject func()) *Listener {
	return &Listener{
		Listener: ln, ShouldReject: shouldReject, Response: response, OnReject: onReject,
		slots: make(chan struct{}, maxConcurrentRejections), admitted: make(chan net.Conn), closed: make(chan struct{}),
	}
}

// LimitRejections bounds the connections that are being rejected at the same time, each of which has a
// descriptor, below the default. It must be called before Accept.
func (l *Listener) LimitRejections(n int) {
	if n > 0 && n < maxConcurrentRejections {
		l.slots = make(chan struct{}, n)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Admitted returns the listener for the connections that Admit admits. Closing either listener
// closes both.
func (l *Listener) Admitted() net.Listener { return admittedListener{l} }

// admittedListener accepts the connections that Admit admits.
type admittedListener struct{ *Listener }

// Accept implements net.Listener.
func (l admittedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.admitted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.ShouldReject() {
			newConnections.Add(connectionAccepted, 1)
			if tcp, ok := c.(*net.TCPConn); ok {
				return &limitedConn{TCPConn: tcp}, nil
			}
			return c, nil
		}
		select {
		case l.slots <- struct{}{}:
			go l.handleAboveLimit(c)
		case <-l.closed:
			_ = c.Close()
			return nil, net.ErrClosed
		}
		// Callers may open connections faster than they can be rejected. Without this, nothing else
		// gets the processor while connections wait to be accepted.
		runtime.Gosched()
	}
}

// handleAboveLimit admits a connection above the limit, or responds to its first request and closes
// it a while later.
func (l *Listener) handleAboveLimit(c net.Conn) {
	first, err := waitForByte(c)
	if err == nil {
		hold := l.openHold(c)
		defer hold.Close()
		err = hold.Grow(clock.Now(), rejectBufferSize)
	}
	buf := rejectBuffers.Get().(*[rejectBufferSize]byte)
	defer rejectBuffers.Put(buf)
	n := 0
	if err == nil {
		buf[0] = first
		n, err = readHeader(c, buf, 1)
	}
	if err == nil && l.Admit != nil && l.Admit(buf[:n]) {
		<-l.slots
		newConnections.Add(connectionAdmitted, 1)
		l.serve(c, bytes.Clone(buf[:n]))
		return
	}
	l.OnReject()
	var linger time.Duration
	if err == nil {
		linger, err = l.respond(c, buf, n)
	}
	outcome := connectionAnswered
	if err != nil {
		outcome = connectionBroken
	}
	newConnections.Add(outcome, 1)
	time.AfterFunc(linger, func() {
		_ = c.Close()
		<-l.slots
	})
}

// clock is what the budget goes by.
var clock fleet.Clock = fleet.SystemClock{}

// openHold returns a hold for the first request on a connection above the limit.
func (l *Listener) openHold(c net.Conn) *bytebudget.Hold {
	if l.Budget == nil {
		return nil
	}
	return l.Budget.Open(clock.Now(), bytebudget.OwnerOf("", c.RemoteAddr().String()), func(bytebudget.Phase) {
		// Reading fails then, and the connection is closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	})
}

// serve passes a connection of which some bytes have been read on to Admitted.
func (l *Listener) serve(c net.Conn, read []byte) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	select {
	case l.admitted <- &limitedConn{TCPConn: tcp, unread: read}:
	case <-l.closed:
		_ = c.Close()
	}
}

// waitForByte reads the first byte of a request. Connections that send nothing hold no buffer meanwhile.
func waitForByte(c net.Conn) (byte, error) {
	if err := c.SetDeadline(time.Now().Add(rejectTimeout)); err != nil {
		return 0, err
	}
	var first [1]byte
	_, err := io.ReadFull(c, first[:])
	return first[0], err
}

// headerEnd is the end of a header.
var headerEnd = []byte("\r\n\r\n")

// readHeader reads a connection, of which buf has n bytes, until it has the header of a request. It
// returns the number of bytes read.
func readHeader(c net.Conn, buf *[rejectBufferSize]byte, n int) (int, error) {
	for searched := 0; !bytes.Contains(buf[searched:n], headerEnd); {
		if n == len(buf) {
			return n, errors.Errorf("the header has more than %d bytes", rejectBufferSize)
		}
		// The end may begin in the part before.
		searched = max(0, n-len(headerEnd)+1)
		read, err := c.Read(buf[n:])
		if err != nil {
			return n, err
		}
		n += read
	}
	return n, nil
}

// respond sends the response to a request of which n bytes have been read. It returns how long the
// connection is to be kept open. Bodies of usual size are not read, which saves CPU time.
func (l *Listener) respond(c net.Conn, buf *[rejectBufferSize]byte, n int) (linger time.Duration, err error) {
	if _, err := c.Write(l.Response(buf[:n])); err != nil {
		return 0, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			return 0, err
		}
	}
	length, err := strconv.Atoi(string(HeaderValue(buf[:n], "Content-Length")))
	if err == nil && length <= maxUnreadBody {
		return rejectLinger, nil
	}
	for read := n; read < maxRejectedRead; read += n {
		if n, err = c.Read(buf[:]); err != nil {
			// The caller has closed the connection, or sends too slowly.
			return 0, nil
		}
	}
	return 0, nil
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
	return rawResponse(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", after.Seconds()), header, value, body)
}

// DeniedResponse returns a raw HTTP/1.1 response with a status that makes a retry pointless.
func DeniedResponse(status int, header string, value []byte, body string) []byte {
	return rawResponse(status, "", header, value, body)
}

// rawResponse returns a raw HTTP/1.1 response. fields has complete header lines, header and value are
// another one.
func rawResponse(status int, fields, header string, value []byte, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), fields, header, value, len(body), body)
}
