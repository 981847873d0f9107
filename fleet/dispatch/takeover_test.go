package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestFloodDuringTakeOver(t *testing.T) {
	convey.Convey("A flood during a take-over, while routers restart without state, starves no customer", t, func() {
		s := newSim(baseConfig(mechanisms{}))
		s.run(10*time.Second, flood(s, 0))
		n := 0
		each := func() {
			flood(s, 0)()
			if n++; n%100 == 0 {
				s.submit(s.routers[3], 3, 20, "")
			}
		}
		s.run(5*time.Second, each)
		s.restartRouter(1)
		s.dispatchers[s.lease.holder].dead = true
		s.run(time.Second, each)
		s.restartRouter(2)
		s.run(15*time.Second, each)
		waits := slices.Sorted(slices.Values(s.waits["c03"]))
		t.Logf("waits of the small customer: median %s, longest %s of %d", waits[len(waits)/2], waits[len(waits)-1], len(waits))
		convey.So(s.violations, convey.ShouldBeEmpty)
		convey.So(len(waits), convey.ShouldBeGreaterThan, 38)
		convey.So(waits[len(waits)/2], convey.ShouldBeLessThan, 200*time.Millisecond)
		convey.So(waits[len(waits)-1], convey.ShouldBeLessThan, 3*time.Second)
	})
}

func TestTakeOverBacklogFailsWithoutStandingGrants(t *testing.T) {
	half := takeOverLoads[1].load
	convey.Convey("Fewer requests wait during a take-over if routers hold standing grants", t, func() {
		_, without, _ := takeOver(1, Config{}, false, half)
		_, with, violations := takeOver(1, Config{StandingGrants: true}, false, half)
		t.Logf("requests waiting: %.1f with, %.1f without", with.waiting, without.waiting)
		convey.So(violations, convey.ShouldBeEmpty)
		convey.So(with.waiting, convey.ShouldBeLessThan, 0.8*without.waiting)
	})
}
