// Package shedding spreads the callers of a router that gets more of them than it bears.
// The router finds which part of its callers has to go elsewhere, and those who name
// routers to callers leave it out for that part, the same callers each time.
package shedding

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config configures a Shedder.
type Config struct {
	// Threshold is the load, as a part of what the router bears, above which it sends callers
	// away, and below which it takes them back.
	Threshold float64
	// ShedRate is by how much the part sent away grows in a second, for a load that exceeds
	// Full by what the router bears; ReturnRate by how much it shrinks. Callers follow within
	// seconds, so both have to be slow, and ReturnRate slower: those who come back leave
	// routers that bear them.
	ShedRate, ReturnRate float64
	// MaxShed bounds the part that is sent away.
	MaxShed float64
}

// Shedder follows the load of one router.
type Shedder struct {
	cfg       Config
	shed      float64
	updatedAt time.Time
}

// New makes a Shedder that sends nobody away.
func New(cfg Config) *Shedder { return &Shedder{cfg: cfg} }

// Update takes the load of the time since the last Update, and returns the part of the
// callers that should use other routers, from 0 to Most.
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

// Sheds says whether a router that sends a part of its callers away is to be left out of
// the answer to one caller. Both are named by any text that stays the same.
func Sheds(away float64, router, caller string) bool {
	if away <= 0 {
		return false
	}
	const steps = 1 << 16
	return float64(xxhash.Sum64String(router+" "+caller)%steps) < away*steps
}
