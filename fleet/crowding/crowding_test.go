package crowding_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/crowding"
)

// fleetOf returns n routers in two data centres with a utilisation.
func fleetOf(n int, utilisation float64) []crowding.Router {
	out := make([]crowding.Router, n)
	for i := range out {
		out[i] = crowding.Router{
			Host: fleet.HostID(fmt.Sprintf("r%02d", i)), DataCentre: fleet.DataCentreName(fmt.Sprintf("dc%d", i%2)), Utilisation: utilisation, Cores: 0.48,
		}
	}
	return out
}

// TestCallersOfOneRouter guards against a customer whose callers use one small router alone, and are
// rejected there while the other routers are idle.
func TestCallersOfOneRouter(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	convey.Convey("Of 72 routers one is crowded: it is not ready for ten seconds, and ready again if it is not crowded then", t, func() {
		g := crowding.NewGranter(crowding.DefaultConfig)
		routers := fleetOf(72, 0.1)
		convey.So(g.Update(now, routers), convey.ShouldBeEmpty)
		routers[5].Crowded = true
		convey.So(g.Update(now, routers), convey.ShouldResemble, []fleet.HostID{"r05"})
		routers[5].Crowded = false
		convey.So(g.Update(now.Add(9*time.Second), routers), convey.ShouldResemble, []fleet.HostID{"r05"})
		convey.So(g.Update(now.Add(10*time.Second), routers), convey.ShouldBeEmpty)
	})
	convey.Convey("Of several crowded routers the smallest ones come first", t, func() {
		routers := fleetOf(16, 0.1)
		for i := range routers {
			routers[i].Crowded = i < 4
		}
		routers[2].Cores, routers[3].Cores = 0.144, 0.144
		convey.So(crowding.NewGranter(crowding.DefaultConfig).Update(now, routers), convey.ShouldResemble, []fleet.HostID{"r02", "r03"})
	})
}

// TestOverloadOfAllRouters guards against routers that all become not ready when the whole fleet has
// too many callers.
func TestOverloadOfAllRouters(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	convey.Convey("No router is not ready while the others have no room, and never more than an eighth", t, func() {
		for _, c := range []struct {
			routers     int
			utilisation float64
			most        int
		}{{72, 0.9, 0}, {72, 0.41, 0}, {72, 0.3, 9}, {8, 0.3, 1}, {4, 0.1, 0}, {1, 0.1, 0}} {
			g := crowding.NewGranter(crowding.DefaultConfig)
			routers := fleetOf(c.routers, c.utilisation)
			for i := range routers {
				routers[i].Crowded = true
			}
			for i := range 20 {
				convey.So(g.Update(now.Add(time.Duration(i)*time.Second), routers), convey.ShouldHaveLength, c.most)
			}
		}
	})
}
