package shedding_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/shedding"
)

// TestCrowdAtOneRouter simulates two hundred callers that all prefer the same one of ten
// routers, each with capacity for 60. A caller that is shed moves to the next router two
// seconds later.
func TestCrowdAtOneRouter(t *testing.T) {
	convey.Convey("Callers spread until no router is over its capacity, and return when there are fewer of them", t, func() {
		const routers, bears, delay = 10, 60, 20
		cfg := shedding.Config{Threshold: 0.7, ShedRate: 0.3, ReturnRate: 0.05, MaxShed: 0.9}
		var shedders [routers]*shedding.Shedder
		for i := range shedders {
			shedders[i] = shedding.New(cfg)
		}
		now := time.Unix(1_700_000_000, 0)
		var history [][routers]float64
		load := [routers]float64{}
		crowd := 200
		run := func(steps int) {
			for range steps {
				now = now.Add(100 * time.Millisecond)
				away := [routers]float64{}
				for i, s := range shedders {
					away[i] = s.Update(now, min(load[i]/bears, 1))
				}
				history = append(history, away)
				known := history[max(0, len(history)-delay)]
				load = [routers]float64{}
				for c := range crowd {
					for i := range routers {
						if i == routers-1 || !shedding.Sheds(known[i], fmt.Sprint("router-", i), fmt.Sprint("caller-", c)) {
							load[i]++
							break
						}
					}
				}
			}
		}
		run(1)
		convey.So(load[0], convey.ShouldEqual, 200)
		run(300)
		worst := 0.0
		for range 100 {
			run(1)
			for _, l := range load {
				worst = max(worst, l)
			}
		}
		convey.So(worst, convey.ShouldBeLessThanOrEqualTo, bears)
		crowd = 20
		run(600)
		convey.So(load[0], convey.ShouldEqual, 20)
	})
}
