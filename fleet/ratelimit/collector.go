package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// callsTimeConstant is that of the moving average of a router's requests.
	callsTimeConstant = 4 * time.Second
	// routerTimeout is the time without a report after which a router has no share.
	routerTimeout = 3 * fleet.IdleReportInterval
	// idleWeight is the weight of a router without requests, as a fraction of the mean of all. Such
	// a router may get requests before its next share.
	idleWeight = 0.05
)

// Collector collects what routers report of the limits of targets and of their own requests. It
// belongs to the control host that collects loads, and is not safe for concurrent use.
type Collector struct {
	limits  map[fleet.TargetID]receivedLimit
	routers map[fleet.HostID]*callRate
	// since is the time of the first report; zero before.
	since time.Time
	// shares were computed at dividedAt.
	shares    map[fleet.HostID]fleet.Share
	dividedAt time.Time
}

// receivedLimit is the newest statement of a target.
type receivedLimit struct {
	fleet.StatedLimit
	statedAt time.Time
}

// callRate is the moving average of a router's requests a second.
type callRate struct {
	average    float64
	reportedAt time.Time
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{limits: map[fleet.TargetID]receivedLimit{}, routers: map[fleet.HostID]*callRate{}}
}

// AddReport adds the report of a router.
func (c *Collector) AddReport(now time.Time, r *fleet.RouterLoad) {
	if c.since.IsZero() {
		c.since = now
	}
	rate := c.routers[r.Host]
	if rate == nil {
		rate = &callRate{reportedAt: now}
		c.routers[r.Host] = rate
	}
	decay := math.Exp(-now.Sub(rate.reportedAt).Seconds() / callsTimeConstant.Seconds())
	rate.average = rate.average*decay + float64(r.Calls)/callsTimeConstant.Seconds()
	rate.reportedAt = now
	for _, l := range r.Limits {
		c.addLimit(now, l)
	}
}

// addLimit keeps a statement unless there is a newer one.
func (c *Collector) addLimit(now time.Time, l fleet.StatedLimit) {
	statedAt := now.Add(-l.Age)
	old, ok := c.limits[l.Target]
	if ok && (l.Incarnation < old.Incarnation || l.Incarnation == old.Incarnation && !statedAt.After(old.statedAt)) {
		return
	}
	c.limits[l.Target] = receivedLimit{StatedLimit: l, statedAt: statedAt}
}

// Limits returns the newest statements, ordered by target. Those that a target states no limit any
// more are among them, since some routers may know only an older one.
func (c *Collector) Limits(now time.Time) []fleet.StatedLimit {
	var out []fleet.StatedLimit
	for id, l := range c.limits {
		age := now.Sub(l.statedAt)
		if age >= Retention {
			delete(c.limits, id)
			continue
		}
		l.Age = age
		out = append(out, l.StatedLimit)
	}
	slices.SortFunc(out, func(a, b fleet.StatedLimit) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// Shares returns the share of each router in the limits of all targets. It returns nil while no
// target has one, and while the averages of a new leader cover too little time. Shares change only
// once in a Window, because a router that loses a part of its share may have used it within the
// Window already.
func (c *Collector) Shares(now time.Time) map[fleet.HostID]fleet.Share {
	maps.DeleteFunc(c.routers, func(_ fleet.HostID, r *callRate) bool { return now.Sub(r.reportedAt) > routerTimeout })
	if len(c.limits) == 0 || now.Sub(c.since) < callsTimeConstant {
		c.shares = nil
		return nil
	}
	if c.shares == nil || now.Sub(c.dividedAt) >= Window {
		c.shares, c.dividedAt = c.divide(), now
	}
	return c.shares
}

// divide divides the range from 0 to 1 among the routers.
func (c *Collector) divide() map[fleet.HostID]fleet.Share {
	hosts := slices.Sorted(maps.Keys(c.routers))
	total := 0.0
	for _, r := range c.routers {
		total += r.average
	}
	n := float64(len(hosts))
	// Without any requests all weights are equal.
	least := max(idleWeight*total/n, math.SmallestNonzeroFloat32)
	total += least * n
	out := make(map[fleet.HostID]fleet.Share, len(hosts))
	from := 0.0
	for i, host := range hosts {
		to := from + (c.routers[host].average+least)/total
		if i == len(hosts)-1 {
			to = 1
		}
		out[host] = fleet.Share{From: min(from, 1), To: min(to, 1)}
		from = to
	}
	return out
}
