package rollout

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Limits are the operators' limits on what a bad version may do.
type Limits struct {
	// ExposureShare is the fraction of a service's requests between the order and its time limit
	// that a bad version may get; ExposureSlack is the number of requests in addition.
	ExposureShare float64
	ExposureSlack int
	// RollbackTime is the time within which a version that has shown to be bad gets no request
	// any more.
	RollbackTime time.Duration
}

// Reported delivers what a router reports of the roll-out.
type Reported struct {
	Host fleet.HostID
	// Outcomes has the outcomes of the roll-out's service; empty if the router has none.
	Outcomes []fleet.VersionOutcomes
}

// EventName implements fleet.Event.
func (Reported) EventName() string { return "Reported" }

// Reviewed asks for a decision.
type Reviewed struct {
	// Rollout is the committed state.
	Rollout fleet.Rollout
	// Left is the time in which the roll-out should end; negative afterwards. It may be shorter
	// than Rollout.Left.
	Left time.Duration
	// NewTargets and OldTargets are the numbers of serving targets of the versions.
	NewTargets, OldTargets int
	// Alone is true if the service has had targets of no other version for some seconds. Without a share of
	// 1, all requests would be refused.
	Alone bool
	// Dropped is true if the configuration in force does not have the service.
	Dropped bool
}

// EventName implements fleet.Event.
func (Reviewed) EventName() string { return "Reviewed" }

// Changed is a change that the leader is to propose.
type Changed struct {
	State  fleet.RolloutState
	Share  float64
	Reason Reason
	Basis  Basis
}

// EffectName implements fleet.Effect.
func (Changed) EffectName() string { return "Changed" }

// Reason is why a roll-out changes.
type Reason string

// The reasons of changes.
const (
	// ReasonTrial raises the share up to that of the trial, ReasonMove raises it to 1.
	ReasonTrial Reason = "Trial"
	ReasonMove  Reason = "Move"
	// ReasonAlone raises the share to 1 because there are no other versions.
	ReasonAlone Reason = "Alone"
	// ReasonFailures and ReasonSlow revert a version that fails more often, or is slower, than
	// the old one. ReasonFailing does so at once if a large part of all answers are failures.
	ReasonFailures Reason = "Failures"
	ReasonFailing  Reason = "Failing"
	ReasonSlow     Reason = "Slow"
	// ReasonSilent reverts a version that gets requests and does not answer.
	ReasonSilent Reason = "Silent"
	// ReasonDoubt reverts at the end of the time a version that seems worse than the old one.
	ReasonDoubt Reason = "Doubt"
	// ReasonNoTargets and ReasonDropped revert at the end of the time a version without targets,
	// and a roll-out of a service that is no longer configured.
	ReasonNoTargets Reason = "NoTargets"
	ReasonDropped   Reason = "Dropped"
	// ReasonMoved completes a roll-out once the old targets have finished what they ran,
	// ReasonTimeUp at the end of the time.
	ReasonMoved  Reason = "Moved"
	ReasonTimeUp Reason = "TimeUp"
)

// Basis has the figures that a decision rests on, for the log.
type Basis struct {
	// New and Old count the answers of the versions in the leader's term.
	New, Old Tally
	// Failures and Slowness are the largest scores of the two kinds of faults, each on the
	// route named, or over all routes if that is empty.
	Failures, Slowness           float64
	FailuresRoute, SlownessRoute string
	// Age is the time since the newest report, Since that since the leader's first one.
	Age, Since time.Duration
	// Rate is the number of answers a second of both versions.
	Rate float64
	// Running is the number of requests that the old targets still run.
	Running int
	// Few is true if the new version had too few answers to tell that it is sound.
	Few bool
}

// Tally counts answers.
type Tally struct {
	Answers, Bad int
	// Level is the mean of the buckets of fleet.VersionOutcomes.Slowness, in powers of 2.
	Level float64
}
