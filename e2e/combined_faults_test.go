package e2e_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

func TestFaultsTogether(t *testing.T) {
	f := startFleet(t, 3, 2, 3, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("Requests survive the simultaneous crash of the control leader, the active dispatcher, a router and a target", t, func() {
		l := startLoad(t, f, 10*time.Second, 16, 95)
		time.Sleep(1500 * time.Millisecond)
		leader, err := f.Leader()
		convey.So(err, convey.ShouldBeNil)
		dispatcher, _, err := f.ActiveDispatcher()
		convey.So(err, convey.ShouldBeNil)
		killed := []*harness.Process{leader, dispatcher, f.Routers[0], f.Targets[0]}
		for _, p := range killed {
			convey.So(p.Kill(), convey.ShouldBeNil)
		}
		time.Sleep(4 * time.Second)
		for _, p := range killed {
			convey.So(p.Start(), convey.ShouldBeNil)
		}
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, %d cut, %d in doubt, reasons %v", res.Answered, res.Cut, res.InDoubt, res.Reasons)
		convey.So(res.Unanswered-res.InDoubt, convey.ShouldEqual, 0)
		pause := longestStartGap(f)
		t.Logf("longest time between starts of runs %s", pause)
		convey.So(pause, convey.ShouldBeLessThan, maxFailoverPause)
		convey.So(f.AwaitServing(changeTimeout, len(f.Targets)), convey.ShouldBeNil)
	})
}
