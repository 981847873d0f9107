package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// inTurn returns a script for several targets: the requests to all of them get the responses in turn.
func inTurn(scripts ...func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	var n atomic.Int64
	return func(c net.Conn, r *http.Request) { scripts[n.Add(1)-1](c, r) }
}

// TestErrorAfterBrokenStream guards against the error of the target that is to resume a stream: its
// text or head in the middle of the stream, or a stream that ends as if it were complete (ORDER, MIXED).
func TestErrorAfterBrokenStream(t *testing.T) {
	const begun = "id: 1\ndata: a\n\n"
	for _, end := range []func(func(net.Conn, *http.Request)) func(net.Conn, *http.Request){thenClose, thenReset} {
		broken := end(respond("200 OK", eventStreamHeaders, chunk(begun)+chunk("id: 2\nda")))
		for name, script := range map[string]func(net.Conn, *http.Request){
			"500 with a text":             respond("500 Internal Server Error", "Stamp: s\r\nContent-Length: 5\r\n", "error"),
			"500 as a stream":             respond("500 Internal Server Error", eventStreamHeaders, chunk("data: error\n\n")+"0\r\n\r\n"),
			"500 without framing":         thenClose(respond("500 Internal Server Error", "Stamp: s\r\n", "error")),
			"200 with a text":             respond("200 OK", "Stamp: s\r\nContent-Length: 7\r\n", "error\n\n"),
			"200 without a type":          respond("200 OK", "Stamp: s\r\nTransfer-Encoding: chunked\r\n", chunk("error\n\n")+"0\r\n\r\n"),
			"204":                         respond("204 No Content", "Stamp: s\r\n", ""),
			"206 as a stream":             respond("206 Partial Content", eventStreamHeaders, chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n"),
			"404":                         respond("404 Not Found", "Stamp: s\r\nContent-Length: 5\r\n", "error"),
			"503 that was not run":        respond("503 Busy", "Not-Run: 1\r\nContent-Length: 4\r\n", "full"),
			"421":                         respond("421 Misdirected Request", "Content-Length: 5\r\n", "other"),
			"a stream that is not marked": respond("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", chunk("data: x\n\n")+"0\r\n\r\n"),
			"no HTTP":                     thenClose(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, "error\n\n") }),
			"a head that breaks off":      thenClose(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nStamp: s") }),
			"nothing":                     thenClose(noResponse),
		} {
			convey.Convey("A stream whose resumption is answered by "+name+" breaks off after its last event", t, func() {
				next := inTurn(broken, script, script)
				a, b := newFakeTarget(next, next, next), newFakeTarget(next, next, next)
				f := newFixture(deployment.KindStream, 3, true, a, b)
				status, body, err := f.post("id-1", "")
				convey.So(status, convey.ShouldEqual, 200)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(body, convey.ShouldEqual, begun)
			})
		}
	}
}
