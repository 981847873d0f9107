package placement

import "time"

// Policy holds the weights of the placement.
type Policy struct {
	// Owners is the number of targets among which the requests of one shared part are
	// spread. More of them balance better and read the part more often.
	Owners int
	// OwnerBias is the cost of the next owner, as a share of the time to read the shared
	// part: while loads are alike, a part stays at its first owner.
	OwnerBias float64
	// AdmitGoalShare is the share of a route's goal that a request may be expected to wait.
	// One that would wait longer is refused at once: it would be late, and make others late.
	AdmitGoalShare float64
	// LongPromptGoalShare is the share of a route's goal up to which a request may wait whose
	// own prompt is so long that its answer is late anyhow.
	LongPromptGoalShare float64
	// HotPartShare is the share of one target's capacity that a shared part may take before
	// it gets another owner.
	HotPartShare float64
	// NoTargetRetryDelay is when a caller may come back for which there was no target.
	NoTargetRetryDelay time.Duration
	// DeclinedRetryDelay is when a caller may come back whose target was full.
	DeclinedRetryDelay time.Duration
}

// DefaultPolicy is the policy whose trials are in docs/design/platform.md.
var DefaultPolicy = Policy{
	// Three owners served no better and read more.
	Owners: 2,
	// Trials with 0.15 to 3 were alike from 0.8 on, and worse below.
	OwnerBias: 2,
	// A quarter of the goal is left for what the expectation leaves out.
	AdmitGoalShare: 0.75,
	// One request of usual length before a long one.
	LongPromptGoalShare: 0.25,
	// Half of a target is left for the other parts that it owns.
	HotPartShare: 0.5,
	// Routers hear of a new target within a second.
	NoTargetRetryDelay: 500 * time.Millisecond,
	// Several plain requests end in this time.
	DeclinedRetryDelay: 300 * time.Millisecond,
}

const (
	// maxSends bounds the attempts of a call, those included that reach nobody.
	maxSends = 4
	// slowPlain is the time without an answer from which a plain service's target counts as
	// slow: its requests take tens of milliseconds.
	slowPlain = time.Second
	// minRepeatTime is the time that must be left for another attempt: a new connection
	// and the shortest answers take about as long.
	minRepeatTime = 50 * time.Millisecond
	// minHotOwners and hotOwnersPart bound the owners of a part that is asked for a lot:
	// one in hotOwnersPart of the targets, but at least minHotOwners. A third of one kind
	// of requests about one part asks for about that much of the deployments' engines.
	minHotOwners  = 4
	hotOwnersPart = 6
	// maxIdle bounds the unused connections to one target.
	maxIdle = 32
	// maxCrashes is how many targets a request may take down before it is refused.
	maxCrashes = 3
	// quarantineRetry is when a request may come back that took targets down.
	quarantineRetry = 30 * time.Second
	// defaultReadRate is the number of prompt tokens that an engine reads in a second,
	// until the configuration or answers tell better.
	defaultReadRate = 30_000.0
	// firstByteTime is the time to the first byte of a request that waits for nothing
	// and reads nothing.
	firstByteTime = 30 * time.Millisecond
)
