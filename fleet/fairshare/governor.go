package fairshare

import "time"

// GovernorConfig configures a Governor.
type GovernorConfig struct {
	// TargetDelay is what requests wait on average while more is asked than there is: long
	// enough that no engine idles, and short beside what callers accept.
	TargetDelay time.Duration
	// ActivationDelay is the delay from which the governor begins to hold back.
	ActivationDelay time.Duration
	// Gain is the part of what is served by which more or less is admitted when the
	// delay is off by Delay; at most MaxCut less and MaxPush more.
	Gain        float64
	MaxDecrease float64
	MaxIncrease float64
	// Smoothing is the span over which what is served is averaged.
	Smoothing time.Duration
}

// Load is what a Governor decides by, in tokens and tokens a second.
type Load struct {
	// Demand is what all customers ask for.
	Demand float64
	// Admitted is what was sent to engines since the last Update, in tokens.
	Admitted float64
	// Waiting is what waits at the engines now, in tokens.
	Waiting float64
	// NominalRate is what the engines are said to serve. It converts Waiting to a delay.
	NominalRate float64
}

// Governor finds how much of the customers' demand the engines bear. What they bear
// depends on what they have kept, and is not told by anyone: it is what was sent to
// them less what more waits there than before.
type Governor struct {
	cfg GovernorConfig
	// active says that less is admitted than asked for.
	active     bool
	servedRate float64
	waiting    float64
	updatedAt  time.Time
}

// NewGovernor makes a Governor that admits everything.
func NewGovernor(cfg GovernorConfig) *Governor { return &Governor{cfg: cfg} }

// deactivationMargin is the part by which what is borne must exceed what is asked for before
// everything is admitted again.
const deactivationMargin = 0.1

// Update returns what may be admitted, in tokens a second; 0 means all of it.
func (g *Governor) Update(now time.Time, l Load) float64 {
	elapsed := now.Sub(g.updatedAt)
	first := g.updatedAt.IsZero()
	g.updatedAt = now
	if first || elapsed <= 0 || l.NominalRate <= 0 {
		g.waiting, g.servedRate = l.Waiting, l.Demand
		return 0
	}
	rate := (l.Admitted - (l.Waiting - g.waiting)) / elapsed.Seconds()
	g.waiting = l.Waiting
	g.servedRate += (rate - g.servedRate) * min(1, float64(elapsed)/float64(g.cfg.Smoothing))
	delay := time.Duration(l.Waiting / l.NominalRate * float64(time.Second))
	if delay > g.cfg.ActivationDelay {
		g.active = true
	}
	if !g.active {
		return 0
	}
	change := g.cfg.Gain * float64(g.cfg.TargetDelay-delay) / float64(g.cfg.TargetDelay)
	admitted := g.servedRate * (1 + max(-g.cfg.MaxDecrease, min(g.cfg.MaxIncrease, change)))
	if admitted > l.Demand*(1+deactivationMargin) {
		g.active = false
		return 0
	}
	return max(admitted, 1)
}
