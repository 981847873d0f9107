package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// rigaConfig is the fleet of lv-riga: 8 routers, 9 targets of 8 slots, 16 customers.
func rigaConfig(cfg Config) simConfig {
	return simConfig{
		seed: 3, dispatchers: 2, routers: 8, targets: 9, slots: 8, customers: 16, spread: 2 * time.Millisecond,
		meanCost: 200, announceRunning: true, dispatch: cfg,
	}
}

// unevenLoad keeps customers backlogged, each through other routers. Hints are off by up to a
// factor of 2, or of 10 for customer c01.
func unevenLoad(s *sim, customers int) func() {
	s.hint = func(c fleet.CustomerName, cost int) fleet.Cost {
		if c == "c01" {
			return fleet.Cost(max(1, cost/10))
		}
		return fleet.Cost(float64(cost) * (0.5 + 1.5*s.rng.Float64()))
	}
	return func() {
		for c := range customers {
			name := fleet.CustomerName(fmt.Sprintf("c%02d", c))
			for i := range 1 + c%3 {
				o := s.routers[(c+i)%len(s.routers)]
				n := 0
				for _, q := range o.waiting {
					if q.customer == name {
						n++
					}
				}
				for ; n < 12; n++ {
					s.submit(o, c, s.randomCost(), "")
				}
			}
		}
	}
}

// widestGap returns the largest difference over time in service delivered per weight
// between any two of the customers, all backlogged.
func widestGap(s *sim, d time.Duration, customers int, each func()) float64 {
	base := map[fleet.CustomerName]fleet.Cost{}
	for c, n := range s.delivered {
		base[c] = n
	}
	worst := 0.0
	s.run(d, func() {
		each()
		per := make([]float64, customers)
		for c := range per {
			name := fleet.CustomerName(fmt.Sprintf("c%02d", c))
			per[c] = float64(s.delivered[name]-base[name]) / float64(s.config.Fleet.Customers[name].Weight)
		}
		worst = max(worst, slices.Max(per)-slices.Min(per))
	})
	return worst
}

// chargingGap returns the widest gap between six backlogged customers over d.
func chargingGap(seed uint64, slots fleet.Slots, way Charging, d time.Duration) float64 {
	const customers = 6
	cfg := rigaConfig(Config{Charging: way})
	cfg.seed, cfg.slots = seed, slots
	s := newSim(cfg)
	load := unevenLoad(s, customers)
	s.run(20*time.Second, load)
	return widestGap(s, d, customers, load)
}

func TestChargingCompared(t *testing.T) {
	convey.Convey("Progressive charging keeps the gap smaller than charging at the end", t, func() {
		gaps := map[Charging]float64{}
		for _, way := range []Charging{ChargeAtEnd, ChargeProgressively} {
			gaps[way] = chargingGap(3, 8, way, 20*time.Second)
			t.Logf("gap when charging %s: %.0f tokens per weight; the largest cost is 1000", way, gaps[way])
		}
		convey.So(gaps[ChargeProgressively], convey.ShouldBeLessThan, gaps[ChargeAtEnd])
	})
}

// phaseFigures are the measurements of one phase of a run.
type phaseFigures struct {
	// idle is the share of slots that are idle while requests wait.
	idle float64
	// waiting is the mean number of waiting requests.
	waiting float64
}

func (f *phaseFigures) add(other phaseFigures, of float64) {
	f.idle += other.idle / of
	f.waiting += other.waiting / of
}

func (s *sim) phase(d time.Duration, each func()) phaseFigures {
	s.idleSteps, s.slotSteps, s.waitSteps, s.samples = 0, 0, 0, 0
	s.run(d, each)
	return phaseFigures{
		idle: float64(s.idleSteps) / float64(max(1, s.slotSteps)), waiting: float64(s.waitSteps) / float64(max(1, s.samples)),
	}
}

// takeOver measures ten seconds of normal operation and the four seconds after the lease
// holder was killed.
func takeOver(seed uint64, cfg Config, reuse bool, load func(s *sim) func()) (calm, killed phaseFigures, violations []string) {
	riga := rigaConfig(cfg)
	riga.seed, riga.reuse = seed, reuse
	s := newSim(riga)
	each := load(s)
	s.run(30*time.Second, each)
	calm = s.phase(10*time.Second, each)
	s.dispatchers[s.lease.holder].dead = true
	killed = s.phase(4*time.Second, each)
	return calm, killed, s.violations
}

var takeOverLoads = []struct {
	name string
	load func(s *sim) func()
}{
	{"Saturated", func(s *sim) func() { return unevenLoad(s, 6) }},
	{"Half", func(s *sim) func() {
		return func() {
			if s.rng.IntN(6) == 0 {
				s.submit(s.routers[s.rng.IntN(8)], s.rng.IntN(6), s.randomCost(), "")
			}
		}
	}},
}

// BenchmarkTakeOver kills the lease holder under load and reports the share of slots that are
// idle while requests wait, and the mean number of waiting requests, in the four seconds
// after. Run it with -benchtime 5x for the mean over five seeds.
func BenchmarkTakeOver(b *testing.B) {
	for _, load := range takeOverLoads {
		for _, way := range []struct{ standing, reuse bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
			b.Run(fmt.Sprintf("%s/Standing=%t/Reuse=%t", load.name, way.standing, way.reuse), func(b *testing.B) {
				var before, after phaseFigures
				for seed := range b.N {
					calm, killed, violations := takeOver(uint64(seed), Config{StandingGrants: way.standing}, way.reuse, load.load)
					before.add(calm, float64(b.N))
					after.add(killed, float64(b.N))
					if len(violations) > 0 {
						b.Fatal(violations[0])
					}
				}
				b.ReportMetric(before.idle, "idle-before")
				b.ReportMetric(after.idle, "idle-after")
				b.ReportMetric(before.waiting, "waiting-before")
				b.ReportMetric(after.waiting, "waiting-after")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkCharging reports the widest gap between six backlogged customers in a minute: the
// mean and the maximum over the seeds, whose number is N in -benchtime Nx.
func BenchmarkCharging(b *testing.B) {
	for _, slots := range []fleet.Slots{8, 32} {
		for _, way := range []Charging{ChargeAtEnd, ChargeAtGrant, ChargeProgressively} {
			b.Run(fmt.Sprintf("Slots=%d/%s", 9*slots, way), func(b *testing.B) {
				var sum, worst float64
				for seed := range b.N {
					gap := chargingGap(uint64(seed), slots, way, time.Minute)
					sum += gap
					worst = max(worst, gap)
				}
				b.ReportMetric(sum/float64(b.N), "gap-mean")
				b.ReportMetric(worst, "gap-worst")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
