package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fairshare"
)

func ExampleAdmitted() {
	demand := fairshare.Demand{"large": 800, "middle": 300, "small": 100}
	for _, s := range fairshare.Admitted(demand, 600) {
		fmt.Printf("%s %.3f\n", s.Customer, s.Admitted)
	}
	// Output:
	// large 0.312
	// middle 0.833
}

func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := fairshare.Demand{}
		total := 0.0
		for i, d := range rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "demand") {
			demand[fleet.CustomerName(fmt.Sprint(i))] = d
			total += d
		}
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := fairshare.Level(demand, capacity)
		if total <= capacity {
			if level != 0 {
				t.Fatalf("all demand fits, but the level is %f", level)
			}
			return
		}
		given := 0.0
		for _, d := range demand {
			given += min(d, level)
		}
		if given < capacity*0.999 || given > capacity*1.001 {
			t.Fatalf("level %f gives %f of %f", level, given, capacity)
		}
	})
}

func TestWindow(t *testing.T) {
	convey.Convey("Rates average over the time since the first Add, and drop old demand", t, func() {
		w := fairshare.NewWindow(4 * time.Second)
		now := time.Unix(1_700_000_000, 0)
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			w.Add(now, "a", 100)
		}
		convey.So(w.Rates(now)["a"], convey.ShouldAlmostEqual, 1000, 120)
		now = now.Add(3 * time.Second)
		// The oldest of the window's sixteen parts has been dropped.
		convey.So(w.Rates(now)["a"], convey.ShouldAlmostEqual, 230, 30)
		now = now.Add(5 * time.Second)
		convey.So(w.Rates(now)["a"], convey.ShouldEqual, 0)
	})
}

// TestGovernorFindsCapacity simulates an overloaded queue that serves 1000 tokens a second.
// The queue must stay short without running empty. During a third of the run only 600 are
// served, as when targets are lost.
func TestGovernorFindsCapacity(t *testing.T) {
	config := fairshare.GovernorConfig{
		TargetDelay: 120 * time.Millisecond, ActivationDelay: 200 * time.Millisecond,
		Gain: 0.5, MaxDecrease: 0.5, MaxIncrease: 0.3, Smoothing: time.Second,
	}
	for _, asked := range []float64{1200, 1500, 2500} {
		convey.Convey(fmt.Sprintf("An overloaded queue settles at a short delay without idling: demand %.0f, capacity 1000", asked), t, func() {
			g := fairshare.NewGovernor(config)
			const step = 100 * time.Millisecond
			now, queue, worst, idle, sent := time.Unix(1_700_000_000, 0), 0.0, 0.0, 0.0, 0.0
			for i := range 600 {
				now = now.Add(step)
				admitted := g.Update(now, fairshare.Load{Demand: asked, Admitted: sent, Waiting: queue, NominalRate: 1000})
				if admitted == 0 {
					admitted = asked
				}
				served := 1000.0
				if i >= 200 && i < 400 {
					served = 600
				}
				sent = min(admitted, asked) * step.Seconds()
				queue += sent - served*step.Seconds()
				if queue < 0 {
					idle -= queue
					queue = 0
				}
				if i > 50 {
					worst = max(worst, queue)
				}
			}
			convey.So(worst/1000, convey.ShouldBeLessThan, 0.4)
			convey.So(idle/(1000*60), convey.ShouldBeLessThan, 0.02)
			convey.Convey("and everything is admitted once the demand is below the capacity", func() {
				admitted := 1.0
				for range 100 {
					now = now.Add(step)
					admitted = g.Update(now, fairshare.Load{Demand: 500, Admitted: 50, NominalRate: 1000})
				}
				convey.So(admitted, convey.ShouldEqual, 0)
			})
		})
	}
}

func ExampleUnderserved() {
	demand := fairshare.Demand{"large": 800, "hasty": 300, "small": 100}
	served := fairshare.Demand{"large": 400, "hasty": 110, "small": 90}
	fmt.Println(fairshare.Underserved(demand, served, 600))
	// Output:
	// [hasty]
}

// TestGovernorSeesRefusals guards against an overload that the governor does not notice since
// routers refuse all that does not fit into a short queue (issue 60, FAIR).
func TestGovernorSeesRefusals(t *testing.T) {
	config := fairshare.GovernorConfig{
		TargetDelay: 120 * time.Millisecond, ActivationDelay: 200 * time.Millisecond,
		Gain: 0.5, MaxDecrease: 0.5, MaxIncrease: 0.3, Smoothing: time.Second,
	}
	const step, capacity, asked = 100 * time.Millisecond, 1000.0, 2500.0
	for _, longest := range []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 180 * time.Millisecond} {
		convey.Convey(fmt.Sprintf("Routers that keep queues below %v: the limit begins within a second, and most of what it admits is not refused", longest), t, func() {
			g := fairshare.NewGovernor(config)
			now, queue, sent, refused := time.Unix(1_700_000_000, 0), 0.0, 0.0, 0.0
			admittedLate, refusedLate, idle := 0.0, 0.0, 0.0
			for i := range 200 {
				now = now.Add(step)
				rate := g.Update(now, fairshare.Load{Demand: asked, Admitted: sent, Refused: refused, Waiting: queue, NominalRate: capacity})
				if i >= 10 {
					convey.So(rate, convey.ShouldBeGreaterThan, 0)
				}
				if rate == 0 {
					rate = asked
				}
				admitted := min(rate, asked) * step.Seconds()
				sent = min(admitted, max(0, capacity*(step+longest).Seconds()-queue))
				refused = admitted - sent
				queue += sent - capacity*step.Seconds()
				if queue < 0 {
					idle -= queue
					queue = 0
				}
				if i >= 50 {
					admittedLate, refusedLate = admittedLate+admitted, refusedLate+refused
				}
			}
			convey.So(refusedLate/admittedLate, convey.ShouldBeLessThan, 0.5)
			convey.So(idle/(capacity*20), convey.ShouldBeLessThan, 0.02)
		})
	}
}

// TestBalancedSharesOfACrowd gives two customers equal demand, far over the capacity. All
// callers of "crowd" use one router, which finds three quarters of the capacity taken by
// "spread". Without balancing, "crowd" is served much less than "spread".
func TestBalancedSharesOfACrowd(t *testing.T) {
	convey.Convey("Customers with equal shares are served alike, even if routers refuse one of them more often", t, func() {
		const capacity, asked = 1000.0, 4000.0
		got := func(shares func(demand, got fairshare.Demand) []fleet.CustomerShare) fairshare.Demand {
			demand := fairshare.Demand{"crowd": asked, "spread": asked}
			served := fairshare.Demand{}
			for range 50 {
				admitted := fairshare.Demand{}
				for _, s := range shares(demand, served) {
					admitted[s.Customer] = s.Admitted * asked
				}
				spread := min(admitted["spread"], capacity*3/4)
				served = fairshare.Demand{"spread": spread, "crowd": min(admitted["crowd"], capacity-spread)}
			}
			return served
		}
		// The estimated capacity is too high.
		const believed = 1.6 * capacity
		plain := got(func(demand, _ fairshare.Demand) []fleet.CustomerShare { return fairshare.Admitted(demand, believed) })
		convey.So(plain["crowd"], convey.ShouldBeLessThan, plain["spread"]/2)
		balanced := got(func(demand, got fairshare.Demand) []fleet.CustomerShare {
			return fairshare.Balanced(demand, got, believed)
		})
		convey.So(balanced["crowd"], convey.ShouldBeGreaterThan, balanced["spread"]*0.7)
	})
}
