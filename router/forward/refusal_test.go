package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// pauseAfterRefusal is longer than the pause of a target that has refused a request.
const pauseAfterRefusal = 250 * time.Millisecond

// TestRepeatedRefusal guards against an earlier refusal that a target writes once more on a kept
// connection, and that is taken for the response to a later request, which runs (REFUSED, TWICE).
func TestRepeatedRefusal(t *testing.T) {
	for name, refusal := range map[string]func(net.Conn, *http.Request){
		"that names its request": respond("503 Busy", "Not-Run: 1\r\nContent-Length: 4\r\n", "full"),
		"that names no request": func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull")
		},
	} {
		convey.Convey("A repeated refusal "+name+" refuses no other request", t, func() {
			var earlier *http.Request
			first := func(c net.Conn, r *http.Request) {
				earlier = r
				refusal(c, r)
			}
			second := func(c net.Conn, r *http.Request) {
				refusal(c, earlier)
				respondOK("ran")(c, r)
			}
			target := newFakeTarget(first, second, respondOK("ran again"))
			f := newFixture(deployment.KindAtMostOnce, 3, false, target)
			status, _, err := f.post("id-1", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
			time.Sleep(pauseAfterRefusal)
			status, _, err = f.post("id-2", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(target.count(), convey.ShouldEqual, 2)
			convey.So(status, convey.ShouldBeIn, http.StatusOK, http.StatusBadGateway)
		})
	}
	convey.Convey("A refusal on a new connection may leave out the request, which has not run", t, func() {
		busy := func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		status, _, err := newFixture(deployment.KindAtMostOnce, 1, false, newFakeTarget(busy)).post("id-1", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
	})
}

// TestLongRefusal guards against the rest of a refusal's long body that is taken for the response
// to the next request on the connection (REFUSED).
func TestLongRefusal(t *testing.T) {
	const bufferedBody = 64 << 10
	rest := "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	writeLong := func(c net.Conn, id string, delay time.Duration) {
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", id, bufferedBody+len(rest), strings.Repeat("x", bufferedBody))
		time.Sleep(delay)
		fmt.Fprint(c, rest)
	}
	convey.Convey("A connection is not reused before the end of the refusal", t, func() {
		first := func(c net.Conn, r *http.Request) {
			go writeLong(c, r.Header.Get("Request-Id"), 2*pauseAfterRefusal)
		}
		target := newFakeTarget(first, func(c net.Conn, r *http.Request) {
			time.Sleep(2 * pauseAfterRefusal)
			respondOK("ran")(c, r)
		})
		f := newFixture(deployment.KindAtMostOnce, 1, false, target)
		_, _, err := f.post("id-1", "")
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(pauseAfterRefusal)
		status, _, err := f.post("id-2", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(target.count(), convey.ShouldEqual, 2)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
	})
	convey.Convey("The rest of a skipped refusal is not taken for a response", t, func() {
		target := newFakeTarget(respondOK("first"), func(c net.Conn, r *http.Request) {
			writeLong(c, "id-1", 0)
			respondOK("ran")(c, r)
		})
		f := newFixture(deployment.KindAtMostOnce, 1, false, target)
		_, _, err := f.post("id-1", "")
		convey.So(err, convey.ShouldBeNil)
		status, _, err := f.post("id-2", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(target.count(), convey.ShouldEqual, 2)
		convey.So(status, convey.ShouldBeIn, http.StatusOK, http.StatusBadGateway)
	})
}
