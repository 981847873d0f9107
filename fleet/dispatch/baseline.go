package dispatch

import "time"

const (
	// baselineMinSamples is the number of samples from which a baseline is known.
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
// faster than others. Slow samples are left out unless most samples are slow, or a cold
// target would pass for a warm one.
type firstTokenBaseline struct {
	value     float64
	samples   int
	slowShare mean
}

// p90 returns the 90th percentile; 0 while it is unknown.
func (p *firstTokenBaseline) p90() time.Duration {
	if p.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(p.value)
}

// observe adds a sample; slow says whether the limiter found it slow.
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
