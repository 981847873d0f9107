package workload_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestDeployments(t *testing.T) {
	for _, trace := range workload.Deployments(1) {
		convey.Convey(trace.Name+" has sorted arrivals, valid costs, a dominant customer and most of its requests at one router", t, func() {
			costByCustomer := map[fleet.CustomerName]fleet.Cost{}
			requestsByRouter := map[fleet.CustomerName]map[int]int{}
			for i, a := range trace.Arrivals {
				convey.So(i == 0 || trace.Arrivals[i-1].At <= a.At, convey.ShouldBeTrue)
				convey.So(a.Cost, convey.ShouldBeBetweenOrEqual, 1, trace.Fleet.Services[a.Service].MaxCost)
				costByCustomer[a.Customer] += a.Cost
				if requestsByRouter[a.Customer] == nil {
					requestsByRouter[a.Customer] = map[int]int{}
				}
				requestsByRouter[a.Customer][a.Router]++
			}
			lightestCost := costByCustomer[trace.LightestCustomer]
			convey.So(len(costByCustomer), convey.ShouldEqual, 16)
			convey.So(costByCustomer["customer-001"], convey.ShouldBeGreaterThan, 5*lightestCost)
			mostAtOneRouter, total := 0, 0
			for _, n := range requestsByRouter["customer-001"] {
				mostAtOneRouter, total = max(mostAtOneRouter, n), total+n
			}
			convey.So(mostAtOneRouter*100/total, convey.ShouldBeGreaterThan, 85)
		})
	}
	convey.Convey("Equal seeds give equal traces", t, func() {
		a, b := workload.Riga(1), workload.Riga(1)
		convey.So(a.Arrivals[1000], convey.ShouldResemble, b.Arrivals[1000])
		convey.So(len(a.Arrivals), convey.ShouldEqual, len(b.Arrivals))
	})
}
