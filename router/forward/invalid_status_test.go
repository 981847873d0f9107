package forward_test

import (
	"fmt"
	"net"
	"net/http"
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
