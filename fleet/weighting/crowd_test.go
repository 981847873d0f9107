package weighting_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/subset"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

const (
	step = 100 * time.Millisecond
	// stepsPerSecond is the number of steps after which a caller looks up routers again, and after
	// which one that was refused comes back.
	stepsPerSecond = int(time.Second / step)
	// heartbeatSteps is the number of steps between two reports of a router.
	heartbeatSteps = 5
)

// crowd simulates the callers of one data centre, each with one connection that it opens anew after a
// mean of 5 s, or once a newer answer omits its router. Every fifth keeps an answer for 3 s.
type crowd struct {
	now      time.Time
	steps    int
	random   *rand.Rand
	routers  []weighting.Router
	open     []int
	gauges   []*weighting.Gauge
	weighted bool
	// known is what the directory knows of the routers.
	known   []weighting.Router
	sizer   *subset.Sizer
	size    weighting.Capacity
	callers []*member
	// refused counts connections above a router's limit, moved those given up for a newer answer.
	refused, moved int
}

// member is a caller of a crowd. at is the index of its router, or -1; back is the step at which it
// tries again.
type member struct {
	name  string
	named []string
	at    int
	back  int
}

func newCrowd(weighted bool) *crowd {
	c := &crowd{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), weighted: weighted,
		sizer: subset.NewSizer(subset.Config{Utilisation: 0.3, Min: weighting.MinRouters, ShrinkRate: 0.2}), size: weighting.All,
	}
	for _, r := range mixed() {
		if r.DataCentre != "a" {
			continue
		}
		if r.Room.Connections = 139; r.Room.Cores > 0.4 {
			r.Room.Connections = 1130
		}
		c.routers, c.open, c.gauges = append(c.routers, r), append(c.open, 0), append(c.gauges, weighting.NewGauge(weighting.DefaultGauge))
		r.Room = fleet.Room{}
		c.known = append(c.known, r)
	}
	return c
}

// run simulates a number of steps, with callers that join evenly over them.
func (c *crowd) run(steps, join int) {
	for i := range steps {
		c.now, c.steps = c.now.Add(step), c.steps+1
		for range join*(i+1)/steps - join*i/steps {
			c.callers = append(c.callers, &member{name: caller(len(c.callers)), at: -1, back: c.steps})
		}
		for i, m := range c.callers {
			c.act(i, m)
		}
		for i := range c.routers {
			c.report(i)
		}
		if c.steps%heartbeatSteps == 0 {
			c.resize()
		}
	}
}

// act lets a caller look up routers, give up its connection and open a new one.
func (c *crowd) act(i int, m *member) {
	kept := stepsPerSecond
	if i%5 == 0 {
		kept *= 3
	}
	if m.named == nil || (c.steps+i)%kept == 0 {
		m.named = names(weighting.Pick(c.known, weighting.Query{Near: "a", Caller: m.name, InUse: c.size}).Routers)
		if m.at >= 0 && !contains(m.named, c.routers[m.at].Name) {
			c.moved++
			c.close(m)
		}
	}
	if m.at >= 0 && c.random.IntN(5*stepsPerSecond) == 0 {
		c.close(m)
	}
	if m.at >= 0 || c.steps < m.back {
		return
	}
	at := c.find(m.named[c.random.IntN(len(m.named))])
	if c.open[at] >= c.routers[at].Room.Connections {
		c.refused++
		m.back = c.steps + stepsPerSecond
		return
	}
	c.open[at]++
	m.at = at
}

func (c *crowd) close(m *member) { c.open[m.at], m.at, m.back = c.open[m.at]-1, -1, c.steps }

func (c *crowd) find(name string) int {
	for i, r := range c.routers {
		if r.Name == name {
			return i
		}
	}
	panic("router " + name + " is not known")
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

// report sends a router's report to the directory, every 500 ms or early.
func (c *crowd) report(i int) {
	r := &c.routers[i]
	r.Room.Open, r.Room.Reduction = c.open[i], c.gauges[i].Update(c.now, c.open[i], r.Room.Connections)
	if c.weighted && ((c.steps+i)%heartbeatSteps == 0 || r.Room.Reduction >= c.known[i].Room.Reduction+0.125) {
		c.known[i].Room = r.Room
	}
}

// resize updates the capacity in use. Without weights, connections do not count: their number was
// compared to half of the descriptors.
func (c *crowd) resize() {
	used := weighting.Capacity(0)
	for i, capacity := range weighting.Capacities(c.known) {
		limit := 1537
		if c.weighted {
			limit = c.routers[i].Room.Connections
		}
		used += capacity * weighting.Capacity(float64(c.open[i])/float64(limit))
	}
	c.size = c.sizer.Update(c.now, weighting.Capacity(len(c.known)), used)
}

// TestBurstOfCallersOverUnequalRouters guards against small routers that refuse callers while large
// ones have room, when three times the callers come within a second. It fails if rooms are not used:
// thousands are refused then.
func TestBurstOfCallersOverUnequalRouters(t *testing.T) {
	convey.Convey("2,000 callers become 6,000 within a second; 16 routers take 139 connections each and 8 take 1,130", t, func() {
		for _, weighted := range []bool{true, false} {
			c := newCrowd(weighted)
			c.run(8*stepsPerSecond, 2000)
			c.refused, c.moved = 0, 0
			c.run(5*stepsPerSecond, 0)
			calm := c.refused + c.moved
			c.run(stepsPerSecond, 4000)
			c.run(4*stepsPerSecond, 0)
			if !weighted {
				convey.So(c.refused, convey.ShouldBeGreaterThan, 3000)
				continue
			}
			convey.So(calm, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(c.refused, convey.ShouldBeLessThanOrEqualTo, 20)
			convey.So(c.moved, convey.ShouldBeLessThan, 1000)
			for i, r := range c.routers {
				convey.So(float64(c.open[i]), convey.ShouldBeLessThan, 0.95*float64(r.Room.Connections))
			}
		}
	})
}

// TestGauge guards against a router that tells the directory only when it is full, and against one
// that sends callers away because of the usual changes of their number.
func TestGauge(t *testing.T) {
	convey.Convey("Of 139 connections 40 are open", t, func() {
		g, now := weighting.NewGauge(weighting.DefaultGauge), time.Unix(1_700_000_000, 0)
		update := func(open, limit int) float64 {
			now = now.Add(step)
			return g.Update(now, open, limit)
		}
		for i := range 50 {
			convey.So(update(40+3*(i%4), 139), convey.ShouldEqual, 0)
		}
		convey.Convey("Three times the callers within a second reduce them before half of the connections are open", func() {
			open, reduction := 40, 0.0
			for ; reduction == 0; reduction = update(open, 139) {
				open += 12
			}
			convey.So(open, convey.ShouldBeLessThan, 139/2+20)
		})
		convey.Convey("A full router gives up three quarters of its callers at once, and takes them back within 8 s", func() {
			convey.So(update(139, 139), convey.ShouldEqual, 0.75)
			convey.So(update(40, 139), convey.ShouldBeGreaterThan, 0.7)
			for range 40 {
				update(40, 139)
			}
			convey.So(update(40, 139), convey.ShouldBeBetween, 0.25, 0.5)
			for range 40 {
				update(40, 139)
			}
			convey.So(update(40, 139), convey.ShouldEqual, 0)
		})
		convey.Convey("Without a limit nothing is reduced", func() {
			convey.So(update(100_000, 0), convey.ShouldEqual, 0)
		})
	})
}
