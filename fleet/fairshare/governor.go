package fairshare

import "time"

// GovernorConfig configures a Governor.
type GovernorConfig struct {
	// High is the delay from which less is admitted, Low the one below which more is.
	High time.Duration
	Low  time.Duration
	// Fall and Rise are the parts by which what is admitted changes in a second.
	Fall float64
	Rise float64
	// Smoothing is the span over which the delay is averaged: one long prompt is no
	// reason to admit less.
	Smoothing time.Duration
}

// Governor finds how much of the customers' demand the engines bear, from how long
// requests wait there: what an engine bears depends on what it has kept, and is not
// told by anyone.
type Governor struct {
	cfg GovernorConfig
	// capacity is 0 while everything is admitted.
	capacity float64
	delay    time.Duration
	at       time.Time
}

// NewGovernor makes a Governor that admits everything.
func NewGovernor(cfg GovernorConfig) *Governor { return &Governor{cfg: cfg} }

// maxStep bounds the time that one Update covers.
const maxStep = time.Second

// Update takes the demand of all customers together, in tokens a second, and the delay
// of requests at the engines. It returns what may be admitted; 0 means all of it.
func (g *Governor) Update(now time.Time, demand float64, delay time.Duration) float64 {
	passed := min(now.Sub(g.at), maxStep)
	g.at = now
	g.delay += time.Duration(float64(delay-g.delay) * min(1, float64(passed)/float64(max(g.cfg.Smoothing, 1))))
	delay = g.delay
	step := passed.Seconds()
	switch {
	case delay > g.cfg.High:
		if g.capacity == 0 || g.capacity > demand {
			g.capacity = demand
		}
		excess := min(1, float64(delay-g.cfg.High)/float64(g.cfg.High))
		g.capacity *= 1 - min(0.5, g.cfg.Fall*excess*step)
	case delay < g.cfg.Low && g.capacity > 0:
		g.capacity *= 1 + g.cfg.Rise*step
	}
	if g.capacity > demand*(1+g.cfg.Rise) {
		g.capacity = 0
	}
	return g.capacity
}
