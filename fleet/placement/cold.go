package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ColdLimits limits the requests a second that all routers together send to a cold target:
// the ColdRate of its service times Overshoot, plus Slack.
type ColdLimits struct {
	Overshoot float64
	Slack     float64
}

const (
	// coldUsableShare is the fraction of the limit that is used. The rest is a margin for
	// requests that take unequal times to reach the target, and for routers whose lists of
	// routers differ.
	coldUsableShare = 0.75
	// coldWindow is the sliding window in which requests to a cold target are counted. It is
	// longer than the second that the limit refers to, since requests sent over a longer time
	// may arrive within a second.
	coldWindow = 1150 * time.Millisecond
)

// isCold reports whether a target can take only a reduced load: because it announced so, its
// data centre has just returned to service, or it may have restarted.
func (r *Router) isCold(t *target) bool {
	service := r.config.Service(t.entry.Service)
	return service != nil && service.ColdRate > 0 && (t.maybeRestarted || r.isWarmingUp(t))
}

// isWarmingUp reports whether a target announced that it is cold, or its data centre has just
// returned to service.
func (r *Router) isWarmingUp(t *target) bool {
	service := r.config.Service(t.entry.Service)
	if service == nil || service.ColdRate == 0 {
		return false
	}
	if r.now.Before(t.entry.ColdUntil) {
		return true
	}
	returned, ok := r.returnedAt[t.entry.DataCentre]
	return ok && r.now.Before(returned.Add(service.ColdFor))
}

// hasColdQuota reports whether this router may send another request to a cold target.
func (r *Router) hasColdQuota(t *target) bool {
	since := r.now.Add(-coldWindow)
	t.coldSends = slices.DeleteFunc(t.coldSends, func(at time.Time) bool { return at.Before(since) })
	return len(t.coldSends) < r.coldQuota(t)
}

// coldQuota returns the number of requests that this router may send to a cold target within
// coldWindow: the limit divided by the number of routers. The remainder of the division goes
// to the first routers in the target's rendezvous order.
func (r *Router) coldQuota(t *target) int {
	service := r.config.Service(t.entry.Service)
	whole := int(coldUsableShare * (service.ColdRate*r.cfg.Cold.Overshoot + r.cfg.Cold.Slack))
	n := r.peers.count()
	part := whole / n
	if r.routerRank(t.id) < whole%n {
		part++
	}
	return part
}

// routerRank returns this router's position, from 0, in a target's rendezvous order of routers.
func (r *Router) routerRank(id fleet.TargetID) int {
	own := routerWeight(r.cfg.Self, id)
	place := 0
	for _, other := range r.peers.all {
		if other != r.cfg.Self && routerWeight(other, id) > own {
			place++
		}
	}
	return place
}

func routerWeight(router fleet.HostID, id fleet.TargetID) uint64 {
	return rendezvousWeight(PartID(hashOf(string(router))), id)
}
