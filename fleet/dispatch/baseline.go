package dispatch

import "time"

const (
	// baselineMinSamples is the number of samples required before the baseline is used.
	baselineMinSamples = 32
	// baselineStepUp and baselineStepDown are the relative steps with which the baseline
	// follows samples above and below it; their ratio makes it the 90th percentile.
	baselineStepUp   = 0.09
	baselineStepDown = 0.01
	// baselineShiftShare is the share of slow samples above which the whole service is taken
	// to have become slower, rather than some of its targets to be cold.
	baselineShiftShare = 0.5
)

// firstTokenBaseline estimates the 90th percentile of the time to the first token over all
// targets of a service. A mean would be too low, since prompts with a cached prefix are much
// faster than others. Slow samples are left out unless most samples are slow; otherwise they
// would raise the baseline and hide that a target is cold.
type firstTokenBaseline struct {
	value     float64
	samples   int
	slowShare mean
}

// p90 returns the estimate; 0 before baselineMinSamples samples.
func (p *firstTokenBaseline) p90() time.Duration {
	if p.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(p.value)
}

// observe adds a sample; slow is the limiter's classification of it.
func (p *firstTokenBaseline) observe(d time.Duration, slow bool) {
	x := float64(d)
	share := 0.0
	if slow {
		share = 1
	}
	p.slowShare.add(share)
	if slow && p.slowShare.value <= baselineShiftShare {
		return
	}
	p.samples++
	switch {
	case p.samples == 1:
		p.value = x
	case x > p.value:
		p.value *= 1 + baselineStepUp
	default:
		p.value /= 1 + baselineStepDown
	}
}
