package dispatch

import "github.com/fuchsiashed/fuchsiashed/fleet"

// smoothingFactor is the weight of the newest sample in a mean.
const smoothingFactor = 1.0 / 8

// mean is an exponential moving average; known is false before the first sample.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(x float64) {
	if !m.known {
		m.value, m.known = x, true
		return
	}
	m.value += (x - m.value) * smoothingFactor
}

// estimator predicts the cost of a customer's next request from the earlier ones.
type estimator struct {
	// cost is the mean cost of requests; ratio is the mean of cost divided by hint.
	cost  mean
	ratio mean
}

// estimate returns the predicted cost, from 1 to most. fallback is the mean over all
// customers, for a customer without completed requests.
func (e *estimator) estimate(hint, most fleet.Cost, fallback mean) fleet.Cost {
	guess := float64(most) / 2
	switch {
	case hint > 0 && e.ratio.known:
		guess = float64(hint) * e.ratio.value
	case hint > 0:
		guess = float64(hint)
	case e.cost.known:
		guess = e.cost.value
	case fallback.known:
		guess = fallback.value
	}
	return min(max(fleet.Cost(guess), 1), most)
}

// observe records the cost of a completed request; hint is 0 if it had none.
func (e *estimator) observe(hint, cost fleet.Cost) {
	e.cost.add(float64(cost))
	if hint > 0 {
		e.ratio.add(float64(cost) / float64(hint))
	}
}
