package e2e_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

func TestRouterKilled(t *testing.T) {
	f := startFleet(t, 3, 2, 3, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("A router killed and started again under load causes no wrong answer and no duplicate run", t, func() {
		l := startLoad(t, f, 10*time.Second, 16, 20)
		for _, r := range f.Routers[:2] {
			time.Sleep(2 * time.Second)
			convey.So(r.Kill(), convey.ShouldBeNil)
			time.Sleep(time.Second)
			convey.So(r.Start(), convey.ShouldBeNil)
		}
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, %d cut, %d in doubt, verdicts %v, reasons %v", res.Answered, res.Cut, res.InDoubt, res.Verdicts, res.Reasons)
		convey.So(res.Answered, convey.ShouldBeGreaterThan, 100)
		// Only run-once calls whose router was killed may stay unanswered.
		convey.So(res.Unanswered-res.InDoubt, convey.ShouldEqual, 0)
	})
}

// stopTimeout limits a graceful stop: callers' cached host lists have to expire and the
// longest request has to end.
const stopTimeout = 20 * time.Second

func TestRollingRestartOfRouters(t *testing.T) {
	f := startFleet(t, 3, 2, 3, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("Restarting all routers one by one truncates no answer", t, func() {
		l := startLoad(t, f, 16*time.Second, 12, 30)
		for _, r := range f.Routers {
			time.Sleep(time.Second)
			convey.So(r.Stop(stopTimeout), convey.ShouldBeNil)
			convey.So(r.Start(), convey.ShouldBeNil)
			time.Sleep(time.Second)
		}
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, verdicts %v, reasons %v", res.Answered, res.Verdicts, res.Reasons)
		convey.So(res.Answered, convey.ShouldBeGreaterThan, 100)
		convey.So(res.Cut, convey.ShouldEqual, 0)
		convey.So(res.ConnectionErrors, convey.ShouldEqual, 0)
		convey.So(res.Unanswered, convey.ShouldEqual, 0)
	})
}
