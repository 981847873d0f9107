package pace_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/pace"
)

var start = time.Unix(1_700_000_000, 0)

// play has each target of a class answer once every 50 ms to one of 71 routers in turn, and returns
// the last list. slow returns the factor by which the answers at a time are slower.
func play(c *pace.Collector, from, to time.Duration, classes []float64, slow func(target int, at time.Duration) float64) map[int]fleet.TargetPace {
	const routers, interval = 71, 50 * time.Millisecond
	out := map[int]fleet.TargetPace{}
	for at := from; at < to; at += interval {
		for i, class := range classes {
			c.AddReport(start.Add(at), &fleet.RouterLoad{
				Host:  fleet.HostID(fmt.Sprint("r-", (int(at/interval)+i)%routers)),
				Paces: []fleet.PaceSamples{{Target: fleet.TargetID(fmt.Sprint(i)), Incarnation: 1, Answers: 1, LogSum: math.Log(class * slow(i, at))}},
			})
		}
		if list, known := c.List(start.Add(at)); known {
			clear(out)
			for _, p := range list {
				var i int
				_, err := fmt.Sscan(string(p.Target), &i)
				convey.So(err, convey.ShouldBeNil)
				convey.So(p.Check(), convey.ShouldBeNil)
				out[i] = p
			}
		}
	}
	return out
}

func steady(int, time.Duration) float64 { return 1 }

// Guards against routers that each learn for themselves, from a few answers, which targets are slow.
func TestThreeClasses(t *testing.T) {
	convey.Convey("Few answers to each of 71 routers show the pace of three classes; a normal target is not listed", t, func() {
		classes := []float64{0.7, 0.7, 1.7, 1, 1.05}
		got := play(pace.New(), 0, 10*time.Second, classes, steady)
		convey.So(got, convey.ShouldHaveLength, 3)
		convey.So([]float64{got[0].Pace, got[1].Pace, got[2].Pace}, convey.ShouldResemble, []float64{0.7, 0.7, 1.7})
	})
}

// Guards against a pace that a moment changes: routers notice it by their own answers.
func TestShortSlowdownChangesLittle(t *testing.T) {
	convey.Convey("A target that is 2.5 times as slow for 600 ms has a pace below 1.18 afterwards, at the start and later", t, func() {
		for _, begin := range []time.Duration{time.Second, 4500 * time.Millisecond, 20 * time.Second} {
			slow := func(_ int, at time.Duration) float64 {
				if at >= begin && at < begin+600*time.Millisecond {
					return 2.5
				}
				return 1
			}
			convey.So(play(pace.New(), 0, begin+1700*time.Millisecond, []float64{1}, slow)[0].Pace, convey.ShouldBeLessThan, 1.18)
			convey.So(play(pace.New(), 0, begin+5*time.Second, []float64{1}, slow)[0].Pace, convey.ShouldBeLessThan, 1.18)
		}
	})
}

// Guards against parts that move at each change of leaders, and for a target that has restarted.
func TestNewLeaderAndNewIncarnation(t *testing.T) {
	convey.Convey("A new leader sends no list for 3 s, and a new incarnation starts without a pace", t, func() {
		c := pace.New()
		_, known := c.List(start)
		convey.So(known, convey.ShouldBeFalse)
		convey.So(play(c, 0, 2900*time.Millisecond, []float64{1.7}, steady), convey.ShouldBeEmpty)
		convey.So(play(c, 2900*time.Millisecond, 6*time.Second, []float64{1.7}, steady), convey.ShouldHaveLength, 1)
		report := func(inc fleet.Incarnation) {
			c.AddReport(start.Add(6*time.Second), &fleet.RouterLoad{Paces: []fleet.PaceSamples{{Target: "0", Incarnation: inc, Answers: 1}}})
		}
		report(2)
		report(1)
		list, known := c.List(start.Add(7 * time.Second))
		convey.So(known, convey.ShouldBeTrue)
		convey.So(list, convey.ShouldBeEmpty)
	})
}

// Guards against a router without processor time that reports its own delay as the targets' pace.
func TestOneRouterDoesNotOutweighTheOthers(t *testing.T) {
	convey.Convey("Many late answers of one router out of 71 change the pace of a target by less than 10 %", t, func() {
		c := pace.New()
		play(c, 0, 10*time.Second, []float64{1}, steady)
		c.AddReport(start.Add(11*time.Second), &fleet.RouterLoad{Paces: []fleet.PaceSamples{
			{Target: "0", Incarnation: 1, Answers: 1000, LogSum: 1000 * fleet.MaxPaceSample},
		}})
		list, known := c.List(start.Add(11 * time.Second))
		convey.So(known, convey.ShouldBeTrue)
		convey.So(list, convey.ShouldBeEmpty)
	})
}
