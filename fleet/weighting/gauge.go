package weighting

import (
	"math"
	"time"
)

// GaugeConfig configures a Gauge.
type GaugeConfig struct {
	// Window is the time over which the growth of the number of connections is measured.
	Window time.Duration
	// Horizon is the time for which the free connections have to last at the present growth.
	Horizon time.Duration
	// Reserve is the fraction of its connections below which a router is nearly full if it is free.
	Reserve float64
	// MaxReduction is the maximum reduction. Callers that leave at once fill other routers.
	MaxReduction float64
	// ReturnRate is the decrease of the reduction in a second. It has to be low, since callers
	// follow a change only after seconds.
	ReturnRate float64
	// Step is the unit of the reduction: smaller changes move callers for nothing.
	Step float64
}

// DefaultGauge has a horizon of the time for which callers keep an answer of the directory.
var DefaultGauge = GaugeConfig{
	Window: 300 * time.Millisecond, Horizon: time.Second, Reserve: 0.2, MaxReduction: 0.75, ReturnRate: 0.1, Step: 1.0 / 16,
}

// Gauge computes the fraction of its usual callers that a router should give up before its
// connections are used up. The fraction rises at once and falls slowly.
type Gauge struct {
	cfg GaugeConfig
	// samples has the numbers of connections within the window and the last one before it.
	samples   []sample
	reduction float64
	growth    float64
}

// sample is a number of open connections.
type sample struct {
	at   time.Time
	open int
}

// NewGauge returns a Gauge that reduces nothing.
func NewGauge(cfg GaugeConfig) *Gauge { return &Gauge{cfg: cfg} }

// Update takes the number of open connections and the limit, 0 for none, and returns the
// reduction, a multiple of Step.
func (g *Gauge) Update(now time.Time, open, limit int) float64 {
	elapsed := time.Duration(0)
	if n := len(g.samples); n > 0 {
		elapsed = now.Sub(g.samples[n-1].at)
	}
	g.measureGrowth(sample{now, open})
	if limit <= 0 {
		return 0
	}
	g.reduction = max(g.reduction-g.cfg.ReturnRate*elapsed.Seconds(), g.wanted(open, limit))
	return math.Ceil(g.reduction/g.cfg.Step) * g.cfg.Step
}

// Growth returns the increase of the number of open connections in a second.
func (g *Gauge) Growth() float64 { return g.growth }

// measureGrowth adds a sample and updates the growth, which is measured over the window or longer.
func (g *Gauge) measureGrowth(s sample) {
	g.samples = append(g.samples, s)
	for len(g.samples) > 2 && s.at.Sub(g.samples[1].at) >= g.cfg.Window {
		g.samples = g.samples[1:]
	}
	first := g.samples[0]
	g.growth = 0
	if span := max(s.at.Sub(first.at), g.cfg.Window); len(g.samples) > 1 {
		g.growth = float64(s.open-first.open) / span.Seconds()
	}
}

// wanted returns the reduction for the present numbers, without regard to earlier ones. It is
// rounded down to a multiple of Step, so that a growth that fits by little changes nothing.
func (g *Gauge) wanted(open, limit int) float64 {
	free := max(float64(limit-open), 0)
	reduction := 1 - free/(g.cfg.Reserve*float64(limit))
	if used := g.growth * g.cfg.Horizon.Seconds(); used > free {
		reduction = max(reduction, 1-free/used)
	}
	return min(max(math.Floor(reduction/g.cfg.Step)*g.cfg.Step, 0), g.cfg.MaxReduction)
}
