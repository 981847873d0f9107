package crowd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/crowd"
)

// TestCrowdOfConnections has more callers come than a router bears, each with a long body.
func TestCrowdOfConnections(t *testing.T) {
	convey.Convey("Connections above the limit get a whole refusal, the others are served", t, func() {
		const limit, callers = 4, 40
		var open, refused atomic.Int64
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		answer := func(request []byte) []byte {
			return crowd.Unavailable(time.Second, "Id", crowd.HeaderOf(request, "id"), "full")
		}
		release := make(chan struct{})
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
			ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					open.Add(1)
				}
			},
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The test sees a body that was not read by its answer.
				_, _ = io.Copy(io.Discard, r.Body)
				<-release
			}),
		}
		full := func() bool { return open.Load() >= limit }
		go func() { _ = server.Serve(crowd.NewListener(ln, full, answer, func() { refused.Add(1) })) }()
		defer server.Close()
		results := make(chan string, callers)
		ask := func() {
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
			go ask()
		}
		for end := time.Now().Add(5 * time.Second); open.Load() < limit && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		for range callers - limit {
			go ask()
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
