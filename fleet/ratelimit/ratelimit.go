// Package ratelimit divides the request rates that targets state as their limits among the
// routers, without a message for each request.
//
// The leader gives each router an interval of the range from 0 to 1, in proportion to the
// requests that the router gets. The intervals of all routers cover the range once, so that the
// quotas which the routers compute from them add up to the limit, also where it is smaller than
// one request for each router.
package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// Window is the sliding window in which a router counts its requests to a limited target.
	Window = 4 * time.Second
	// Retention is how long a limit is kept after the target last stated it.
	Retention = time.Minute
	// relaxInterval is the time without a statement after which a limit doubles.
	relaxInterval = 10 * time.Second
)

// Relaxed returns the limit that holds at a time after the target stated it; 0 means none. The
// target states it again in each response. If it gives none, the routers that have a quota get no
// requests for it; a higher limit gives quotas to others, and the next response tells which limit
// the target has.
func Relaxed(stated fleet.RequestRate, age time.Duration) fleet.RequestRate {
	if age >= Retention {
		return 0
	}
	return stated * fleet.RequestRate(math.Exp2(math.Floor(max(0, age.Seconds())/relaxInterval.Seconds())))
}

// Quota returns the number of requests that the router with the given share may send to a target
// within Window. The quotas of all routers add up to the target's limit for Window, rounded down,
// but at least 1.
func Quota(id fleet.TargetID, limit fleet.RequestRate, share fleet.Share) int {
	whole := max(1, math.Floor(float64(limit)*Window.Seconds()))
	// The offset differs between targets, so that a router whose share is below one request gets
	// one of some targets.
	offset := float64(xxhash.Sum64String(string(id))) / (1 << 64)
	return int(math.Ceil(whole*share.To-offset) - math.Ceil(whole*share.From-offset))
}
