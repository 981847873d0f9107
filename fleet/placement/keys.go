package placement

import (
	"math"
	"time"
)

const (
	// keySpan is the span over which the rate of a shared part is averaged.
	keySpan = 2 * time.Second
	// keyForgottenAfter is how long the rate of a part is remembered that nobody asks for.
	keyForgottenAfter = 10 * time.Second
)

// keyRates holds the rates at which shared parts are asked for, in tokens a second.
type keyRates map[PartID]*keyRate

// keyRate is an exponentially weighted rate.
type keyRate struct {
	perSecond float64
	at        time.Time
}

// add takes the tokens of one request and returns the rate.
func (k keyRates) add(now time.Time, key PartID, tokens float64) float64 {
	rate := k[key]
	if rate == nil {
		rate = &keyRate{at: now}
		k[key] = rate
	}
	rate.perSecond *= math.Exp(-float64(now.Sub(rate.at)) / float64(keySpan))
	rate.perSecond += tokens / keySpan.Seconds()
	rate.at = now
	return rate.perSecond
}

// forget drops the rates of parts that nobody asks for.
func (k keyRates) forget(now time.Time) {
	for key, rate := range k {
		if now.Sub(rate.at) > keyForgottenAfter {
			delete(k, key)
		}
	}
}
