package routercmd

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// sendRaw sends bytes on a new connection and returns the status and body of the
// response. Without a response the status is 0 and the body is the error.
func (f *fixture) sendRaw(t *testing.T, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	send(c, "%s", text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// refusalCount returns how many requests were refused for the reason.
func refusalCount(reason fleet.Reason) int64 {
	n, ok := refusals.Get(string(reason)).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

const authorizedHeaders = "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n"

func TestMisuse(t *testing.T) {
	f := startFixture(t)
	defer f.stop(t)
	target := newFakeTarget(t, plainAnswer("filed"))
	f.dispatcher.setTargets("desk", target.addr)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\n" + authorizedHeaders + "\r\n" }
	tests := []struct {
		name, request string
		status        int
		reason        string
	}{
		{"dot segment", get("/services/desk/status/../filings"), 400, "Malformed"},
		{"encoded dot segment", get("/services/desk/status/%2e%2e/filings"), 400, "Malformed"},
		{"encoded slash", get("/services/desk/status%2F..%2Ffilings"), 400, "Malformed"},
		{"double encoding", get("/services/desk/status/%252e%252e/filings"), 400, "Malformed"},
		{"empty segment", get("/services/desk//status/1"), 400, "Malformed"},
		{"reverse slash", get("/services/desk/status/..\\filings"), 400, "Malformed"},
		{"encoded line feed", get("/services/desk/status/%0a"), 400, "Malformed"},
		{"another root", get("/standin/record"), 400, "Malformed"},
		{"unknown service", get("/services/nobody/status/1"), 404, "UnknownService"},
		{"method that is not passed on", "TRACE /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "\r\n", 400, "Malformed"},
		{"no key", "GET /services/desk/status/1 HTTP/1.1\r\nHost: x\r\n\r\n", 401, "UnknownKey"},
		{"wrong key", "GET /services/desk/status/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n\r\n", 401, "UnknownKey"},
		{"two keys", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Authorization: Bearer no\r\n\r\n", 401, "UnknownKey"},
		{"large header", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "X: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", 431, "HeaderTooLarge"},
		{"announced body too large", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Content-Length: 70000\r\n\r\n", 413, "BodyTooLarge"},
		{"chunked body too large", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n", 413, "BodyTooLarge"},
		{"broken chunk", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Transfer-Encoding: chunked\r\n\r\nxx\r\nyy\r\n", 400, "Malformed"},
		{"two idempotency keys", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, "Malformed"},
		{"bad deadline", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "Fuchsiashed-Deadline: soon\r\n\r\n", 400, "Malformed"},
		{"conflicting lengths", "POST /services/desk/filings HTTP/1.1\r\n" + authorizedHeaders + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400, ""},
		{"folded header", "GET /services/desk/status/1 HTTP/1.1\r\n" + authorizedHeaders + "X : y\r\n\r\n", 400, ""},
		{"unknown transfer encoding", "POST /services/desk/filings HTTP/1.1\r\n" + authorizedHeaders + "Transfer-Encoding: chunked, identity\r\n\r\n", 501, ""},
		{"not HTTP", "\x16\x03\x01\r\n\r\n", 400, ""},
	}
	headers, keys := refusalCount(fleet.ReasonHeaderTooLarge), refusalCount(fleet.ReasonUnknownKey)
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			status, body := f.sendRaw(t, tt.request)
			convey.So(status, convey.ShouldEqual, tt.status)
			if tt.reason != "" {
				convey.So(body, convey.ShouldContainSubstring, `"Verdict":"NotRun","Reason":"`+tt.reason+`"`)
			}
		})
	}
	convey.Convey("None of these requests reached the target", t, func() {
		convey.So(target.runs(), convey.ShouldEqual, 0)
	})
	convey.Convey("Refusals are counted by reason", t, func() {
		convey.So(refusalCount(fleet.ReasonHeaderTooLarge)-headers, convey.ShouldEqual, 1)
		convey.So(refusalCount(fleet.ReasonUnknownKey)-keys, convey.ShouldEqual, 3)
		convey.So(f.get(t, f.admin+"/debug/vars"), convey.ShouldContainSubstring, `"RouterRefusals": {`)
	})
}

func TestSmuggling(t *testing.T) {
	f := startFixture(t)
	defer f.stop(t)
	var got *http.Request
	var gotBody string
	target := newFakeTarget(t, func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
		got, gotBody = r, body
		plainAnswer("filed")(t, c, r, body)
	})
	f.dispatcher.setTargets("desk", target.addr)
	convey.Convey("A body with both Content-Length and chunked encoding is reframed and starts no second request", t, func() {
		inner := "GET /services/desk/status/2 HTTP/1.1\r\n" + authorizedHeaders + "\r\n"
		status, _ := f.sendRaw(t, "GET /services/desk/status/1 HTTP/1.1\r\n"+authorizedHeaders+
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(inner)+5)+"0\r\n\r\n"+inner)
		time.Sleep(50 * time.Millisecond)
		convey.So(status, convey.ShouldBeIn, 200, 400)
		convey.So(target.received("GET /status/2"), convey.ShouldBeFalse)
	})
	convey.Convey("Hop-by-hop headers, the fleet's own and the customer's key are not passed on", t, func() {
		status, _ := f.sendRaw(t, "GET /services/desk/status/3 HTTP/1.1\r\n"+authorizedHeaders+
			"Connection: X-Secret, keep-alive\r\nX-Secret: 1\r\nTe: trailers\r\nUpgrade: websocket\r\nProxy-Authorization: x\r\n"+
			"Fuchsiashed-Request-Id: forged\r\nFuchsiashed-Not-Run: true\r\nX-Http-Method-Override: POST\r\nX-Kept: 1\r\n"+
			"Content-Length: 4\r\n\r\nbody")
		convey.So(status, convey.ShouldEqual, 200)
		for _, name := range []string{"X-Secret", "Te", "Upgrade", "Proxy-Authorization", "Authorization", "Fuchsiashed-Not-Run", "X-Http-Method-Override"} {
			convey.So(got.Header.Get(name), convey.ShouldBeBlank)
		}
		convey.So(got.Header.Get("X-Kept"), convey.ShouldEqual, "1")
		convey.So(requestIDOf(got), convey.ShouldStartWith, "router-1-")
		convey.So(gotBody, convey.ShouldEqual, "body")
	})
}

func TestSlowCallers(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	convey.Convey("A body that arrives too slowly is refused", t, func() {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		send(c, "POST /services/desk/filings HTTP/1.1\r\n%sContent-Length: 100\r\n\r\n", authorizedHeaders)
		began := time.Now()
		go func() {
			for range 100 {
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, 408)
		convey.So(resp.Header.Get("Fuchsiashed-Reason"), convey.ShouldEqual, "SlowCaller")
		convey.So(time.Since(began), convey.ShouldBeLessThan, 2*testBodyGrace)
	})
	convey.Convey("A header that arrives too slowly ends the connection", t, func() {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(4 * testBodyGrace))
		send(c, "GET /services/desk")
		_, err = io.ReadAll(c)
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("The stream of a caller that has stopped reading is cancelled", t, func() {
		e := newEngineStream(200_000)
		target := newFakeTarget(t, e.script)
		f.dispatcher.setTargets("drafter", target.addr)
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		send(c, "POST %s HTTP/1.1\r\n%sContent-Length: 2\r\n\r\n{}", completionsPath, authorizedHeaders)
		select {
		case <-e.cancelled:
		case <-time.After(8 * time.Second):
			t.Error("the stream was not cancelled")
		}
	})
}

func TestLimits(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	defer f.stop(t)
	convey.Convey("Connections beyond the limit are closed", t, func() {
		before := refusalCount(fleet.ReasonTooManyConnections)
		var conns []net.Conn
		for range 520 {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			convey.So(err, convey.ShouldBeNil)
			conns = append(conns, c)
		}
		refused := func() bool { return refusalCount(fleet.ReasonTooManyConnections)-before >= 20 }
		convey.So(eventually(refused), convey.ShouldBeTrue)
		for _, c := range conns {
			_ = c.Close()
		}
		served := func() bool { return f.call("GET", "/services/desk/unknown", "").status == 400 }
		convey.So(eventually(served), convey.ShouldBeTrue)
	})
	// startHeldCalls makes n calls, one after another, that their target holds until
	// release is closed. The results arrive on the returned channel.
	startHeldCalls := func(n int, call func() callResult) (results chan callResult, release chan struct{}) {
		results, release = make(chan callResult, n), make(chan struct{})
		target := newFakeTarget(t, func(t *fakeTarget, c net.Conn, r *http.Request, body string) {
			if isStreamRequest(r) {
				notFound(c)
				return
			}
			<-release
			plainAnswer("filed")(t, c, r, body)
		})
		f.dispatcher.setTargets("desk", target.addr)
		for i := range n {
			go func() { results <- call() }()
			convey.So(eventually(func() bool { return target.runs() == i+1 }), convey.ShouldBeTrue)
		}
		return results, release
	}
	convey.Convey("Request bodies take no more memory than allowed", t, func() {
		body := strings.Repeat("x", 60000)
		call := func() callResult { return f.call("GET", "/services/desk/status/1", body) }
		results, release := startHeldCalls(3, call)
		for range 2 {
			a := call()
			convey.So(a.reason(), convey.ShouldEqual, "HostQueueFull")
			convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
		}
		close(release)
		for range 3 {
			convey.So((<-results).status, convey.ShouldEqual, 200)
		}
	})
	convey.Convey("A customer has no more open requests than ConnectionsPerCustomer", t, func() {
		call := func() callResult { return f.call("GET", "/services/desk/status/1", "") }
		results, release := startHeldCalls(16, call)
		for range 4 {
			a := call()
			convey.So(a.reason(), convey.ShouldEqual, "TooManyConnections")
			convey.So(a.verdict(), convey.ShouldEqual, "NotRun")
		}
		close(release)
		for range 16 {
			convey.So((<-results).status, convey.ShouldEqual, 200)
		}
	})
}
