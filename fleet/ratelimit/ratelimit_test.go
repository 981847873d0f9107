package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/ratelimit"
)

var start = time.Unix(1_700_000_000, 0)

func host(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("router-%03d", i)) }

// sum returns the sum of the quotas of all shares for a target.
func sum(id fleet.TargetID, limit fleet.RequestRate, shares map[fleet.HostID]fleet.Share) int {
	n := 0
	for _, s := range shares {
		n += ratelimit.Quota(id, limit, s)
	}
	return n
}

// collect returns a Collector to which the routers have reported for some seconds, each the given
// number of calls a second.
func collect(callsPerSecond []int, limits ...fleet.StatedLimit) (*ratelimit.Collector, time.Time) {
	c := ratelimit.NewCollector()
	now := start
	for range 6 {
		for i, n := range callsPerSecond {
			c.AddReport(now, &fleet.RouterLoad{Host: host(i), Calls: n, Limits: limits})
		}
		now = now.Add(time.Second)
	}
	return c, now
}

func ExampleQuota() {
	// A target that takes 2.5 requests a second gets 10 within ratelimit.Window.
	for i := range 4 {
		fmt.Println(ratelimit.Quota("target-1", 2.5, fleet.EqualShare(i, 4)))
	}
	// Output:
	// 2
	// 3
	// 2
	// 3
}

func TestQuotasAddUpToTheLimit(t *testing.T) {
	convey.Convey("The quotas of all routers add up to the limit, whatever their shares", t, func() {
		for _, n := range []int{1, 2, 8, 73, 291} {
			calls := make([]int, n)
			for i := range calls {
				calls[i] = i % 7 * i
			}
			c, now := collect(calls, fleet.StatedLimit{Target: "t", Limit: 1})
			shares := c.Shares(now)
			convey.So(shares, convey.ShouldHaveLength, n)
			for _, limit := range []fleet.RequestRate{0.25, 0.3, 1, 2.3, 40, 1000.1} {
				for i := range 20 {
					id := fleet.TargetID(fmt.Sprint("target-", i))
					convey.So(sum(id, limit, shares), convey.ShouldEqual, max(1, int(4*float64(limit))))
				}
			}
		}
	})
	convey.Convey("Shares follow the requests of the routers", t, func() {
		c, now := collect([]int{10, 0, 30, 0}, fleet.StatedLimit{Target: "t", Limit: 100})
		shares := c.Shares(now)
		convey.So(ratelimit.Quota("t", 100, shares[host(0)]), convey.ShouldAlmostEqual, 100, 5)
		convey.So(ratelimit.Quota("t", 100, shares[host(1)]), convey.ShouldBeBetween, 1, 10)
		convey.So(ratelimit.Quota("t", 100, shares[host(2)]), convey.ShouldAlmostEqual, 290, 10)
	})
}

func TestRelaxed(t *testing.T) {
	convey.Convey("A limit grows while the target does not state it again, and ends", t, func() {
		for age, want := range map[time.Duration]fleet.RequestRate{
			-time.Second: 3, 0: 3, 9 * time.Second: 3, 10 * time.Second: 6, 35 * time.Second: 24, ratelimit.Retention: 0,
		} {
			convey.So(ratelimit.Relaxed(3, age), convey.ShouldEqual, want)
		}
		convey.So(ratelimit.Relaxed(0, time.Second), convey.ShouldEqual, fleet.RequestRate(0))
	})
}

func TestCollector(t *testing.T) {
	first := fleet.StatedLimit{Target: "t", Incarnation: 2, Limit: 3, Age: 100 * time.Millisecond}
	convey.Convey("The newest statement of a target counts", t, func() {
		c := ratelimit.NewCollector()
		limitAfter := func(l fleet.StatedLimit) fleet.RequestRate {
			c.AddReport(start, &fleet.RouterLoad{Host: "r", Limits: []fleet.StatedLimit{l}})
			return c.Limits(start)[0].Limit
		}
		convey.So(limitAfter(first), convey.ShouldEqual, fleet.RequestRate(3))
		convey.So(limitAfter(fleet.StatedLimit{Target: "t", Incarnation: 2, Limit: 5, Age: time.Second}), convey.ShouldEqual, fleet.RequestRate(3))
		convey.So(limitAfter(fleet.StatedLimit{Target: "t", Incarnation: 1, Limit: 5}), convey.ShouldEqual, fleet.RequestRate(3))
		convey.So(limitAfter(fleet.StatedLimit{Target: "t", Incarnation: 2}), convey.ShouldEqual, fleet.RequestRate(0))
		convey.So(limitAfter(fleet.StatedLimit{Target: "t", Incarnation: 3, Limit: 5, Age: time.Second}), convey.ShouldEqual, fleet.RequestRate(5))
	})
	convey.Convey("A limit that is not stated again ends", t, func() {
		c, now := collect([]int{1}, first)
		convey.So(c.Limits(now), convey.ShouldHaveLength, 1)
		convey.So(c.Limits(now.Add(ratelimit.Retention)), convey.ShouldBeEmpty)
		convey.So(c.Shares(now), convey.ShouldBeNil)
	})
	convey.Convey("A new leader gives no shares before it knows the routers' requests", t, func() {
		c := ratelimit.NewCollector()
		c.AddReport(start, &fleet.RouterLoad{Host: "r", Calls: 1, Limits: []fleet.StatedLimit{first}})
		convey.So(c.Shares(start.Add(time.Second)), convey.ShouldBeNil)
	})
	convey.Convey("A router that no longer reports loses its share with the next division", t, func() {
		c, now := collect([]int{4, 4}, first)
		convey.So(c.Shares(now), convey.ShouldHaveLength, 2)
		for range 5 {
			now = now.Add(time.Second)
			c.AddReport(now, &fleet.RouterLoad{Host: host(0), Calls: 4, Limits: []fleet.StatedLimit{first}})
		}
		convey.So(c.Shares(now), convey.ShouldResemble, map[fleet.HostID]fleet.Share{host(0): {From: 0, To: 1}})
	})
}
