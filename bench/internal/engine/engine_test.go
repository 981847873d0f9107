package engine_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// runJobs gives an engine with 8 slots n equal jobs of cost 400 at once. It returns the time
// at which each admitted job ended, how many were completed and the service delivered.
func runJobs(warm bool, n int, prefix fleet.PrefixHash) (e *engine.Engine, endTimes []time.Duration, completed int, delivered float64) {
	q := virtual.NewQueue()
	e = engine.New(engine.Config{
		Target: "t", Slots: 8, UnitInterval: 10 * time.Millisecond, BatchGrowth: 1, PrefillTime: 200 * time.Millisecond,
		CachedPrefixes: 2, WarmUp: 20 * time.Second, RestartDelay: 5 * time.Second, Queue: q,
		OnService: func(_ fleet.CustomerName, amount float64) { delivered += amount },
	}, warm)
	for range n {
		e.Admit(&engine.Job{
			Request: "r", Cost: 400, Prefix: prefix, OnFirstToken: func(time.Duration) {},
			OnEnd: func(_ fleet.Cost, wasCompleted bool) {
				endTimes = append(endTimes, q.Elapsed())
				if wasCompleted {
					completed++
				}
			},
		})
	}
	q.RunUntil(virtual.Start.Add(time.Minute))
	return e, endTimes, completed, delivered
}

func TestEngine(t *testing.T) {
	convey.Convey("A single job takes the prefill time plus its cost times the unit interval", t, func() {
		_, endTimes, completed, delivered := runJobs(true, 1, 0)
		convey.So(completed, convey.ShouldEqual, 1)
		convey.So(endTimes[0].Round(time.Millisecond), convey.ShouldEqual, 4200*time.Millisecond)
		convey.So(delivered, convey.ShouldAlmostEqual, 400, 1e-3)
	})
	convey.Convey("A full batch takes twice the unit interval, and a ninth job is not admitted", t, func() {
		e, endTimes, completed, _ := runJobs(true, 9, 0)
		convey.So(completed, convey.ShouldEqual, 8)
		convey.So(endTimes[0].Round(time.Millisecond), convey.ShouldEqual, 8200*time.Millisecond)
		convey.So(e.OverloadCrashes, convey.ShouldEqual, 0)
	})
	convey.Convey("A cold engine under full load crashes, and none of its jobs is completed", t, func() {
		e, endTimes, completed, _ := runJobs(false, 8, 0)
		convey.So(e.OverloadCrashes, convey.ShouldEqual, 1)
		convey.So(e.Overloads, convey.ShouldEqual, 7)
		convey.So(completed, convey.ShouldEqual, 0)
		convey.So(len(endTimes), convey.ShouldEqual, 8)
		convey.So(e.Incarnation(), convey.ShouldEqual, fleet.Incarnation(2))
	})
	convey.Convey("The second and third job with the same prefix hit the prefix cache", t, func() {
		e, _, _, _ := runJobs(true, 3, 7)
		convey.So(e.PrefixHits, convey.ShouldEqual, 2)
	})
}
