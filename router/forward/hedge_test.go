package forward_test

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

const (
	// hedgeAfter is the time without an answer after which requests of newHedgingFixture are hedged.
	hedgeAfter = 50 * time.Millisecond
	// maxEndTime is the time within which an attempt that is not needed any more has to end.
	maxEndTime = 400 * time.Millisecond
)

// newHedgingFixture returns a forwarder that hedges its first request, with targets of which the one that
// gets a request first runs one script, and the other one another.
func newHedgingFixture(ratio float64, first, second func(net.Conn, *http.Request)) (f *fixture, a, b *fakeTarget) {
	a, b = newFakeTarget(), newFakeTarget()
	script := func(c net.Conn, r *http.Request) { respondInTurn(a, b, first, second)(c, r) }
	a.responses, b.responses = append(a.responses, script), append(b.responses, script)
	f = newFixtureWith(fixtureOptions{extraRatio: ratio, goal: 2 * hedgeAfter}, deployment.KindIdempotent, 2, false, a, b)
	f.forwarder.Reduce(placement.DigestReceived{})
	return f, a, b
}

// everyRequest is a ratio that lets the first request be hedged.
const everyRequest = 4

func delayed(d time.Duration, script func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(d)
		script(c, r)
	}
}

// awaitClosed waits for the end of n connections to either target.
func awaitClosed(n int, a, b *fakeTarget) {
	timeout := time.After(maxEndTime)
	for range n {
		select {
		case <-a.closed:
		case <-b.closed:
		case <-timeout:
			convey.So("the targets' connections", convey.ShouldEqual, "closed")
		}
	}
}

// eventually reports whether a condition holds within maxEndTime.
func eventually(holds func() bool) bool {
	for deadline := time.Now().Add(maxEndTime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

func hedgesCounted(name string) int64 {
	n, _ := expvar.Get("ForwardHedges").(*expvar.Map).Get(name).(*expvar.Int)
	if n == nil {
		return 0
	}
	return n.Value()
}

// TestHedgedRequest guards against a caller that gets parts of two responses or the worse of two, and against
// a target that goes on with a request whose response nobody needs.
func TestHedgedRequest(t *testing.T) {
	failure := respond("500 Internal Server Error", "Stamp: s\r\nContent-Length: 4\r\n", "oops")
	large := func(letter string) func(net.Conn, *http.Request) { return respondOK(strings.Repeat(letter, 300<<10)) }
	for name, c := range map[string]struct {
		first, second func(net.Conn, *http.Request)
		status        int
		body, count   string
		// closed is the number of connections that are closed at once.
		closed int
	}{
		"that hangs is answered by the other target": {noResponse, respondOK("second"), 200, "second", "Won", 1},
		"that is answered after all ends the other attempt": {
			delayed(3*hedgeAfter, respondOK("first")), noResponse, 200, "first", "Lost", 1,
		},
		"does not get a failure while the other attempt runs": {
			delayed(3*hedgeAfter, respondOK("first")), failure, 200, "first", "Lost", 0,
		},
		"that fails late waits for the other attempt": {
			delayed(2*hedgeAfter, failure), delayed(3*hedgeAfter, respondOK("second")), 200, "second", "Won", 0,
		},
		"that breaks off late waits for the other attempt": {
			delayed(2*hedgeAfter, thenClose(noResponse)), delayed(3*hedgeAfter, respondOK("second")), 200, "second", "Won", 1,
		},
		"that both targets fail gets one failure": {delayed(2*hedgeAfter, failure), delayed(hedgeAfter, failure), 500, "oops", "Failed", 0},
		"gets no long failure while the other attempt runs": {
			delayed(3*hedgeAfter, respondOK("first")),
			respond("500 Internal Server Error", "Stamp: s\r\nContent-Length: 100000\r\n", strings.Repeat("x", 100_000)), 200, "first", "Lost", 1,
		},
		"gets one of two long answers": {delayed(2*hedgeAfter, large("a")), large("b"), 200, strings.Repeat("b", 300<<10), "Won", 1},
	} {
		convey.Convey("A slow request "+name, t, func() {
			f, a, b := newHedgingFixture(everyRequest, c.first, c.second)
			before := hedgesCounted(c.count)
			status, body, err := f.post("id-1", "hello")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, c.status)
			convey.So(body == c.body, convey.ShouldBeTrue)
			awaitClosed(c.closed, a, b)
			convey.So([]int{a.count(), b.count()}, convey.ShouldResemble, []int{1, 1})
			// The response is sent before the other attempt has ended.
			convey.So(eventually(func() bool { return hedgesCounted(c.count)-before == 1 }), convey.ShouldBeTrue)
			convey.So(eventually(func() bool {
				return len(f.forwarder.Reduce(placement.ReportDue{})[0].(placement.Report).Targets) == 0
			}), convey.ShouldBeTrue)
		})
	}
	convey.Convey("Of two answers that come at the same time, one is passed on", t, func() {
		for range 10 {
			both := make(chan struct{})
			first := func(c net.Conn, r *http.Request) {
				<-both
				large("a")(c, r)
			}
			f, _, _ := newHedgingFixture(everyRequest, first, func(c net.Conn, r *http.Request) {
				close(both)
				large("b")(c, r)
			})
			_, body, err := f.post("id-1", "hello")
			convey.So(err, convey.ShouldBeNil)
			convey.So(strings.Trim(body, body[:1]), convey.ShouldBeEmpty)
			convey.So(len(body), convey.ShouldEqual, 300<<10)
		}
	})
	convey.Convey("A stream that broke off after it won does not look complete", t, func() {
		broken := thenClose(respond("200 OK", eventStreamHeaders, chunk("id: 1\ndata: a\n\n")+chunk("id: 2\nda")))
		f, _, _ := newHedgingFixture(everyRequest, noResponse, broken)
		_, body, err := f.post("id-1", "hello")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(body, convey.ShouldEqual, "id: 1\ndata: a\n\n")
	})
	convey.Convey("Both attempts are ended when the caller leaves, and at the deadline", t, func() {
		for _, leaves := range []bool{true, false} {
			f, a, b := newHedgingFixture(everyRequest, noResponse, noResponse)
			f.timeout = 6 * hedgeAfter
			ctx, cancel := context.WithCancel(context.Background())
			if leaves {
				f.timeout = time.Minute
				time.AfterFunc(4*hedgeAfter, cancel)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL, nil)
			convey.So(err, convey.ShouldBeNil)
			req.Header.Set("Request-Id", "id-1")
			resp, err := http.DefaultClient.Do(req)
			convey.So(err != nil, convey.ShouldEqual, leaves)
			if err == nil {
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusGatewayTimeout)
				convey.So(resp.Body.Close(), convey.ShouldBeNil)
			}
			cancel()
			awaitClosed(2, a, b)
			convey.So([]int{a.count(), b.count()}, convey.ShouldResemble, []int{1, 1})
		}
	})
}

// TestNotHedged guards against a second attempt beside one whose response has begun, and at a router whose
// operators permit none.
func TestNotHedged(t *testing.T) {
	stalled := func(c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte("HTTP/1.1 2"))
		time.Sleep(3 * hedgeAfter)
		_, _ = c.Write([]byte("00 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nStamp: s\r\nContent-Length: 1\r\n\r\nx"))
	}
	for name, c := range map[string]struct {
		ratio float64
		first func(net.Conn, *http.Request)
	}{
		"whose first byte has arrived":  {everyRequest, stalled},
		"that is answered in time":      {everyRequest, respondOK("x")},
		"without a limit for such ones": {0, delayed(3*hedgeAfter, respondOK("x"))},
	} {
		convey.Convey("A request "+name+" goes to one target", t, func() {
			f, a, b := newHedgingFixture(c.ratio, c.first, respondOK("second"))
			status, body, err := f.post("id-1", "hello")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(body, convey.ShouldEqual, "x")
			convey.So(a.count()+b.count(), convey.ShouldEqual, 1)
		})
	}
}
