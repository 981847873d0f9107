package placement

import "time"

// Policy holds the tuning parameters of the placement.
type Policy struct {
	// Owners is the number of targets over which the requests for one shared prompt part are
	// spread. More owners balance the load better but process the part more often.
	Owners int
	// OwnerBias is the cost of using the next owner, as a multiple of the time that a target
	// takes to process the shared part. It keeps a part at its first owner while the owners'
	// loads are similar.
	OwnerBias float64
	// AdmitGoalShare is the fraction of a route's latency goal that the expected time to the
	// first byte may take. A request over it is refused at once: it would be late and delay
	// others.
	AdmitGoalShare float64
	// LongPromptGoalShare is the fraction of a route's latency goal that the queue delay may
	// take for a request that exceeds AdmitGoalShare because of its own long prompt.
	LongPromptGoalShare float64
	// HotPartShare is the fraction of one target's capacity that the requests for a shared
	// part may take before the part gets another owner.
	HotPartShare float64
	// NoTargetRetryDelay is the Retry-After of a call for which no target was available.
	NoTargetRetryDelay time.Duration
	// DeclinedRetryDelay is the Retry-After of a call that failed at its last target, for
	// example because the target was full.
	DeclinedRetryDelay time.Duration
	// CopyParts enables the transfer of cached parts between the targets of services whose
	// engines support it.
	CopyParts bool
	// TargetPace enables the use of the pace of each target that all routers measured, for services
	// with an engine.
	TargetPace bool
}

// DefaultPolicy is the policy for production; docs/design/platform.md explains its values.
var DefaultPolicy = Policy{
	// A third owner costs more prefill without serving more requests in time.
	Owners: 2,
	// Values from 0.8 to 3 perform alike; those from 0.15 to 0.8 perform worse.
	OwnerBias: 2,
	// The other quarter is a margin for the error of the estimate.
	AdmitGoalShare: 0.75,
	// A long request may queue behind one request of usual length.
	LongPromptGoalShare: 0.25,
	// The other half is for the other parts that the target owns.
	HotPartShare: 0.5,
	// A new target is announced to all routers within a second.
	NoTargetRetryDelay: 500 * time.Millisecond,
	// Several requests of a plain service end in this time.
	DeclinedRetryDelay: 300 * time.Millisecond,
	CopyParts:          true,
	TargetPace:         true,
}

const (
	// maxSends is the maximum number of times that a call is sent, including sends that
	// reach no target.
	maxSends = 4
	// plainLoadValidity is the age from which on the load that others reported of a target of a
	// plain service is not used: requests there take tens of milliseconds.
	plainLoadValidity = 60 * time.Millisecond
	// slowPlainAfter is the time without an answer after which a target of a plain service
	// counts as slow. Plain requests take tens of milliseconds.
	slowPlainAfter = time.Second
	// minRetryTime is the time that must be left for a retry. A new connection and the
	// shortest answers take about as long.
	minRetryTime = 50 * time.Millisecond
	// hotOwnersDivisor limits the owners of a hot part to this part of the targets.
	hotOwnersDivisor = 2
	// maxIdleConnections is the maximum number of idle connections to one target.
	maxIdleConnections = 32
	// maxCrashes is the number of targets crashed by a request from which on it is refused.
	maxCrashes = 3
	// quarantineRetryDelay is the Retry-After of a request that crashed targets.
	quarantineRetryDelay = 30 * time.Second
	// defaultPrefillRate is the number of prompt tokens that an engine is assumed to process
	// in a second if the configuration gives no capacity.
	defaultPrefillRate = 30_000.0
	// baseFirstByteTime is the time to the first byte of a request without queue delay and
	// prefill.
	baseFirstByteTime = 30 * time.Millisecond
)
