package overload_test

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

// floodRequest is the request on each connection of a flood.
const floodRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// flood is a listener with a number of connections that wait to be accepted, each with a request.
type flood struct {
	net.Listener
	size     int64
	accepted atomic.Int64
	// answered counts the connections that got a response, unanswered those that were closed
	// without one.
	answered, unanswered atomic.Int64
	done                 chan struct{}
	closeOnce            sync.Once
}

func newFlood(size int64) *flood { return &flood{size: size, done: make(chan struct{})} }

// Accept implements net.Listener.
func (f *flood) Accept() (net.Conn, error) {
	if f.accepted.Load() < f.size {
		f.accepted.Add(1)
		return &floodConn{flood: f, request: bytes.NewReader([]byte(floodRequest))}, nil
	}
	<-f.done
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (f *flood) Close() error {
	f.closeOnce.Do(func() { close(f.done) })
	return nil
}

// floodConn is a connection of a flood.
type floodConn struct {
	net.Conn
	flood    *flood
	request  io.Reader
	answered atomic.Bool
}

// Read implements net.Conn.
func (c *floodConn) Read(b []byte) (int, error) { return c.request.Read(b) }

// Write implements net.Conn.
func (c *floodConn) Write(b []byte) (int, error) {
	if !c.answered.Swap(true) {
		c.flood.answered.Add(1)
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *floodConn) Close() error {
	if !c.answered.Load() {
		c.flood.unanswered.Add(1)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *floodConn) SetDeadline(time.Time) error { return nil }

// rejectAll rejects all connections of a flood until the test ends.
func rejectAll(f *flood) {
	response := func([]byte) []byte { return overload.UnavailableResponse(time.Second, "Id", nil, "full") }
	ln := overload.NewListener(f, func() bool { return true }, response, func() {})
	convey.Reset(func() { _ = ln.Close() })
	go func() {
		// Accept returns no connection until the listener is closed.
		_, _ = ln.Accept()
	}()
}

// TestFloodLeavesProcessor guards against a router that does nothing but reject connections while
// callers open new ones: requests that it has accepted, and what it follows of targets, wait for
// seconds (DRAIN, FAIR at crowded routers).
func TestFloodLeavesProcessor(t *testing.T) {
	convey.Convey("Other work gets its turn after each rejected connection", t, func() {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		f := newFlood(20_000)
		rejectAll(f)
		most, before := int64(0), int64(0)
		for end := time.Now().Add(2 * time.Second); before < f.size && time.Now().Before(end); {
			runtime.Gosched()
			now := f.accepted.Load()
			most, before = max(most, now-before), now
		}
		convey.So(most, convey.ShouldBeBetween, 0, 4)
	})
}

// TestFloodIsAnswered guards against connections that are closed without a response because many
// are being rejected: their callers come back at once, which makes the flood larger.
func TestFloodIsAnswered(t *testing.T) {
	convey.Convey("Each of 5,000 connections at once gets a response", t, func() {
		f := newFlood(5000)
		rejectAll(f)
		for end := time.Now().Add(10 * time.Second); f.answered.Load()+f.unanswered.Load() < f.size && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		convey.So(f.unanswered.Load(), convey.ShouldEqual, 0)
		convey.So(f.answered.Load(), convey.ShouldEqual, f.size)
	})
}
