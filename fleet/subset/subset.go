// Package subset decides how much of the capacity of a data centre's routers its callers use. Fewer
// routers with more requests each reuse their connections to targets more often, and learn faster
// how fast the targets are; more routers leave each a larger reserve.
package subset

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

// Config configures a Sizer.
type Config struct {
	// Utilisation is the fraction of their capacity that the routers in use should use.
	Utilisation float64
	// Min is the minimum capacity in use.
	Min weighting.Capacity
	// ShrinkRate is the fraction of the capacity in use that may be taken out of use in a second.
	ShrinkRate float64
}

// Sizer computes the capacity in use. It grows at once with the load and shrinks slowly, since the
// load of a second ago may return.
type Sizer struct {
	cfg Config
	// size is the present capacity; 0 before the first Update.
	size      weighting.Capacity
	updatedAt time.Time
}

// NewSizer returns a Sizer that first uses all routers.
func NewSizer(cfg Config) *Sizer { return &Sizer{cfg: cfg} }

// Update takes the capacity of the routers that are available and the part of it that is used, and
// returns the capacity to use.
func (s *Sizer) Update(now time.Time, available, used weighting.Capacity) weighting.Capacity {
	wanted := max(weighting.Capacity(math.Ceil(float64(used)/s.cfg.Utilisation)), s.cfg.Min)
	if s.updatedAt.IsZero() {
		s.size = available
	} else {
		least := s.size * weighting.Capacity(1-s.cfg.ShrinkRate*now.Sub(s.updatedAt).Seconds())
		s.size = max(wanted, least)
	}
	s.size = min(s.size, available)
	s.updatedAt = now
	return s.size
}
