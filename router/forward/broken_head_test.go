package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// TestHeadThatBreaksOff guards against a target that stops within the head of its response and
// closes: the caller must not get a success with an empty or short body (MIXED, ORDER).
func TestHeadThatBreaksOff(t *testing.T) {
	heads := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nContent-Length: 17\r\n\r\n",
		"in chunks":     "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed":      "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nConnection: close\r\n\r\n",
		"of a stream":   "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n",
		"with bare LF":  "HTTP/1.1 200 OK\nRequest-Id: id-1\nStamp: s\n\n",
	}
	for name, head := range heads {
		convey.Convey("A head "+name+" that breaks off is a failure, wherever it does", t, func() {
			for cut := range len(head) {
				target := newFakeTarget(thenClose(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, head[:cut]) }))
				status, body, err := newFixture(deployment.KindAtMostOnce, 1, false, target).post("id-1", "")
				if err != nil || status != http.StatusBadGateway {
					t.Errorf("cut off after %q: status %d, body %q, error %v", head[:cut], status, body, err)
				}
			}
		})
	}
}
