package overload_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

// TestConnectionsAboveLimit opens more connections than the limit, each with a long
// body. A rejected caller that is still sending must get the whole response.
func TestConnectionsAboveLimit(t *testing.T) {
	convey.Convey("Connections above the limit get a complete rejection, the others are served", t, func() {
		const limit, callers = 4, 40
		limiter := &overload.ConnectionLimiter{Max: limit, Clock: &clock{now: time.Now()}}
		var refused atomic.Int64
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		response := func(request []byte) []byte {
			return overload.UnavailableResponse(time.Second, "Id", overload.HeaderValue(request, "id"), "full")
		}
		release := make(chan struct{})
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
			ConnState:         limiter.Track,
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// A body that is not read completely shows in the response.
				_, _ = io.Copy(io.Discard, r.Body)
				<-release
			}),
		}
		go func() {
			_ = server.Serve(overload.NewListener(ln, limiter.ShouldReject, response, func() { refused.Add(1) }))
		}()
		defer server.Close()
		results := make(chan string, callers)
		post := func() {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				results <- err.Error()
				return
			}
			defer c.Close()
			body := strings.Repeat("x", 100_000)
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nID: i-1\r\nContent-Length: 100000\r\n\r\n"+body); err != nil {
				results <- err.Error()
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				results <- err.Error()
				return
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil {
				results <- err.Error()
				return
			}
			results <- resp.Status + " " + resp.Header.Get("Id") + " " + resp.Header.Get("Retry-After") + " " + string(text)
		}
		for range limit {
			go post()
		}
		for end := time.Now().Add(5 * time.Second); limiter.Count() < limit && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		for range callers - limit {
			go post()
		}
		count := map[string]int{}
		for range callers - limit {
			count[<-results]++
		}
		close(release)
		for range limit {
			count[<-results]++
		}
		convey.So(count, convey.ShouldResemble, map[string]int{
			"503 Service Unavailable i-1 1.000 full": callers - limit, "200 OK   ": limit,
		})
		convey.So(refused.Load(), convey.ShouldEqual, callers-limit)
	})
}

// TestCrowdAboveLimit guards against callers that are reset instead of answered: they come
// back at once, and take the CPU time that the router needs to serve others (inc1, FAIR).
func TestCrowdAboveLimit(t *testing.T) {
	convey.Convey("All of a crowd that connects before it sends anything gets a response", t, func() {
		const callers = 400
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		response := func([]byte) []byte { return overload.UnavailableResponse(time.Second, "Id", nil, "full") }
		rejecting := overload.NewListener(ln, func() bool { return true }, response, func() {})
		defer ln.Close()
		go func() {
			// Accept returns no connection until the listener is closed.
			_, _ = rejecting.Accept()
		}()
		var connected sync.WaitGroup
		connected.Add(callers)
		results := make(chan string, callers)
		request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17000\r\n\r\n" + strings.Repeat("x", 17000)
		for range callers {
			go func() {
				c, err := net.Dial("tcp", ln.Addr().String())
				connected.Done()
				if err != nil {
					results <- err.Error()
					return
				}
				defer c.Close()
				connected.Wait()
				if _, err := io.WriteString(c, request); err != nil {
					results <- "write: reset"
					return
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					results <- "read: reset"
					return
				}
				_ = resp.Body.Close()
				results <- resp.Status
			}()
		}
		count := map[string]int{}
		for range callers {
			count[<-results]++
		}
		convey.So(count, convey.ShouldResemble, map[string]int{"503 Service Unavailable": callers})
	})
}

// TestIdleConnectionsAreEvicted covers callers that keep idle connections open: they
// must not lock out new callers.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	convey.Convey("Connections idle for minEvictIdle are closed for new ones, others are not", t, func() {
		clk := &clock{now: time.Unix(1_700_000_000, 0)}
		limiter := &overload.ConnectionLimiter{Max: 2, Clock: clk}
		oldest, oldestPeer := net.Pipe()
		second, _ := net.Pipe()
		defer oldestPeer.Close()
		for _, c := range []net.Conn{oldest, second} {
			convey.So(limiter.ShouldReject(), convey.ShouldBeFalse)
			limiter.Track(c, http.StateNew)
			limiter.Track(c, http.StateActive)
		}
		clk.now = clk.now.Add(time.Minute)
		convey.So(limiter.ShouldReject(), convey.ShouldBeTrue)
		limiter.Track(oldest, http.StateIdle)
		clk.now = clk.now.Add(time.Second)
		convey.So(limiter.ShouldReject(), convey.ShouldBeTrue)
		convey.So(limiter.Occupied(), convey.ShouldEqual, 2)
		clk.now = clk.now.Add(5 * time.Second)
		// The capacity that the router reports includes what it would make room for.
		convey.So(limiter.Occupied(), convey.ShouldEqual, 1)
		convey.So(limiter.ShouldReject(), convey.ShouldBeFalse)
		convey.So(limiter.Count(), convey.ShouldEqual, 1)
		_, err := oldestPeer.Read(make([]byte, 1))
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
}

// TestConnectionInUseIsNotEvicted guards against a request that is read and served on a
// connection which the limiter closes at the same moment, so that its caller gets no answer: the
// http.Server reports the connection as idle until it has read the header (LOST).
func TestConnectionInUseIsNotEvicted(t *testing.T) {
	accept := func() (limiter *overload.ConnectionLimiter, clk *clock, caller, accepted net.Conn) {
		clk = &clock{now: time.Unix(1_700_000_000, 0)}
		limiter = &overload.ConnectionLimiter{Max: 1, Clock: clk}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		limited := overload.NewListener(ln, func() bool { return false }, nil, nil)
		caller, err = net.Dial("tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		accepted, err = limited.Accept()
		convey.So(err, convey.ShouldBeNil)
		convey.Reset(func() {
			_ = caller.Close()
			_ = accepted.Close()
			_ = ln.Close()
		})
		limiter.Track(accepted, http.StateNew)
		limiter.Track(accepted, http.StateIdle)
		clk.now = clk.now.Add(time.Minute)
		return limiter, clk, caller, accepted
	}
	convey.Convey("A connection of which a part of a request has been read is not evicted", t, func() {
		limiter, clk, caller, accepted := accept()
		_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
		convey.So(err, convey.ShouldBeNil)
		_, err = accepted.Read(make([]byte, 64))
		convey.So(err, convey.ShouldBeNil)
		convey.So(limiter.ShouldReject(), convey.ShouldBeTrue)
		limiter.Track(accepted, http.StateActive)
		limiter.Track(accepted, http.StateIdle)
		clk.now = clk.now.Add(time.Minute)
		convey.So(limiter.ShouldReject(), convey.ShouldBeFalse)
	})
	convey.Convey("A request that arrives on an evicted connection is not read", t, func() {
		limiter, _, caller, accepted := accept()
		_, err := io.WriteString(caller, "POST / HTTP/1.1\r\n")
		convey.So(err, convey.ShouldBeNil)
		convey.So(limiter.ShouldReject(), convey.ShouldBeFalse)
		n, err := accepted.Read(make([]byte, 64))
		convey.So(n, convey.ShouldEqual, 0)
		convey.So(err, convey.ShouldNotBeNil)
	})
}

// keepAliveEnabled reports whether a connection sends keep-alive probes.
func keepAliveEnabled(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	convey.So(err, convey.ShouldBeNil)
	enabled := 0
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		enabled, sockErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	})
	convey.So(err, convey.ShouldBeNil)
	convey.So(sockErr, convey.ShouldBeNil)
	return enabled != 0
}

// TestKeepAlive guards against callers that vanish and hold a connection of the limit for good.
func TestKeepAlive(t *testing.T) {
	convey.Convey("Connections that are served have keep-alive probes", t, func() {
		inner, err := overload.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		convey.So(err, convey.ShouldBeNil)
		ln := overload.NewListener(inner, func() bool { return false }, nil, nil)
		defer ln.Close()
		c, err := net.Dial("tcp", inner.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer c.Close()
		accepted, err := ln.Accept()
		convey.So(err, convey.ShouldBeNil)
		defer accepted.Close()
		convey.So(keepAliveEnabled(accepted), convey.ShouldBeTrue)
	})
}

// TestQueueOfNewConnections guards against requests that wait for seconds to be read by an
// overloaded router, and are then sent on after their callers have left (GONE).
func TestQueueOfNewConnections(t *testing.T) {
	const opened, timeout = 600, 300 * time.Millisecond
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		convey.Convey("Only some hundred connections wait to be accepted on "+address, t, func() {
			ln, err := overload.Listen(netip.MustParseAddrPort(address))
			convey.So(err, convey.ShouldBeNil)
			defer ln.Close()
			n := 0
			for ; n < opened; n++ {
				c, err := net.DialTimeout("tcp", ln.Addr().String(), timeout)
				if err != nil {
					break
				}
				defer c.Close()
			}
			convey.So(n, convey.ShouldBeBetween, 100, 400)
			for range n {
				c, err := ln.Accept()
				convey.So(err, convey.ShouldBeNil)
				convey.So(c.Close(), convey.ShouldBeNil)
			}
		})
	}
	convey.Convey("An address that is in use is an error", t, func() {
		ln, err := overload.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		_, err = overload.Listen(ln.Addr().(*net.TCPAddr).AddrPort())
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "address already in use")
	})
}
