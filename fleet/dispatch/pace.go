package dispatch

import "time"

const (
	// paceSamples is the number of first tokens from which a usual time is derived.
	paceSamples = 32
	// paceUp and paceDown are the relative steps with which the usual time follows
	// samples above and below it; their ratio makes it the 90th percentile.
	paceUp   = 0.09
	paceDown = 0.01
	// paceShift is the share of slow samples above which the whole service is taken to
	// have become slower, rather than some of its targets cold.
	paceShift = 0.5
)

// pace is the usual time to the first token over all targets of a service. Prompts that
// a target has in its cache are much faster than others, so it is a high percentile and
// not a mean. It does not learn from slow samples, or a cold target would pass for a
// warm one, unless most samples are slow.
type pace struct {
	value   float64
	samples int
	slow    mean
}

// usual returns the usual time to the first token; 0 while it is not known.
func (p *pace) usual() time.Duration {
	if p.samples < paceSamples {
		return 0
	}
	return time.Duration(p.value)
}

// observe takes in a sample and whether it was slow.
func (p *pace) observe(d time.Duration, slow bool) {
	x := float64(d)
	share := 0.0
	if slow {
		share = 1
	}
	p.slow.add(share)
	if slow && p.slow.value <= paceShift {
		return
	}
	p.samples++
	switch {
	case p.samples == 1:
		p.value = x
	case x > p.value:
		p.value *= 1 + paceUp
	default:
		p.value /= 1 + paceDown
	}
}
