package overload_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/router/overload"
)

func TestCustomerShares(t *testing.T) {
	convey.Convey("A customer is below an even share while it has fewer requests than the mean", t, func() {
		var s overload.CustomerShares
		convey.So(s.IsBelowEven("small"), convey.ShouldBeFalse)
		for range 9 {
			s.Begin("large")
		}
		convey.So(s.IsBelowEven("large"), convey.ShouldBeFalse)
		convey.So(s.IsBelowEven("small"), convey.ShouldBeTrue)
		end := s.Begin("small")
		convey.So(s.IsBelowEven("small"), convey.ShouldBeTrue)
		for range 8 {
			s.Begin("small")
		}
		convey.So(s.IsBelowEven("small"), convey.ShouldBeFalse)
		end()
		convey.So(s.IsBelowEven("small"), convey.ShouldBeTrue)
	})
}

// TestSmallCustomerAboveLimit guards against a customer whose connections are rejected because
// those of a larger customer take all of a router's.
func TestSmallCustomerAboveLimit(t *testing.T) {
	convey.Convey("Above the limit, connections of a customer with few requests are served", t, func() {
		const limit = 4
		limiter := &overload.ConnectionLimiter{Max: limit, Clock: &clock{now: time.Now()}}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		var shares overload.CustomerShares
		release := make(chan struct{})
		server := &http.Server{
			ReadHeaderTimeout: time.Second, ConnState: limiter.Track,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c := fleet.CustomerName(r.Header.Get("Customer"))
				defer shares.Begin(c)()
				if c == "large" {
					<-release
				}
				// The body shows that all bytes of the request have arrived.
				_, _ = io.Copy(w, r.Body)
			}),
		}
		limited := overload.NewListener(ln, limiter.ShouldReject, func([]byte) []byte {
			return overload.UnavailableResponse(time.Second, "Id", nil, "full")
		}, func() {})
		limited.Admit = func(request []byte) bool {
			return shares.IsBelowEven(fleet.CustomerName(overload.HeaderValue(request, "Customer")))
		}
		go func() { _ = server.Serve(limited) }()
		go func() { _ = server.Serve(limited.Admitted()) }()
		convey.Reset(func() { _ = server.Close() })
		post := func(customer string) string {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return err.Error()
			}
			defer c.Close()
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nCustomer: "+customer+"\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
				return err.Error()
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err.Error()
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return err.Error()
			}
			return resp.Status + " " + string(body)
		}
		held := make(chan string, limit)
		for range limit {
			go func() { held <- post("large") }()
		}
		for end := time.Now().Add(5 * time.Second); !shares.IsBelowEven("small") || limiter.Count() < limit; {
			convey.So(time.Now().Before(end), convey.ShouldBeTrue)
			time.Sleep(time.Millisecond)
		}
		convey.So(post("large"), convey.ShouldEqual, "503 Service Unavailable full")
		convey.So(post("small"), convey.ShouldEqual, "200 OK hello")
		close(release)
		for range limit {
			convey.So(<-held, convey.ShouldEqual, "200 OK hello")
		}
	})
}
