// Package partrate measures at which rate the whole fleet gets work for each shared part of a
// prompt, and tells which parts are too much for a few targets.
package partrate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// window is the time constant of the moving averages.
	window = 2 * time.Second
	// retention is how long the rate of a part is kept after its last request.
	retention = 10 * time.Second
	// maxParts bounds the parts that are tracked.
	maxParts = 65536
)

// Rates holds the rate of each part, in tokens a second.
type Rates struct {
	parts map[fleet.PartID]*rate
}

// rate is an exponentially weighted moving average, as of time at.
type rate struct {
	perSecond float64
	at        time.Time
}

// New returns Rates without any part.
func New() *Rates { return &Rates{parts: map[fleet.PartID]*rate{}} }

// Add counts the work of requests for a part.
func (r *Rates) Add(now time.Time, w fleet.PartWork) {
	p := r.parts[w.Part]
	if p == nil {
		if len(r.parts) >= maxParts {
			return
		}
		p = &rate{at: now}
		r.parts[w.Part] = p
	}
	p.perSecond = p.asOf(now) + float64(w.Tokens)/window.Seconds()
	p.at = now
}

func (p *rate) asOf(now time.Time) float64 {
	return p.perSecond * math.Exp(-float64(now.Sub(p.at))/float64(window))
}

// Hot returns the parts with a rate of at least min, ordered by their IDs, and drops those
// without recent requests.
func (r *Rates) Hot(now time.Time, minRate float64) []fleet.HotPart {
	var out []fleet.HotPart
	for id, p := range r.parts {
		if now.Sub(p.at) > retention {
			delete(r.parts, id)
			continue
		}
		if perSecond := p.asOf(now); perSecond >= minRate {
			out = append(out, fleet.HotPart{Part: id, TokensPerSecond: math.Round(perSecond)})
		}
	}
	slices.SortFunc(out, func(a, b fleet.HotPart) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
