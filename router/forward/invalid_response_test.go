package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// Guards against a response whose status is not one of HTTP, which must not be passed on as an answer
// or skipped as an informational one (MIXED).
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 None", "000", "099 Odd", "600 Odd", "999 Odd"} {
		convey.Convey("A response with status "+status+" is a failure", t, func() {
			head := "HTTP/1.1 " + status + "\r\nRequest-Id: id-1\r\nStamp: s\r\n"
			for _, response := range []string{
				head + "Content-Length: 4\r\n\r\nwhat",
				// What follows the head could be taken for the response proper.
				head + "Content-Length: 74\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nContent-Length: 4\r\n\r\nwhat",
			} {
				target := newFakeTarget(thenClose(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, response) }))
				got, body, err := newFixture(deployment.KindAtMostOnce, 1, false, target).post("id-1", "")
				if err != nil || got != http.StatusBadGateway {
					t.Errorf("%q: status %d, body %q, error %v", response, got, body, err)
				}
			}
		})
	}
}

// Guards against a target whose bytes are no response, or a refusal, and do not end: a router that collects
// them runs out of memory (issue 60).
func TestNoResponseWithoutEnd(t *testing.T) {
	const echo = "Request-Id: id-1\r\n"
	// maxSent allows for what the socket buffers of both ends hold.
	const maxSent = 4 << 20
	for name, script := range map[string]struct{ head, repeated string }{
		"bytes":                     {"", "x"},
		"empty lines":               {"", "\r\n"},
		"a reason":                  {"HTTP/1.1 200 ", "x"},
		"informational responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a chunk size":              {"HTTP/1.1 200 OK\r\n" + echo + "Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"a chunk extension":         {"HTTP/1.1 200 OK\r\n" + echo + "Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer":                 {"HTTP/1.1 200 OK\r\n" + echo + "Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
		"a declined request's body": {"HTTP/1.1 503 Busy\r\n" + echo + "Not-Run: 1\r\n\r\n", "x"},
		"another request's body":    {"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nStamp: s\r\nContent-Length: 999999999\r\n\r\n", "x"},
	} {
		convey.Convey("The router ends the attempt at a target that sends "+name+" without end", t, func() {
			sent := make(chan int, 1)
			target := newFakeTarget(func(c net.Conn, _ *http.Request) {
				n, _ := io.WriteString(c, script.head)
				for part := strings.Repeat(script.repeated, 1000); ; {
					written, err := io.WriteString(c, part)
					if n += written; err != nil {
						break
					}
				}
				sent <- n
			})
			status, _, err := newFixture(deployment.KindAtMostOnce, 1, false, target).post("id-1", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldBeIn, http.StatusBadGateway, http.StatusServiceUnavailable)
			convey.So(<-sent, convey.ShouldBeLessThan, maxSent)
		})
	}
}
