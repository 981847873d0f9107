package placement

import (
	"math"
	"time"
)

const (
	// keyRateWindow is the time constant of the moving average of a shared part's rate.
	keyRateWindow = 2 * time.Second
	// keyRateRetention is how long the rate of a part is kept after its last request.
	keyRateRetention = 10 * time.Second
)

// keyRates holds, for each shared part, the rate of the requests for it, in tokens a second.
type keyRates map[PartID]*keyRate

// keyRate is an exponentially weighted moving average, as of time at.
type keyRate struct {
	perSecond float64
	at        time.Time
}

// add counts the tokens of one request and returns the part's new rate.
func (k keyRates) add(now time.Time, key PartID, tokens float64) float64 {
	rate := k[key]
	if rate == nil {
		rate = &keyRate{at: now}
		k[key] = rate
	}
	rate.perSecond *= math.Exp(-float64(now.Sub(rate.at)) / float64(keyRateWindow))
	rate.perSecond += tokens / keyRateWindow.Seconds()
	rate.at = now
	return rate.perSecond
}

// expire removes the rates of parts without requests for keyRateRetention.
func (k keyRates) expire(now time.Time) {
	for key, rate := range k {
		if now.Sub(rate.at) > keyRateRetention {
			delete(k, key)
		}
	}
}
