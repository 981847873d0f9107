package routercmd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// plainAnswer responds with a body and the request's id.
func plainAnswer(body string) script {
	return func(_ *fakeTarget, c net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nFuchsiashed-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Fuchsiashed-Request-Id"), len(body), body)
	}
}

func TestRequestPath(t *testing.T) {
	f := startFixture(t)
	defer f.stop(t)
	target := newFakeTarget(t, plainAnswer("filed"))
	f.dispatcher.mu.Lock()
	f.dispatcher.targets["desk"] = []netip.AddrPort{target.addr}
	f.dispatcher.mu.Unlock()
	convey.Convey("A call is passed on and its grant ends as completed", t, func() {
		a := f.call("GET", "/services/desk/status/7?x=1", "")
		convey.So(a.err, convey.ShouldBeNil)
		convey.So(a.status, convey.ShouldEqual, 200)
		convey.So(a.body, convey.ShouldEqual, "filed")
		convey.So(a.header.Get("Fuchsiashed-Request-Id"), convey.ShouldNotBeBlank)
		convey.So(target.received("GET /status/7?x=1"), convey.ShouldBeTrue)
		time.Sleep(50 * time.Millisecond)
		convey.So(fmt.Sprint(f.dispatcher.outcomes()), convey.ShouldEqual, "[Completed]")
	})
	convey.Convey("Responses of any status and framing are passed on unchanged", t, func() {
		for _, head := range []string{
			"404 Not Found\r\nContent-Length: 0\r\n", "404 Not Found\r\nTransfer-Encoding: chunked\r\n", "204 No Content\r\n",
			"302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n", "500 Broken\r\nContent-Length: 0\r\n",
		} {
			other := newFakeTarget(t, func(_ *fakeTarget, c net.Conn, _ *http.Request, _ string) {
				send(c, "HTTP/1.1 %sX-Of: target\r\n\r\n", head)
				if strings.Contains(head, "chunked") {
					send(c, "0\r\n\r\n")
				}
			})
			f.dispatcher.setTargets("desk", other.addr)
			a := f.call("GET", "/services/desk/status/1", "")
			convey.So(a.err, convey.ShouldBeNil)
			convey.So(fmt.Sprint(a.status), convey.ShouldEqual, head[:3])
			convey.So(a.body, convey.ShouldBeBlank)
			convey.So(a.header.Get("X-Of"), convey.ShouldEqual, "target")
		}
		f.dispatcher.setTargets("desk", target.addr)
		a := f.call("HEAD", "/services/desk/status/1", "", "Idempotency-Key", "head")
		convey.So(a.status, convey.ShouldEqual, 200)
		convey.So(a.header.Get("Content-Length"), convey.ShouldEqual, "5")
	})
	convey.Convey("A run-once call is recorded in the ledger and replayed", t, func() {
		before := target.runs()
		a := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "k1")
		convey.So(a.status, convey.ShouldEqual, 200)
		time.Sleep(50 * time.Millisecond)
		b := f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "k1")
		convey.So(b.status, convey.ShouldEqual, 200)
		convey.So(b.body, convey.ShouldEqual, "filed")
		convey.So(b.header.Get("Fuchsiashed-Replayed"), convey.ShouldEqual, "true")
		convey.So(target.runs(), convey.ShouldEqual, before+1)
		c := f.call("POST", "/services/desk/filings", "other form", "Idempotency-Key", "k1")
		convey.So(c.status, convey.ShouldEqual, 422)
		d := f.call("POST", "/services/desk/filings", "form")
		convey.So(d.reason(), convey.ShouldEqual, "IdempotencyKeyRequired")
		convey.So(d.verdict(), convey.ShouldEqual, "NotRun")
	})
}
