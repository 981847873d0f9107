package model_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/baseline"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/model"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

func firstComeFirstServed(int) fleet.Reducer {
	return baseline.New(baseline.Config{Host: "dispatcher-1", SlotDivisor: 1})
}

func fairDispatch(int) fleet.Reducer { return dispatch.New(dispatch.Config{Host: "dispatcher-1"}) }

func runTrace(trace *workload.Trace, reducer func(int) fleet.Reducer) *model.Result {
	return model.Run(model.Config{
		Trace: trace, NewReducer: reducer, AnnouncedRouters: 2, ProgressInterval: time.Second, SampleInterval: 50 * time.Millisecond,
	})
}

func TestRun(t *testing.T) {
	convey.Convey("Equal runs give equal results, and requests are completed", t, func() {
		trace := workload.Riga(1)
		trace.Duration = 45 * time.Second
		a, b := runTrace(trace, fairDispatch), runTrace(trace, fairDispatch)
		convey.So(a.Services["drafter"].Delivered, convey.ShouldEqual, b.Services["drafter"].Delivered)
		convey.So(a.Services["permit-desk"].Completed, convey.ShouldBeGreaterThan, 1500)
		convey.So(a.Refused(), convey.ShouldEqual, 0)
	})
	convey.Convey("First come, first served has a larger fairness gap than dispatch when a few customers flood the fleet", t, func() {
		trace := workload.Riga(1)
		trace.Duration = 5 * time.Minute
		baselineGap := runTrace(trace, firstComeFirstServed).Services["drafter"].FairnessGap
		convey.So(baselineGap, convey.ShouldBeGreaterThan, 5*runTrace(trace, fairDispatch).Services["drafter"].FairnessGap)
	})
	convey.Convey("A data centre that was taken out gets no new work after 3 s", t, func() {
		trace := workload.RoCentru(1)
		trace.Duration = 4 * time.Minute
		result := runTrace(trace, fairDispatch)
		convey.So(result.LastForbiddenStart[workload.DataCentreOut], convey.ShouldBeLessThan, 3*time.Second)
		convey.So(result.Services["llm-pool"].OverloadCrashes, convey.ShouldEqual, 0)
	})
}
