// Package shedding moves callers away from an overloaded router. The router computes which
// fraction of its callers should use other routers. The control hosts, from which callers
// get their lists of routers, omit it from the lists for that fraction. Callers are selected
// by hash, so that the same ones are moved each time.
package shedding

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config configures a Shedder.
type Config struct {
	// Threshold is the load, as a fraction of the router's capacity, above which the router
	// sheds more callers and below which it takes callers back.
	Threshold float64
	// ShedRate is the growth of the shed fraction in a second, per unit of load above
	// Threshold; ReturnRate is its decrease per unit of load below. Both have to be low
	// because callers take seconds to move. ReturnRate has to be the lower one, since callers
	// that return leave routers that can serve them.
	ShedRate, ReturnRate float64
	// MaxShed is the maximum of the shed fraction.
	MaxShed float64
}

// Shedder computes the fraction of callers that one router sheds.
type Shedder struct {
	cfg Config
	// shed is the fraction of callers to shed, 0 to 1.
	shed      float64
	updatedAt time.Time
}

// New returns a Shedder that sheds no callers.
func New(cfg Config) *Shedder { return &Shedder{cfg: cfg} }

// Update takes the load since the last Update, as a fraction of the router's capacity, and
// returns the fraction of its callers that should use other routers, from 0 to MaxShed.
func (s *Shedder) Update(now time.Time, load float64) float64 {
	if !s.updatedAt.IsZero() {
		rate := s.cfg.ShedRate
		if load < s.cfg.Threshold {
			rate = s.cfg.ReturnRate
		}
		s.shed += (load - s.cfg.Threshold) * rate * now.Sub(s.updatedAt).Seconds()
		s.shed = min(max(s.shed, 0), s.cfg.MaxShed)
	}
	s.updatedAt = now
	return s.shed
}

// Sheds reports whether a router that sheds the fraction away of its callers sheds this
// caller. router and caller are any strings that identify them permanently.
func Sheds(away float64, router, caller string) bool {
	if away <= 0 {
		return false
	}
	const steps = 1 << 16
	return float64(xxhash.Sum64String(router+" "+caller)%steps) < away*steps
}
