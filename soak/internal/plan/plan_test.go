package plan_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

func TestPlan(t *testing.T) {
	convey.Convey("The same seed gives the same plan, another seed a different one", t, func() {
		a, b, c := plan.New(1, time.Minute, 6), plan.New(1, time.Minute, 6), plan.New(2, time.Minute, 6)
		convey.So(a, convey.ShouldResemble, b)
		convey.So(a.Steps, convey.ShouldNotResemble, c.Steps)
		convey.So(a.Controls+a.Routers, convey.ShouldEqual, 6)
	})
	convey.Convey("Data folders are wiped one at a time, and every kind of step occurs", t, func() {
		kinds := map[plan.Kind]bool{}
		for seed := uint64(1); seed <= 100; seed++ {
			lastWipe := -time.Hour
			for _, s := range plan.New(seed, time.Minute, 6).Steps {
				kinds[s.Kind] = true
				if s.Kind == plan.WipeData {
					convey.So(s.At-lastWipe, convey.ShouldBeGreaterThan, 8*time.Second)
					lastWipe = s.At
				}
			}
		}
		convey.So(len(kinds), convey.ShouldEqual, 18)
	})
}
