package core

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// directory is a control host with 24 routers in data centre a, of which every third is large.
type directory struct {
	*Core
	clock   *manualClock
	routers []fleet.Caller
}

// isLarge reports whether a router has 0.48 core and takes 1,130 connections; the others have 0.144
// core and take 139.
func isLarge(router int) bool { return router%3 == 0 }

func routerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func newDirectory() *directory {
	clock := &manualClock{now: time.Unix(1_700_000_000, 0)}
	d := &directory{Core: &Core{cfg: Config{Clock: clock}, startTime: clock.now.Add(-time.Minute)}, clock: clock}
	d.hub = newHub(d.Core, clock, slog.New(slog.DiscardHandler))
	for i := range 24 {
		peer := fleet.Caller(&idlePeer{i})
		d.hub.followers[peer] = &follower{JoinRequest: fleet.JoinRequest{
			Host: fleet.HostID(fmt.Sprint("router-", i)), Role: fleet.RoleRouter, Address: routerAddress(i), DataCentre: "a",
		}}
		d.routers = append(d.routers, peer)
	}
	return d
}

// run lets all routers report their rooms for a number of seconds, with the fraction given of their
// processor time and of their connections in use.
func (d *directory) run(seconds int, utilisation float64) {
	for range 2 * seconds {
		d.clock.now = d.clock.now.Add(housekeepingInterval)
		for i := range d.routers {
			d.report(i, utilisation, 0)
		}
		d.hub.resizeSubsets()
	}
}

func (d *directory) report(i int, utilisation, reduction float64) {
	room := fleet.Room{Connections: 139, Cores: 0.144, Reduction: reduction}
	if isLarge(i) {
		room.Connections, room.Cores = 1130, 0.48
	}
	room.Open = int(utilisation * float64(room.Connections))
	d.hub.recordReport(d.routers[i], &fleet.RouterLoad{Host: "r", Utilisation: utilisation, Room: room})
}

// named returns the number of 1,000 callers that each router is named to.
func (d *directory) named() map[netip.AddrPort]int {
	out := map[netip.AddrPort]int{}
	for c := range 1000 {
		for _, r := range d.listRouters("a", fmt.Sprint("caller-", c)) {
			out[r.Address]++
		}
	}
	return out
}

// TestDirectoryFollowsCapacity guards against small routers that are named to as many callers as large
// ones. It fails if rooms are not used.
func TestDirectoryFollowsCapacity(t *testing.T) {
	convey.Convey("Of 24 routers at their usual load of 0.3, those with 0.3 of the processor time are named to 0.3 of the callers", t, func() {
		d := newDirectory()
		d.run(20, 0.3)
		for router, callers := range d.named() {
			if isLarge(int(router.Addr().As4()[3])) {
				convey.So(callers, convey.ShouldEqual, 1000)
			} else {
				convey.So(callers, convey.ShouldBeBetween, 240, 400)
			}
		}
		convey.So(d.RouterWeights()[routerAddress(1).String()].Weight, convey.ShouldAlmostEqual, 0.3)
		convey.So(d.RouterWeights()[routerAddress(1).String()].LastLeftOut, convey.ShouldNotBeEmpty)
		convey.Convey("One whose connections run out is named to fewer with its next report, the others as before", func() {
			before := d.named()
			d.report(0, 0.5, 0.5)
			after := d.named()
			convey.So(after[routerAddress(0)], convey.ShouldBeBetween, 400, 650)
			for router := range before {
				if router != routerAddress(0) {
					convey.So(after[router], convey.ShouldBeGreaterThanOrEqualTo, before[router])
				}
			}
		})
		convey.Convey("Without reports the weights stay for 3 s; then all routers are named alike", func() {
			before := d.named()
			d.clock.now = d.clock.now.Add(3 * time.Second)
			convey.So(d.named(), convey.ShouldResemble, before)
			d.clock.now = d.clock.now.Add(time.Second)
			for _, callers := range d.named() {
				convey.So(callers, convey.ShouldEqual, 1000)
			}
		})
		convey.Convey("A router that connects again keeps its weight", func() {
			f := d.hub.followers[d.routers[1]]
			delete(d.hub.followers, d.routers[1])
			d.hub.followers[fleet.Caller(&idlePeer{99})] = &follower{JoinRequest: f.JoinRequest, lastReport: d.clock.now}
			convey.So(d.RouterWeights()[routerAddress(1).String()].Weight, convey.ShouldAlmostEqual, 0.3)
		})
	})
	convey.Convey("With Config.EqualRouters all are named alike", t, func() {
		d := newDirectory()
		d.hub.rooms.disabled = true
		d.run(20, 0.3)
		for _, callers := range d.named() {
			convey.So(callers, convey.ShouldEqual, 1000)
		}
	})
}

// TestSubsetCountsCapacity guards against a data centre whose large routers are busy while it counts as
// idle, because its many small ones are.
func TestSubsetCountsCapacity(t *testing.T) {
	convey.Convey("With 8 large routers at 0.6 of their capacity and 16 small ones at 0.05, all 24 are needed, not 19", t, func() {
		d := newDirectory()
		for range 40 {
			d.clock.now = d.clock.now.Add(housekeepingInterval)
			for i := range d.routers {
				utilisation := 0.05
				if isLarge(i) {
					utilisation = 0.6
				}
				d.report(i, utilisation, 0)
			}
			d.hub.resizeSubsets()
		}
		convey.So(d.CapacityInUse()["a"], convey.ShouldEqual, 24)
		d.run(20, 0.05)
		convey.So(d.CapacityInUse()["a"], convey.ShouldEqual, 8)
	})
}
