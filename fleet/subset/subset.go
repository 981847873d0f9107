// Package subset decides how many routers of a data centre its callers use. Fewer routers with
// more requests each reuse their connections to targets more often, and learn faster how fast
// the targets are; more routers leave each a larger reserve.
package subset

import (
	"math"
	"time"
)

// Config configures a Sizer.
type Config struct {
	// Utilisation is the fraction of their capacity that the routers in use should use.
	Utilisation float64
	// Min is the minimum number of routers in use.
	Min int
	// ShrinkRate is the fraction of the routers in use that may be taken out of use in a second.
	ShrinkRate float64
}

// Sizer computes the number of routers in use. The number grows at once with the load and
// shrinks slowly, since the load of a second ago may return.
type Sizer struct {
	cfg Config
	// size is the present number; 0 before the first Update.
	size      float64
	updatedAt time.Time
}

// NewSizer returns a Sizer that first uses all routers.
func NewSizer(cfg Config) *Sizer { return &Sizer{cfg: cfg} }

// Update takes the number of routers that are available and the sum of their utilisations,
// each a fraction of a router's capacity, and returns the number to use.
func (s *Sizer) Update(now time.Time, available int, utilisation float64) int {
	wanted := max(math.Ceil(utilisation/s.cfg.Utilisation), float64(s.cfg.Min))
	if s.updatedAt.IsZero() {
		s.size = float64(available)
	} else {
		least := s.size * (1 - s.cfg.ShrinkRate*now.Sub(s.updatedAt).Seconds())
		s.size = max(wanted, least)
	}
	s.size = min(s.size, float64(available))
	s.updatedAt = now
	return int(math.Ceil(s.size))
}
