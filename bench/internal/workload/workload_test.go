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
			perCustomer := map[fleet.CustomerName]fleet.Cost{}
			atHome := map[fleet.CustomerName]map[int]int{}
			for i, a := range trace.Arrivals {
				convey.So(i == 0 || trace.Arrivals[i-1].At <= a.At, convey.ShouldBeTrue)
				convey.So(a.Cost, convey.ShouldBeBetweenOrEqual, 1, trace.Fleet.Services[a.Service].MaxCost)
				perCustomer[a.Customer] += a.Cost
				if atHome[a.Customer] == nil {
					atHome[a.Customer] = map[int]int{}
				}
				atHome[a.Customer][a.Router]++
			}
			smallest := perCustomer[trace.LightestCustomer]
			convey.So(len(perCustomer), convey.ShouldEqual, 16)
			convey.So(perCustomer["customer-001"], convey.ShouldBeGreaterThan, 5*smallest)
			most, all := 0, 0
			for _, n := range atHome["customer-001"] {
				most, all = max(most, n), all+n
			}
			convey.So(most*100/all, convey.ShouldBeGreaterThan, 85)
		})
	}
	convey.Convey("Equal seeds give equal traces", t, func() {
		a, b := workload.Riga(1), workload.Riga(1)
		convey.So(a.Arrivals[1000], convey.ShouldResemble, b.Arrivals[1000])
		convey.So(len(a.Arrivals), convey.ShouldEqual, len(b.Arrivals))
	})
}
