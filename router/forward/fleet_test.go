package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/forward"
)

// ranHeader is the header of a target that has run a request.
const ranHeader = "Stamp: s\r\n"

// manualClock is a clock that the test sets.
type manualClock struct {
	fleet.SystemClock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// routerFleet is a number of routers in front of one target.
type routerFleet struct {
	clock   *manualClock
	route   *deployment.Route
	routers []*forward.Forwarder
	target  *fakeTarget
	// status and headers are those of the target's responses.
	status, headers string
	asked           int
}

func newRouterFleet(routers int) *routerFleet {
	cfg, err := deployment.New(deployment.Configuration{
		Number: 1, Services: []deployment.Service{{Name: "desk"}},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: deployment.KindAtMostOnce, Split: []deployment.WeightedService{{Service: "desk", Weight: 1}},
			Timeout: time.Hour, Attempts: 1,
		}},
	})
	convey.So(err, convey.ShouldBeNil)
	f := &routerFleet{clock: &manualClock{now: time.Now()}, status: "200 OK", headers: ranHeader}
	f.route, _ = cfg.Match("h", "/")
	const maxRequests = 1000
	scripts := make([]func(net.Conn, *http.Request), maxRequests)
	for i := range scripts {
		scripts[i] = func(c net.Conn, r *http.Request) {
			respond(f.status, "Content-Length: 0\r\n"+f.headers, "")(c, r)
		}
	}
	f.target = newFakeTarget(scripts...)
	peers := make([]fleet.HostID, routers)
	for i := range peers {
		peers[i] = fleet.HostID(fmt.Sprint("router-", i))
	}
	for _, self := range peers {
		r := forward.New(forward.Config{
			Headers: headerNames, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
			Placement: placement.Config{Self: self, SilentAfter: time.Minute, Policy: placement.DefaultPolicy},
		})
		r.Reduce(placement.ConfigChanged{Config: cfg})
		r.Reduce(placement.PeersChanged{Routers: peers})
		r.Reduce(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: fleet.Announcement{
			Target: "t-0", Incarnation: 1, Sequence: 1, Service: "desk", DataCentre: "a", Address: f.target.address(), Slots: 4, State: fleet.TargetServing,
		}}}}})
		f.routers = append(f.routers, r)
	}
	return f
}

// ask sends a request through the next router and returns the response that the caller gets.
func (f *routerFleet) ask() *httptest.ResponseRecorder {
	f.asked++
	w := httptest.NewRecorder()
	f.routers[f.asked%len(f.routers)].Serve(context.Background(), w, forward.Request{
		Call: placement.Call{
			Request: fleet.RequestID(fmt.Sprint("id-", f.asked)), Route: f.route, ArrivedAt: f.clock.now, Deadline: f.clock.now.Add(time.Hour),
		},
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
	})
	return w
}

// play sends requests for a time and returns how many of each second reached the target.
func (f *routerFleet) play(seconds, perSecond int) []int {
	out := make([]int, seconds)
	for i := range out {
		before := f.target.count()
		for range perSecond {
			f.clock.now = f.clock.now.Add(time.Second / time.Duration(perSecond))
			status := f.ask().Code
			convey.So(status == http.StatusOK || status == http.StatusServiceUnavailable, convey.ShouldBeTrue)
		}
		out[i] = f.target.count() - before
	}
	return out
}

// total returns the number of requests in seconds from to to, excluded.
func total(perSecond []int, from, to int) int {
	n := 0
	for _, c := range perSecond[from:to] {
		n += c
	}
	return n
}

// TestLimitedTargetOverAllRouters guards against targets that get more requests from all routers
// together than the limit that they state in their responses.
func TestLimitedTargetOverAllRouters(t *testing.T) {
	const limit, span = 3, 4
	convey.Convey("Routers keep to a target's limit while it states one, and no longer", t, func() {
		f := newRouterFleet(8)
		f.headers = ranHeader + fmt.Sprintf("Limit: %d\r\n", limit)
		got := f.play(20, 20)
		// Each router has passed on a response by the end of the first second.
		for from := 1; from+span <= len(got); from++ {
			convey.So(total(got, from, from+span), convey.ShouldBeLessThanOrEqualTo, limit*span*3/2+5)
		}
		convey.So(total(got, span, len(got)), convey.ShouldBeGreaterThanOrEqualTo, limit*(len(got)-span)/2)
		f.headers = ranHeader
		got = f.play(6, 20)
		convey.So(got[5], convey.ShouldEqual, 20)
	})
}

// TestTargetThatStatesWhenToReturn guards against requests to a target that has declined one and
// said for how long it wants none.
func TestTargetThatStatesWhenToReturn(t *testing.T) {
	const pause, perSecond = 5, 20
	convey.Convey("A target that declines a request with Retry-After gets none from that router before", t, func() {
		f := newRouterFleet(1)
		f.status, f.headers = "503 Service Unavailable", fmt.Sprintf("Not-Run: 1\r\nRetry-After: %d\r\n", pause)
		got := f.play(pause, perSecond)
		convey.So(total(got, 0, pause), convey.ShouldEqual, 1)
	})
	convey.Convey("Callers are told when the target will take requests again, and it is used from then on", t, func() {
		f := newRouterFleet(1)
		f.status, f.headers = "503 Service Unavailable", fmt.Sprintf("Not-Run: 1\r\nRetry-After: %d.5\r\n", pause)
		for _, elapsed := range []int{0, 1, 3} {
			f.clock.now = f.clock.now.Add(time.Duration(elapsed) * time.Second)
			after, err := strconv.ParseFloat(f.ask().Header().Get("Retry-After"), 64)
			convey.So(err, convey.ShouldBeNil)
			if elapsed > 0 {
				convey.So(after, convey.ShouldBeGreaterThan, 1)
			}
			convey.So(after, convey.ShouldBeLessThan, pause+2)
		}
		convey.So(f.target.count(), convey.ShouldEqual, 1)
		f.status, f.headers = "200 OK", ranHeader
		f.clock.now = f.clock.now.Add(2 * time.Second)
		got := f.play(1, perSecond)
		convey.So(got[0], convey.ShouldEqual, perSecond)
	})
	convey.Convey("A malformed or very large time does not keep a target out for long", t, func() {
		for _, value := range []string{"-1", "soon", "NaN", "1e300", "1\r\nRetry-After: 2"} {
			f := newRouterFleet(1)
			f.status, f.headers = "503 Service Unavailable", "Not-Run: 1\r\nRetry-After: "+value+"\r\n"
			f.ask()
			f.clock.now = f.clock.now.Add(2 * time.Minute)
			f.status, f.headers = "200 OK", ranHeader
			convey.So(f.ask().Code, convey.ShouldEqual, http.StatusOK)
		}
	})
}
