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
	return baseline.New(baseline.Config{Host: "dispatcher-1", Share: 1})
}

func fair(int) fleet.Reducer { return dispatch.New(dispatch.Config{Host: "dispatcher-1"}) }

func run(t *workload.Trace, reducer func(int) fleet.Reducer) *model.Result {
	return model.Run(model.Config{
		Trace: t, NewReducer: reducer, AnnounceTo: 2, ProgressInterval: time.Second, Sample: 50 * time.Millisecond,
	})
}

func TestRun(t *testing.T) {
	convey.Convey("A run is repeatable and completes what it can", t, func() {
		trace := workload.Riga(1)
		trace.Duration = 45 * time.Second
		a, b := run(trace, fair), run(trace, fair)
		convey.So(a.Services["drafter"].Delivered, convey.ShouldEqual, b.Services["drafter"].Delivered)
		convey.So(a.Services["permit-desk"].Completed, convey.ShouldBeGreaterThan, 1500)
		convey.So(a.Refused(), convey.ShouldEqual, 0)
	})
	convey.Convey("The meter sees that first come, first served is unfair in a flood", t, func() {
		trace := workload.Riga(1)
		trace.Duration = 5 * time.Minute
		unfair := run(trace, firstComeFirstServed).Services["drafter"].Gap
		convey.So(unfair, convey.ShouldBeGreaterThan, 5*run(trace, fair).Services["drafter"].Gap)
	})
	convey.Convey("A data centre that was taken out gets no new work after seconds", t, func() {
		trace := workload.RoCentru(1)
		trace.Duration = 4 * time.Minute
		r := run(trace, fair)
		convey.So(r.NoNewWork[workload.DataCentreOut], convey.ShouldBeLessThan, 3*time.Second)
		convey.So(r.Services["llm-pool"].Falls, convey.ShouldEqual, 0)
	})
}
