package plan_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

func TestPlan(t *testing.T) {
	convey.Convey("A seed draws the same plan each time, another seed another one", t, func() {
		a, b, c := plan.New(1, time.Minute, 6), plan.New(1, time.Minute, 6), plan.New(2, time.Minute, 6)
		convey.So(a, convey.ShouldResemble, b)
		convey.So(a.Steps, convey.ShouldNotResemble, c.Steps)
		convey.So(a.Controls+a.Routers, convey.ShouldEqual, 6)
	})
	convey.Convey("Storages are lost one at a time, and every kind comes", t, func() {
		kinds := map[plan.Kind]bool{}
		for seed := uint64(1); seed <= 100; seed++ {
			last := -time.Hour
			for _, s := range plan.New(seed, time.Minute, 6).Steps {
				kinds[s.Kind] = true
				if s.Kind == plan.Wipe {
					convey.So(s.At-last, convey.ShouldBeGreaterThan, 8*time.Second)
					last = s.At
				}
			}
		}
		convey.So(len(kinds), convey.ShouldEqual, 18)
	})
}
