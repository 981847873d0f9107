package forward_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/forward"
)

// manualClock is a clock that the test sets.
type manualClock struct {
	fleet.SystemClock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// limitedFleet is a number of routers in front of one target, which may state a limit.
type limitedFleet struct {
	clock   *manualClock
	route   *deployment.Route
	routers []*forward.Forwarder
	target  *fakeTarget
	// limit is the header by which the target states its limit; empty for none.
	limit string
	asked int
}

func newLimitedFleet(routers int) *limitedFleet {
	cfg, err := deployment.New(deployment.Configuration{
		Number: 1, Services: []deployment.Service{{Name: "desk"}},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: deployment.KindAtMostOnce, Split: []deployment.WeightedService{{Service: "desk", Weight: 1}},
			Timeout: time.Hour, Attempts: 1,
		}},
	})
	convey.So(err, convey.ShouldBeNil)
	f := &limitedFleet{clock: &manualClock{now: time.Now()}}
	f.route, _ = cfg.Match("h", "/")
	const maxRequests = 1000
	scripts := make([]func(net.Conn, *http.Request), maxRequests)
	for i := range scripts {
		scripts[i] = func(c net.Conn, r *http.Request) {
			respond("200 OK", "Stamp: s\r\nContent-Length: 0\r\n"+f.limit, "")(c, r)
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

// ask sends a request through the next router and returns the status that the caller gets.
func (f *limitedFleet) ask() int {
	f.asked++
	w := httptest.NewRecorder()
	f.routers[f.asked%len(f.routers)].Serve(context.Background(), w, forward.Request{
		Call: placement.Call{
			Request: fleet.RequestID(fmt.Sprint("id-", f.asked)), Route: f.route, ArrivedAt: f.clock.now, Deadline: f.clock.now.Add(time.Hour),
		},
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
	})
	return w.Code
}

// play sends requests for a time and returns how many of each second reached the target.
func (f *limitedFleet) play(seconds, perSecond int) []int {
	out := make([]int, seconds)
	for i := range out {
		before := f.target.count()
		for range perSecond {
			f.clock.now = f.clock.now.Add(time.Second / time.Duration(perSecond))
			status := f.ask()
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
		f := newLimitedFleet(8)
		f.limit = fmt.Sprintf("Limit: %d\r\n", limit)
		got := f.play(20, 20)
		// Each router has passed on a response by the end of the first second.
		for from := 1; from+span <= len(got); from++ {
			convey.So(total(got, from, from+span), convey.ShouldBeLessThanOrEqualTo, limit*span*3/2+5)
		}
		convey.So(total(got, span, len(got)), convey.ShouldBeGreaterThanOrEqualTo, limit*(len(got)-span)/2)
		f.limit = ""
		got = f.play(6, 20)
		convey.So(got[5], convey.ShouldEqual, 20)
	})
}
