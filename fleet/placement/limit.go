package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/ratelimit"
)

// limitShareValidity is how long a router uses the share that a leader gave it. Afterwards all
// routers have the same share. It covers the change of leaders: routers that change their shares at
// different times send more than the limit together.
const limitShareValidity = 30 * time.Second

// rateLimit is the newest limit that a target stated to any router.
type rateLimit struct {
	// stated is 0 if the target stated that it has no limit.
	stated   fleet.RequestRate
	statedAt time.Time
	// isNews is true if this router got the response and has not reported it.
	isNews bool
	// sends has the times of this router's requests within ratelimit.Window while there was a
	// limit.
	sends []time.Time
}

// rate returns the limit that holds now, in requests a second, or 0 if there is none.
func (l *rateLimit) rate(now time.Time) fleet.RequestRate {
	return ratelimit.Relaxed(l.stated, now.Sub(l.statedAt))
}

// set replaces the limit unless the present one is as new.
func (l *rateLimit) set(stated fleet.RequestRate, at time.Time) {
	if at.After(l.statedAt) {
		l.stated, l.statedAt = stated, at
	}
}

// addSend counts a request to the target if it has a limit.
func (l *rateLimit) addSend(now time.Time) {
	if l.rate(now) > 0 {
		l.sends = append(l.sends, now)
	}
}

// used returns the number of requests within the window.
func (l *rateLimit) used(now time.Time) int {
	since := now.Add(-ratelimit.Window)
	l.sends = slices.DeleteFunc(l.sends, func(at time.Time) bool { return !at.After(since) })
	return len(l.sends)
}

// limitShare is the router's share in the limits of all targets.
type limitShare struct {
	fleet.Share
	receivedAt time.Time
}

// limitStated records the limit in a response of a target, or that it states none.
func (r *Router) limitStated(t *target, limit fleet.RequestRate) {
	if limit == 0 && t.limit.rate(r.now) == 0 {
		return
	}
	t.limit.set(limit, r.now)
	t.limit.isNews = true
}

// statedLimits returns what targets stated to this router since the last report.
func (r *Router) statedLimits() []fleet.StatedLimit {
	var out []fleet.StatedLimit
	for _, t := range r.targets {
		if t.limit.isNews {
			t.limit.isNews = false
			out = append(out, fleet.StatedLimit{Target: t.id, Incarnation: t.incarnation, Limit: t.limit.stated, Age: r.now.Sub(t.limit.statedAt)})
		}
	}
	return out
}

// applyLimits takes over the limits that targets stated to other routers, and the router's share.
func (r *Router) applyLimits(d *DigestReceived) {
	for _, l := range d.Limits {
		if t := r.targets[l.Target]; t != nil && t.incarnation == l.Incarnation {
			t.limit.set(l.Limit, r.now.Add(-l.Age))
		}
	}
	if d.LimitShare != (fleet.Share{}) {
		r.limits = limitShare{Share: d.LimitShare, receivedAt: r.now}
	}
}

// shareOfLimits returns the router's share in the limits of all targets: that of the leader while
// it is new, or else an equal one.
func (r *Router) shareOfLimits() fleet.Share {
	if r.now.Sub(r.limits.receivedAt) < limitShareValidity {
		return r.limits.Share
	}
	i := r.peers.index(r.cfg.Self)
	if i < 0 {
		return fleet.EqualShare(0, r.peers.count())
	}
	return fleet.EqualShare(i, r.peers.count())
}

// limitQuotaLeft returns the number of requests that this router may send to a limited target
// now, or 0 if the target has no limit.
func (r *Router) limitQuotaLeft(t *target) int {
	limit := t.limit.rate(r.now)
	if limit == 0 {
		return 0
	}
	return max(0, ratelimit.Quota(t.id, limit, r.shareOfLimits())-t.limit.used(r.now))
}

// hasLimitQuota reports whether a target has no limit, or this router may send it a request.
func (r *Router) hasLimitQuota(t *target) bool {
	return t.limit.rate(r.now) == 0 || r.limitQuotaLeft(t) > 0
}

// limitQuotaAt returns when this router may send a request to a limited target whose quota is used
// up. A router without a quota may have one after the next division.
func (r *Router) limitQuotaAt(t *target) time.Time {
	if len(t.limit.sends) == 0 {
		return r.now.Add(maxRetryDelay)
	}
	return t.limit.sends[0].Add(ratelimit.Window)
}
