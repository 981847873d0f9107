package routing

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func routers(n int) []fleet.HostState {
	var list []fleet.HostState
	for i := range n {
		list = append(list, fleet.HostState{
			Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Role: fleet.RoleRouter,
			Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: fleet.DataCentreName([]string{"a", "b"}[i%2]),
		})
	}
	return list
}

func ExampleChooseHosts() {
	known := routers(3)
	known[1].Stopping = true
	known[2].Age = 2 * HostStaleAfter
	fmt.Println(ChooseHosts(known, nil, "riga", "drafter", 0))
	// Output:
	// [{10.0.0.0:80 a}]
}

func TestChooseHosts(t *testing.T) {
	convey.Convey("The hosts of a data centre that is out are left out", t, func() {
		for _, h := range ChooseHosts(routers(8), map[fleet.DataCentreName]bool{"a": true}, "x", "s", 0) {
			convey.So(string(h.DataCentre), convey.ShouldEqual, "b")
		}
	})
	convey.Convey("Processes of other roles are left out", t, func() {
		known := routers(2)
		known[0].Role = fleet.RoleDispatcher
		convey.So(len(ChooseHosts(known, nil, "x", "s", 0)), convey.ShouldEqual, 1)
	})
	convey.Convey("Hosts that are stopping are listed if there are no others", t, func() {
		known := routers(2)
		known[0].Stopping, known[1].Stopping = true, true
		convey.So(len(ChooseHosts(known, nil, "x", "s", 0)), convey.ShouldEqual, 2)
		convey.So(ChooseHosts(nil, nil, "x", "s", 7), convey.ShouldBeEmpty)
	})
	convey.Convey("Callers of one customer are spread evenly", t, func() {
		first := map[string]int{}
		for i := range uint64(800) {
			first[ChooseHosts(routers(8), nil, "x", "s", i)[0].Address]++
		}
		for _, n := range first {
			convey.So(n, convey.ShouldEqual, 100)
		}
		convey.So(len(first), convey.ShouldEqual, 8)
	})
	convey.Convey("Customers are spread over the hosts", t, func() {
		first := map[string]int{}
		for i := range 800 {
			first[ChooseHosts(routers(8), nil, fleet.CustomerName(fmt.Sprint(i)), "s", 0)[0].Address]++
		}
		for _, n := range first {
			convey.So(n, convey.ShouldBeBetween, 60, 140)
		}
	})
}
