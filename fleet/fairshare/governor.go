package fairshare

import "time"

// GovernorConfig configures a Governor.
type GovernorConfig struct {
	// TargetDelay is the mean queueing delay to hold under overload, see Governor: long enough
	// to keep the engines busy, and short compared to what callers accept.
	TargetDelay time.Duration
	// ActivationDelay is the queueing delay above which the governor starts to limit
	// admission. The work refused within Smoothing adds to that delay.
	ActivationDelay time.Duration
	// Gain is the relative change of the admitted rate, compared to the served rate, when
	// the delay differs from TargetDelay by TargetDelay. The change is at most MaxDecrease
	// down and MaxIncrease up.
	Gain        float64
	MaxDecrease float64
	MaxIncrease float64
	// Smoothing is the time constant of the moving averages of the served and the refused rate.
	Smoothing time.Duration
}

// Load is the input of a Governor.
type Load struct {
	// Demand is the demand of all customers, in tokens a second.
	Demand float64
	// Admitted is the work sent to engines since the last Update, in tokens.
	Admitted float64
	// Refused is the work that routers refused since the last Update because the engines' queues
	// were too long for it, in tokens.
	Refused float64
	// Waiting is the work queued at the engines now, in tokens.
	Waiting float64
	// NominalRate is the configured capacity of the engines, in tokens a second. It
	// converts Waiting to a delay.
	NominalRate float64
}

// Governor limits the customers' total demand to what the engines can serve. The engines'
// actual capacity depends on their prefix caches and is not reported, so it is measured:
// the work sent to them less the growth of their queues.
//
// Routers that refuse what would be late keep the queues short under any demand, the shorter the
// sooner callers expect their answers. The queues alone then do not show an overload, so work
// that was refused counts too: for the activation as if it were queued, and against the rate to
// admit by its part of what was admitted.
type Governor struct {
	cfg GovernorConfig
	// active is true while admission is limited.
	active bool
	// servedRate is the smoothed rate at which the engines serve, in tokens a second.
	servedRate float64
	// refusedRate is the smoothed rate of Load.Refused, in tokens a second.
	refusedRate float64
	// waiting is Load.Waiting of the last Update.
	waiting   float64
	updatedAt time.Time
}

// NewGovernor returns a Governor that admits all demand.
func NewGovernor(cfg GovernorConfig) *Governor { return &Governor{cfg: cfg} }

// ServedRate returns the smoothed rate at which the engines serve, in tokens a second.
func (g *Governor) ServedRate() float64 { return g.servedRate }

// refusedFraction returns the fraction of the work within the customers' shares that routers refuse.
func (g *Governor) refusedFraction() float64 {
	if g.refusedRate <= 0 {
		return 0
	}
	return g.refusedRate / (g.refusedRate + max(g.servedRate, 0))
}

// delayOf returns the time that the engines take for work, at their configured capacity.
func delayOf(tokens, nominalRate float64) time.Duration {
	return time.Duration(tokens / nominalRate * float64(time.Second))
}

// deactivationMargin is the fraction by which the admitted rate must exceed the demand before
// the limit is lifted.
const deactivationMargin = 0.1

// Update returns the rate to admit, in tokens a second; 0 means no limit.
func (g *Governor) Update(now time.Time, l Load) float64 {
	elapsed := now.Sub(g.updatedAt)
	first := g.updatedAt.IsZero()
	g.updatedAt = now
	if first || elapsed <= 0 || l.NominalRate <= 0 {
		g.waiting, g.servedRate, g.refusedRate = l.Waiting, l.Demand, 0
		return 0
	}
	rate := (l.Admitted - (l.Waiting - g.waiting)) / elapsed.Seconds()
	g.waiting = l.Waiting
	weight := min(1, float64(elapsed)/float64(g.cfg.Smoothing))
	g.servedRate += (rate - g.servedRate) * weight
	g.refusedRate += (l.Refused/elapsed.Seconds() - g.refusedRate) * weight
	delay := delayOf(l.Waiting, l.NominalRate)
	if delay+delayOf(g.refusedRate*g.cfg.Smoothing.Seconds(), l.NominalRate) > g.cfg.ActivationDelay {
		g.active = true
	}
	if !g.active {
		return 0
	}
	change := g.cfg.Gain * (float64(g.cfg.TargetDelay-delay)/float64(g.cfg.TargetDelay) - g.refusedFraction())
	admitted := g.servedRate * (1 + max(-g.cfg.MaxDecrease, min(g.cfg.MaxIncrease, change)))
	if admitted > l.Demand*(1+deactivationMargin) {
		g.active = false
		return 0
	}
	return max(admitted, 1)
}
