// Package placement decides, at one router, to which target a request is sent, which
// requests are refused, and which are retried.
//
// Each router decides by itself. Routers reach consistent decisions because they have the
// same targets, use the same hash and receive the load that the other routers report. Limits
// on the whole fleet, which are those on requests to cold targets and on retries, are
// divided among the routers in advance.
package placement

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// CallID identifies a request within this router.
type CallID uint64

// PartID identifies a part of a prompt.
type PartID = fleet.PartID

// PromptPart is a part of a prompt that targets may hold in their prefix caches.
type PromptPart struct {
	ID PartID
	// Tokens is the length of the part.
	Tokens int
}

// Prompt describes the prompt of a request to a model engine. It is zero for other requests.
type Prompt struct {
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// Hint is the caller's estimate of the number of tokens to generate; 0 means none.
	Hint int
	// Parts lists the parts in order. The last one is specific to the request or its session,
	// those before it are shared with other requests.
	Parts []PromptPart
}

// Call is a request with the attributes that its placement depends on.
type Call struct {
	ID       CallID
	Request  fleet.RequestID
	Route    *deployment.Route
	Customer fleet.CustomerName
	// Content is equal for requests that differ only in their IDs.
	Content fleet.ContentHash
	Prompt  Prompt
	// Resuming is true if the call asks for the rest of a stream that has begun before.
	Resuming bool
	// Resumes is the request that received the first event of the stream that the call
	// resumes; empty for other calls, and if the caller does not say.
	Resumes fleet.RequestID
	// Origin is that of the stream which the call resumes; nil if it is unknown.
	Origin    *fleet.StreamOrigin
	ArrivedAt time.Time
	// Deadline is when the time-out of the caller or the route ends.
	Deadline time.Time
}

// ConfigChanged replaces the configuration.
type ConfigChanged struct {
	Config *deployment.Configuration
}

// EventName implements fleet.Event.
func (ConfigChanged) EventName() string { return "Configured" }

// DataCentresOutChanged replaces the list of data centres that are out of service.
type DataCentresOutChanged struct {
	Out []fleet.DataCentreName
}

// EventName implements fleet.Event.
func (DataCentresOutChanged) EventName() string { return "OutChanged" }

// TargetsNoticeReceived passes on announcements of targets.
type TargetsNoticeReceived struct {
	fleet.TargetsNotice
}

// EventName implements fleet.Event.
func (TargetsNoticeReceived) EventName() string { return "TargetsHeard" }

// PeersChanged replaces the list of routers, which includes this one. Listening reports
// whether announcements of targets reach this router.
type PeersChanged struct {
	Routers   []fleet.HostID
	Listening bool
}

// EventName implements fleet.Event.
func (PeersChanged) EventName() string { return "PeersChanged" }

// DigestReceived passes on the load that all routers reported, with the report of this router
// that is part of it.
type DigestReceived struct {
	fleet.LoadDigest
	fleet.ReportIncluded
}

// EventName implements fleet.Event.
func (DigestReceived) EventName() string { return "DigestHeard" }

// Tick is sent periodically, so that outdated state is dropped.
type Tick struct{}

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }

// ReportDue requests a Report effect.
type ReportDue struct{}

// EventName implements fleet.Event.
func (ReportDue) EventName() string { return "ReportDue" }

// CallArrived reports a new request of a caller.
type CallArrived struct {
	Call Call
}

// EventName implements fleet.Event.
func (CallArrived) EventName() string { return "Asked" }

// ResponseReceived reports what the header of a target's response states about the target.
type ResponseReceived struct {
	Target      fleet.TargetID
	Incarnation fleet.Incarnation
	// Limit is the number of requests a second that the target takes from all routers together;
	// 0 if it states none.
	Limit fleet.RequestRate
	// LimitUnknown is true if the limit that the response states is not valid.
	LimitUnknown bool
	// Leaving is true if the target states that it takes no new requests.
	Leaving bool
	// RetryAfter is how long the target, which declined the request, wants no more from this
	// router; 0 if it does not say.
	RetryAfter time.Duration
}

// EventName implements fleet.Event.
func (ResponseReceived) EventName() string { return "ResponseReceived" }

// SendDue reports that an attempt is about to be written to its target. The effect is a Withdraw if
// the target would not be chosen any more, or a DropSource if only the source of its cached part
// would not: at a router short of processor time, seconds may have passed since.
type SendDue struct {
	Call CallID
	// Attempt is as in Send.
	Attempt int
}

// EventName implements fleet.Event.
func (SendDue) EventName() string { return "SendDue" }

// AnswerBegun reports that the answer to an attempt has begun.
type AnswerBegun struct {
	Call CallID
	// Attempt is as in Send.
	Attempt int
	// Stream is true if the answer is a stream whose first event has arrived.
	Stream bool
	// Failed is true if the answer is an error.
	Failed bool
}

// EventName implements fleet.Event.
func (AnswerBegun) EventName() string { return "Begun" }

// AnswerProbation is the time after the beginning of an answer in which a crash of the target
// may still be due to the request: a target may crash while it writes the first events.
const AnswerProbation = 500 * time.Millisecond

// AnswerSustained reports that a part of the answer to an attempt has arrived later than
// AnswerProbation after its beginning.
type AnswerSustained struct {
	Call CallID
	// Attempt is as in Send.
	Attempt int
}

// EventName implements fleet.Event.
func (AnswerSustained) EventName() string { return "AnswerSustained" }

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Call CallID
	// Attempt is as in Send.
	Attempt int
	Outcome Outcome
}

// EventName implements fleet.Event.
func (AttemptEnded) EventName() string { return "Ended" }

// Outcome is the way in which an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	// Answered means that the whole answer was received.
	Answered Outcome = "Answered"
	// Unreached means that no byte of the request left this router.
	Unreached Outcome = "Unreached"
	// Withdrawn means that the attempt was not written because of a Withdraw effect.
	Withdrawn Outcome = "Withdrawn"
	// Declined means that the target refused the request and did not run it.
	Declined Outcome = "Declined"
	// Misdirected means that another target at the address refused the request.
	Misdirected Outcome = "Misdirected"
	// VersionRefused means that the target refused the request, which names the version of the
	// weights that it expects. It says nothing about the target.
	VersionRefused Outcome = "VersionRefused"
	// Broken means that the attempt failed and may have run. Another attempt can still start
	// or resume the answer.
	Broken Outcome = "Broken"
	// FailedAnswer means that the target ran the request and answered with an error, which
	// was not passed on to the caller.
	FailedAnswer Outcome = "FailedAnswer"
	// Truncated means that the answer broke off after a part of it was passed on, and cannot
	// be resumed.
	Truncated Outcome = "Cut"
	// CallerGone means that the caller disconnected.
	CallerGone Outcome = "CallerGone"
	// Expired means that the deadline passed.
	Expired Outcome = "Expired"
	// Superseded means that the attempt was ended because another one of the call was answered first.
	Superseded Outcome = "Superseded"
)

// NotRun reports whether an attempt with this outcome certainly did not run.
func (o Outcome) NotRun() bool {
	return o == Unreached || o == Withdrawn || o == Declined || o == Misdirected || o == VersionRefused
}

// Send is the effect of sending a call to a target.
type Send struct {
	Call CallID
	// Attempt counts the sends of the call from 1.
	Attempt     int
	Target      fleet.TargetID
	Incarnation fleet.Incarnation
	// SoftwareVersion is that which the target announced.
	SoftwareVersion fleet.SoftwareVersion
	Address         netip.AddrPort
	// CopyFrom is the address of a target from which this one may fetch the prompt's shared part;
	// zero for none.
	CopyFrom netip.AddrPort
	// MaxIdle is the maximum number of idle connections to keep to the target.
	MaxIdle int
	// ExtraAfter is the time from the write on after which the forwarder sends ExtraDue if no answer
	// has begun; 0 if the attempt is not hedged.
	ExtraAfter time.Duration
	// Basis is logged.
	Basis Basis
}

// EffectName implements fleet.Effect.
func (Send) EffectName() string { return "Send" }

// Withdraw is the effect of not writing an attempt. Its outcome is Withdrawn.
type Withdraw struct {
	Call    CallID
	Attempt int
}

// EffectName implements fleet.Effect.
func (Withdraw) EffectName() string { return "Withdraw" }

// DropSource is the effect of writing an attempt without the source that its Send named.
type DropSource struct {
	Call    CallID
	Attempt int
}

// EffectName implements fleet.Effect.
func (DropSource) EffectName() string { return "DropSource" }

// Basis is the data that a placement was based on. The state that it describes is the one
// before the request was sent.
type Basis struct {
	// Rank is the target's position in the rendezvous order of the prompt's shared part,
	// from 0, or its position among the candidates if the call has no prompt, its route no
	// affinity, or its customer is light and the owners would answer late.
	Rank int
	// Candidates is the number of targets to choose from.
	Candidates int
	// ExpectedFirstByte is the expected time to the first byte of the answer.
	ExpectedFirstByte time.Duration
	// QueueDelay is the part of ExpectedFirstByte that is due to other requests.
	QueueDelay time.Duration
	// QueuedTokens is the number of prompt tokens of other requests that the target has
	// still to process.
	QueuedTokens int
	// PrefillTokens is the number of the request's prompt tokens that are not expected to
	// be in the target's prefix cache.
	PrefillTokens int
	// CopySource is the target that Send.CopyFrom belongs to; empty for none, for the reason
	// NoSource, which is empty if the service's targets do not fetch parts from each other.
	CopySource fleet.TargetID
	NoSource   NoSource
	// CopiedTokens is the number of the request's prompt tokens that the target is expected to
	// fetch from the source.
	CopiedTokens int
	// Running is the number of requests at the target.
	Running int
	// Slowness is the learnt time to the first byte as a multiple of the rated one; 0 if it was
	// not used.
	Slowness float64
	// Pace is as in fleet.TargetPace, PaceAge is the age of the newest answer that it rests on.
	// Both are 0 if the fleet's pace is unknown or normal.
	Pace    float64
	PaceAge time.Duration
	// DigestAge is the age of the load that the other routers reported.
	DigestAge time.Duration
	// TargetsAge is the time since the state of the targets was last received.
	TargetsAge time.Duration
	// Limit is the limit that the target stated, LimitQuota the number of requests that this
	// router may still send it in the present window. Both are 0 if it stated none.
	Limit      fleet.RequestRate
	LimitQuota int
	// Rollout is what the roll-out of the service decides.
	Rollout RolloutBasis
	// Hedge is set if the attempt is sent beside a slow one.
	Hedge HedgeBasis
}

// Refuse is the effect of refusing a call that was not sent to any target.
type Refuse struct {
	Call   CallID
	Reason fleet.Reason
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
	// Basis describes the best target, for the log.
	Basis Basis
	// Share is the fraction of the customer's demand that is admitted. It is set only if
	// Reason is fleet.ReasonCustomerShare.
	Share float64
}

// EffectName implements fleet.Effect.
func (Refuse) EffectName() string { return "Refuse" }

// GiveUp is the effect of failing a call with the outcome of its last attempt.
type GiveUp struct {
	Call   CallID
	Reason fleet.Reason
	// NotRun is true if certainly no target ran the call.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}

// EffectName implements fleet.Effect.
func (GiveUp) EffectName() string { return "GiveUp" }

// StreamBegun is the effect of making the origin of a stream known to all routers.
type StreamBegun struct {
	fleet.StreamOrigin
}

// EffectName implements fleet.Effect.
func (StreamBegun) EffectName() string { return "StreamBegun" }

// Report is the effect of sending a load report to the control host that collects loads.
type Report struct {
	fleet.RouterLoad
}

// EffectName implements fleet.Effect.
func (Report) EffectName() string { return "Report" }
