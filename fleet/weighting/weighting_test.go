package weighting_test

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

// router returns a router with a processor share; 0 means that it has not reported one.
func router(i int, dc fleet.DataCentreName, cores fleet.Cores) weighting.Router {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80)
	return weighting.Router{Address: addr, Name: addr.String(), DataCentre: dc, Room: fleet.Room{Cores: cores}}
}

// mixed returns the routers of the exam platform: of 71 in three data centres, 16 have 0.48 core and
// 55 have 0.144.
func mixed() []weighting.Router {
	var out []weighting.Router
	for i := range 71 {
		cores := fleet.Cores(0.144)
		if i%9 < 2 {
			cores = 0.48
		}
		out = append(out, router(i, fleet.DataCentreName("abc"[i%3:i%3+1]), cores))
	}
	return out
}

func caller(i int) string { return fmt.Sprintf("10.9.%d.%d", i/256, i%256) }

func names(routers []weighting.Router) []string {
	out := make([]string, len(routers))
	for i, r := range routers {
		out[i] = r.Name
	}
	return out
}

// formerAnswer is what callers were named before capacities counted: the first n routers of the data
// centre by hash, or all of its routers and then the others.
func formerAnswer(routers []weighting.Router, near fleet.DataCentreName, n int) []string {
	var local, others []weighting.Router
	for _, r := range routers {
		switch {
		case r.Diverted:
		case r.DataCentre == near:
			local = append(local, r)
		default:
			others = append(others, r)
		}
	}
	byHash := func(a, b weighting.Router) int {
		return cmp.Compare(xxhash.Sum64String(string(near)+" "+a.Name), xxhash.Sum64String(string(near)+" "+b.Name))
	}
	slices.SortFunc(local, byHash)
	slices.SortFunc(others, byHash)
	if n = max(n, weighting.MinRouters); len(local) >= n {
		local, others = local[:n], nil
	}
	return names(append(local, others...))
}

// TestEqualRoutersAreNamedAsBefore guards against deployments of equal routers whose callers move, and
// open new connections, because of weights that change nothing.
func TestEqualRoutersAreNamedAsBefore(t *testing.T) {
	convey.Convey("8 to 300 routers with equal rooms, or without any, are named as without weights, also while all fill or some shed", t, func() {
		for _, room := range []fleet.Room{{}, {Cores: 0.192, Connections: 490, Open: 100}, {Cores: 0.192, Reduction: 0.5}} {
			for _, count := range []int{3, 8, 24, 71, 300} {
				routers := make([]weighting.Router, count)
				for i := range routers {
					routers[i] = router(i, fleet.DataCentreName("abcd"[i%4:i%4+1]), 0)
					routers[i].Room = room
					routers[i].Diverted = i%7 == 3
				}
				for _, size := range []float64{0.2, 7.9, 8, 8.1, 15, 60, 1e6} {
					former := formerAnswer(routers, "b", int(math.Ceil(size)))
					for c := range 5 {
						got := weighting.Pick(routers, weighting.Query{Near: "b", Caller: caller(c), InUse: weighting.Capacity(size)})
						convey.So(slices.Equal(names(got.Routers), former), convey.ShouldBeTrue)
						convey.So(len(got.Omitted), convey.ShouldEqual, 0)
					}
				}
			}
		}
	})
}

// load returns the number of callers at each router if each picks one of those that it is named at
// random, as a multiple of the router's processor share, and the least and the most routers named.
func load(routers []weighting.Router, callers int, size weighting.Capacity) (byCores map[string]float64, least, most int) {
	byCores, least = map[string]float64{}, math.MaxInt
	cores := map[string]float64{}
	for _, r := range routers {
		cores[r.Name] = float64(r.Room.Cores)
	}
	for c := range callers {
		answer := weighting.Pick(routers, weighting.Query{Near: "a", Caller: caller(c), InUse: size})
		least, most = min(least, len(answer.Routers)), max(most, len(answer.Routers))
		for _, r := range answer.Routers {
			byCores[r.Name] += 1 / float64(len(answer.Routers)) / cores[r.Name]
		}
	}
	return byCores, least, most
}

// spread returns the highest load of a used router as a multiple of the mean over their capacity.
func spread(byCores map[string]float64, routers []weighting.Router) float64 {
	most, callers, cores := 0.0, 0.0, 0.0
	for _, r := range routers {
		if l := byCores[r.Name]; l > 0 {
			most = max(most, l)
			callers += l * float64(r.Room.Cores)
			cores += float64(r.Room.Cores)
		}
	}
	return most / (callers / cores)
}

// TestCallersFollowCapacity guards against small routers that get as many callers as large ones. It
// fails if rooms are not used: the small ones then get 1.6 times the mean and more.
func TestCallersFollowCapacity(t *testing.T) {
	convey.Convey("Callers that pick at random load routers with 1 to 3.3 times the capacity alike", t, func() {
		graded := make([]weighting.Router, 24)
		for i := range graded {
			graded[i] = router(i, "a", fleet.Cores(0.144*(1+2.3*float64(i)/23)))
		}
		for _, routers := range [][]weighting.Router{mixed(), graded} {
			for _, size := range []weighting.Capacity{1, 12, 18, 1e6} {
				byCores, least, most := load(routers, 4000, size)
				convey.So(spread(byCores, routers), convey.ShouldBeLessThan, 1.25)
				convey.So(least, convey.ShouldBeGreaterThanOrEqualTo, weighting.MinRouters)
				convey.So(most, convey.ShouldBeLessThanOrEqualTo, 64)
			}
		}
		equal := mixed()
		for i := range equal {
			equal[i].Room = fleet.Room{}
		}
		byCores := map[string]float64{}
		for _, r := range weighting.Pick(equal, weighting.Query{Near: "a", Caller: caller(0), InUse: 12}).Routers {
			byCores[r.Name] = 1
		}
		for _, r := range mixed() {
			byCores[r.Name] /= float64(r.Room.Cores)
		}
		convey.So(spread(byCores, mixed()), convey.ShouldBeGreaterThan, 1.5)
	})
}

// difference returns the routers that a caller is not named any more after a change, and those that
// it is named in addition.
func difference(before, after []weighting.Router, q weighting.Query) (gone, added []string) {
	old, now := names(weighting.Pick(before, q).Routers), names(weighting.Pick(after, q).Routers)
	gone = slices.DeleteFunc(slices.Clone(old), func(name string) bool { return slices.Contains(now, name) })
	added = slices.DeleteFunc(slices.Clone(now), func(name string) bool { return slices.Contains(old, name) })
	return gone, added
}

// TestOneRouterDies guards against a loss after which callers of other routers move as well, and open
// their connections anew.
func TestOneRouterDies(t *testing.T) {
	convey.Convey("Callers of 71 unequal routers lose the one that died, and are named at most two others in its place", t, func() {
		routers := mixed()
		for _, dead := range weighting.Pick(routers, weighting.Query{Near: "a", Caller: caller(0), InUse: 15}).Routers {
			after := slices.DeleteFunc(slices.Clone(routers), func(r weighting.Router) bool { return r.Name == dead.Name })
			lost, moved, most := 0, 0, 0
			for c := range 500 {
				q := weighting.Query{Near: "a", Caller: caller(c), InUse: 15}
				gone, added := difference(routers, after, q)
				if slices.Contains(gone, dead.Name) {
					lost++
				}
				moved += len(slices.DeleteFunc(gone, func(name string) bool { return name == dead.Name }))
				most = max(most, len(added))
			}
			convey.So(lost, convey.ShouldBeGreaterThan, 0)
			// A caller that is named more by their weights loses one that made up for the minimum.
			convey.So(moved, convey.ShouldBeLessThan, 25)
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, 2)
		}
	})
}

// TestFewCallersMoveWithOneWeight guards against a change of one weight that moves the callers of
// other routers.
func TestFewCallersMoveWithOneWeight(t *testing.T) {
	convey.Convey("A router that gives up half of its callers among 71 is named to about half as many, all others as before", t, func() {
		before, after := mixed(), mixed()
		reduced := &after[slices.IndexFunc(after, func(r weighting.Router) bool { return r.DataCentre == "a" && r.Room.Cores > 0.4 })]
		reduced.Room.Reduction = 0.5
		left, others, moved := 0, 0, 0
		for c := range 2000 {
			gone, added := difference(before, after, weighting.Query{Near: "a", Caller: caller(c), InUse: 15})
			if slices.Contains(gone, reduced.Name) {
				left++
			}
			moved += len(slices.DeleteFunc(gone, func(name string) bool { return name == reduced.Name }))
			others += len(added)
		}
		convey.So(left, convey.ShouldBeBetween, 800, 1200)
		convey.So(moved, convey.ShouldEqual, 0)
		// Callers that would have fewer than the minimum are named another one.
		convey.So(others, convey.ShouldBeLessThanOrEqualTo, left)
	})
}

// TestRouterOfEarlierRelease guards against routers that report no capacity and get no callers, or all.
func TestRouterOfEarlierRelease(t *testing.T) {
	convey.Convey("A router that does not report its processor time counts as the mean", t, func() {
		routers := []weighting.Router{router(1, "a", 0.1), router(2, "a", 0.3), router(3, "a", 0)}
		for i, capacity := range []float64{0.5, 1.5, 1} {
			convey.So(float64(weighting.Capacities(routers)[i]), convey.ShouldAlmostEqual, capacity)
		}
		weights := weighting.Weights(routers)
		convey.So(weights[routers[1].Name], convey.ShouldEqual, 1)
		convey.So(weights[routers[2].Name], convey.ShouldAlmostEqual, 2.0/3)
	})
}
