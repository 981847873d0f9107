package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ColdLimits bounds the requests a second to a cold target over all routers: the rate of
// its service times Overshoot, plus Slack.
type ColdLimits struct {
	Overshoot float64
	Slack     float64
}

const (
	// coldMargin is the part of the bound that is used. The rest covers requests that
	// are under way longer than others, and routers that disagree on who there is.
	coldMargin = 0.75
	// coldSpan is the span in which requests to a cold target are counted. It is longer
	// than the second of the bound, since arrivals may bunch up.
	coldSpan = 1150 * time.Millisecond
)

// isCold says whether a target bears only a little: by its own word, because its data
// centre has just returned, or because it may have started again.
func (r *Router) isCold(t *target) bool {
	service := r.config.Service(t.entry.Service)
	if service == nil || service.ColdRate == 0 {
		return false
	}
	if r.now.Before(t.entry.ColdUntil) || t.doubted {
		return true
	}
	returned, ok := r.returned[t.entry.DataCentre]
	return ok && r.now.Before(returned.Add(service.ColdFor))
}

// hasColdRoom says whether this router's part of what a cold target bears is left.
func (r *Router) hasColdRoom(t *target) bool {
	since := r.now.Add(-coldSpan)
	t.coldSends = slices.DeleteFunc(t.coldSends, func(at time.Time) bool { return at.Before(since) })
	return len(t.coldSends) < r.coldPart(t)
}

// coldPart divides what a cold target bears among the routers. What can't be divided
// evenly goes to the routers that come first in the order of the target.
func (r *Router) coldPart(t *target) int {
	service := r.config.Service(t.entry.Service)
	whole := int(coldMargin * (service.ColdRate*r.cfg.Cold.Overshoot + r.cfg.Cold.Slack))
	n := max(1, len(r.routers))
	part := whole / n
	if r.placeAmongRouters(t.id) < whole%n {
		part++
	}
	return part
}

// placeAmongRouters returns this router's place in the order of the routers for a target.
func (r *Router) placeAmongRouters(id fleet.TargetID) int {
	own := routerWeight(r.cfg.Self, id)
	place := 0
	for _, other := range r.routers {
		if other != r.cfg.Self && routerWeight(other, id) > own {
			place++
		}
	}
	return place
}

func routerWeight(router fleet.HostID, id fleet.TargetID) uint64 {
	return weight(PartID(hashOf(string(router))), id)
}
