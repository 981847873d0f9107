package routercmd

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func send(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

func requestIDOf(r *http.Request) string { return r.Header.Get("Fuchsiashed-Request-Id") }

func isStreamRequest(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/streams/") }

func notFound(c net.Conn) { send(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") }

// failFirst applies a fault to the first request and responds to the others without
// faults. Requests about streams get 404.
func failFirst(fault script) script {
	var mu sync.Mutex
	done := false
	succeed := plainAnswer("filed")
	return func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
		if isStreamRequest(r) {
			notFound(c)
			return
		}
		mu.Lock()
		first := !done
		done = true
		mu.Unlock()
		if first {
			fault(t, c, r, body)
			return
		}
		succeed(t, c, r, body)
	}
}

// faults are the ways in which a target of a plain service fails a request.
var faults = []struct {
	name  string
	fault script
	// mayHaveRun reports whether the target may have run the request.
	mayHaveRun bool
	// partialResponse reports whether the caller gets a part of the response before the
	// fault.
	partialResponse bool
	reason          fleet.Reason
}{
	{"reset before the answer", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) { reset(c) }, true, false, fleet.ReasonTargetReset},
	{"reset within the header", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Le")
		time.Sleep(20 * time.Millisecond)
		reset(c)
	}, true, false, fleet.ReasonTargetReset},
	{"closed within the header", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r")
		_ = c.Close()
	}, true, false, fleet.ReasonTargetReset},
	{"closed before the answer", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) { _ = c.Close() }, true, false, fleet.ReasonTargetReset},
	{"not HTTP", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) { send(c, "hello\r\n\r\n"); _ = c.Close() }, true, false, fleet.ReasonTargetReset},
	{"short body", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfil")
		_ = c.Close()
	}, true, true, fleet.ReasonTargetShortAnswer},
	{"chunks without the last", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfil\r\n")
		_ = c.Close()
	}, true, true, fleet.ReasonTargetShortAnswer},
	{"no framing", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.0 200 OK\r\n\r\nfil")
		_ = c.Close()
	}, true, true, fleet.ReasonTargetShortAnswer},
	{"reset within the body", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfil")
		time.Sleep(20 * time.Millisecond)
		reset(c)
	}, true, true, fleet.ReasonTargetReset},
	{"silent within the body", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfil")
		time.Sleep(time.Second)
	}, true, true, fleet.ReasonTargetReset},
	{"answer of another request", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 200 OK\r\nFuchsiashed-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
	}, true, false, fleet.ReasonTargetWrongAnswer},
	{"refused before any work", func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
		send(c, "HTTP/1.1 503 Busy\r\nFuchsiashed-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	}, false, false, fleet.ReasonTargetRefused},
}

func TestTargetFaults(t *testing.T) {
	f := startFixture(t)
	defer f.stop(t)
	for i, tt := range faults {
		target := newFakeTarget(t, failFirst(tt.fault))
		f.dispatcher.setTargets("desk", target.addr)
		convey.Convey(tt.name+", an idempotent call", t, func() {
			a := f.call("GET", fmt.Sprintf("/services/desk/status/%d", i), "")
			if tt.partialResponse {
				convey.So(a.err, convey.ShouldNotBeNil)
				return
			}
			convey.So(a.err, convey.ShouldBeNil)
			convey.So(a.status, convey.ShouldEqual, 200)
			convey.So(a.body, convey.ShouldEqual, "filed")
		})
		target = newFakeTarget(t, failFirst(tt.fault))
		f.dispatcher.setTargets("desk", target.addr)
		convey.Convey(tt.name+", a run-once call", t, func() {
			key := fmt.Sprintf("fault-%d", i)
			a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", key)
			switch {
			case tt.partialResponse:
				convey.So(a.err, convey.ShouldNotBeNil)
			case tt.mayHaveRun:
				convey.So(a.err, convey.ShouldBeNil)
				convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
				convey.So(a.reason(), convey.ShouldEqual, string(tt.reason))
			default:
				convey.So(a.status, convey.ShouldEqual, 200)
				return
			}
			convey.So(target.runs(), convey.ShouldEqual, 1)
			time.Sleep(30 * time.Millisecond)
			b := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", key)
			convey.So(b.reason(), convey.ShouldEqual, "EarlierRunInDoubt")
			convey.So(b.verdict(), convey.ShouldEqual, "MayHaveRun")
			convey.So(target.runs(), convey.ShouldEqual, 1)
		})
	}
}

func (f *fakeDispatcher) setTargets(s fleet.ServiceName, addrs ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[s] = addrs
}

// unreachableAddr returns an address that refuses connections until the test ends. Its port is
// bound, so that no other process can listen on it meanwhile.
func unreachableAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*unix.SockaddrInet4).Port))
}

func TestUnreachableTarget(t *testing.T) {
	f := startFixture(t)
	defer f.stop(t)
	f.dispatcher.setTargets("desk", unreachableAddr(t))
	convey.Convey("A request that reached no target is NotRun, and its key can be used again", t, func() {
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "k", "Fuchsiashed-Deadline", "500ms")
		convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
		convey.So(a.reason(), convey.ShouldEqual, "TargetConnect")
		convey.So(a.header.Get("Retry-After"), convey.ShouldEqual, "1")
		target := newFakeTarget(t, plainAnswer("filed"))
		f.dispatcher.setTargets("desk", target.addr)
		time.Sleep(50 * time.Millisecond)
		b := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "k")
		convey.So(b.status, convey.ShouldEqual, 200)
	})
	convey.Convey("A request for a service without targets is refused at once", t, func() {
		f.dispatcher.setTargets("desk")
		began := time.Now()
		a := f.call("GET", "/services/desk/status/1", "")
		convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
		convey.So(a.reason(), convey.ShouldEqual, "NoTarget")
		convey.So(time.Since(began), convey.ShouldBeLessThan, 500*time.Millisecond)
	})
}

func TestLateAndRepeatedAnswers(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	convey.Convey("A response later than the idle timeout is passed on if the target cannot resume it", t, func() {
		target := newFakeTarget(t, failFirst(func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
			time.Sleep(900 * time.Millisecond)
			plainAnswer("late")(t, c, r, body)
		}))
		f.dispatcher.setTargets("desk", target.addr)
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "late")
		convey.So(a.status, convey.ShouldEqual, 200)
		convey.So(a.body, convey.ShouldEqual, "late")
		convey.So(target.runs(), convey.ShouldEqual, 1)
	})
	convey.Convey("A request without a response fails at its deadline", t, func() {
		target := newFakeTarget(t, failFirst(func(*fakeTarget, net.Conn, *http.Request, string) { time.Sleep(2 * time.Second) }))
		f.dispatcher.setTargets("desk", target.addr)
		began := time.Now()
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "never", "Fuchsiashed-Deadline", "700ms")
		convey.So(a.reason(), convey.ShouldEqual, "Deadline")
		convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
		convey.So(time.Since(began), convey.ShouldBeLessThan, 1500*time.Millisecond)
	})
	convey.Convey("A second response on a connection reaches no other caller", t, func() {
		target := newFakeTarget(t, func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
			if isStreamRequest(r) {
				notFound(c)
				return
			}
			answer := plainAnswer("for " + r.URL.Path)
			answer(t, c, r, body)
			time.Sleep(2 * time.Millisecond)
			answer(t, c, r, body)
		})
		f.dispatcher.setTargets("desk", target.addr)
		for i := range 20 {
			path := fmt.Sprintf("/status/%d", i)
			a := f.call("GET", "/services/desk"+path, "")
			convey.So(a.status, convey.ShouldEqual, 200)
			convey.So(a.body, convey.ShouldEqual, "for "+path)
			time.Sleep(time.Duration(i%4) * time.Millisecond)
		}
	})
}

// TestRepeatedRefusal guards against an earlier refusal that a target writes once more on a kept
// connection: the later request, which runs, must not be taken for one that has not (REFUSED, TWICE).
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	convey.Convey("A request whose response follows a repeated refusal may have run", t, func() {
		var requests atomic.Int64
		target := newFakeTarget(t, func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
			if isStreamRequest(r) {
				notFound(c)
				return
			}
			if requests.Add(1) > 1 {
				send(c, "HTTP/1.1 503 Busy\r\nFuchsiashed-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			}
			plainAnswer("ran")(t, c, r, body)
		})
		f.dispatcher.setTargets("drafter", target.addr)
		a := f.call("POST", completionsPath, `{}`)
		convey.So(a.status, convey.ShouldEqual, 200)
		a = f.call("POST", completionsPath, `{}`, "Fuchsiashed-Deadline", "500ms")
		convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
	})
}
