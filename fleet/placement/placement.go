// Package placement decides, at one router, which target a request goes to, which
// requests are refused, and which are sent again.
//
// Every router decides by itself from a view that all routers share: the same targets,
// the same hash, and what the other routers report of their load. What must be counted
// over the whole fleet is divided among the routers in advance: requests to cold
// targets and second attempts.
package placement

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// CallID identifies a request at this router.
type CallID uint64

// PartID identifies a part of a prompt.
type PartID uint64

// PromptPart is a part of a prompt that targets may keep.
type PromptPart struct {
	ID     PartID
	Tokens int
}

// Prompt is what is known of a prompt before it runs.
type Prompt struct {
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput bounds the tokens that are generated.
	MaxOutput int
	// Hint is the caller's estimate of the tokens that are generated; 0 without one.
	Hint int
	// Parts lists the parts in order. The last one belongs to the request or its session,
	// those before it are shared with other requests.
	Parts []PromptPart
}

// Call is a request as far as its placement depends on it.
type Call struct {
	ID       CallID
	Request  fleet.RequestID
	Route    *deployment.Route
	Customer fleet.CustomerName
	// Content identifies requests that are the same but for their id.
	Content   fleet.ContentHash
	Prompt    Prompt
	ArrivedAt time.Time
	// Deadline is when the caller or the route gives the request up.
	Deadline time.Time
}

// ConfigChanged exchanges the configuration.
type ConfigChanged struct {
	Config *deployment.Configuration
}

// EventName implements fleet.Event.
func (ConfigChanged) EventName() string { return "Configured" }

// DataCentresOutChanged tells which data centres are out of service.
type DataCentresOutChanged struct {
	Out []fleet.DataCentreName
}

// EventName implements fleet.Event.
func (DataCentresOutChanged) EventName() string { return "OutChanged" }

// TargetsNoticeReceived tells what targets said of themselves.
type TargetsNoticeReceived struct {
	fleet.TargetsNotice
}

// EventName implements fleet.Event.
func (TargetsNoticeReceived) EventName() string { return "TargetsHeard" }

// PeersChanged tells which routers there are, this one included, and whether what
// targets say gets here.
type PeersChanged struct {
	Routers   []fleet.HostID
	Listening bool
}

// EventName implements fleet.Event.
func (PeersChanged) EventName() string { return "PeersChanged" }

// DigestReceived tells what the other routers reported.
type DigestReceived struct {
	fleet.LoadDigest
}

// EventName implements fleet.Event.
func (DigestReceived) EventName() string { return "DigestHeard" }

// Tick tells that time has passed.
type Tick struct{}

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }

// ReportDue asks for a Report.
type ReportDue struct{}

// EventName implements fleet.Event.
func (ReportDue) EventName() string { return "ReportDue" }

// CallArrived is a request of a caller.
type CallArrived struct {
	Call Call
}

// EventName implements fleet.Event.
func (CallArrived) EventName() string { return "Asked" }

// AnswerBegun tells that the answer to an attempt has begun.
type AnswerBegun struct {
	Call    CallID
	Attempt int
}

// EventName implements fleet.Event.
func (AnswerBegun) EventName() string { return "Begun" }

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	Call    CallID
	Attempt int
	Outcome Outcome
}

// EventName implements fleet.Event.
func (AttemptEnded) EventName() string { return "Ended" }

// Outcome is the end of an attempt.
type Outcome string

// The outcomes of attempts.
const (
	// Answered attempts were answered in full.
	Answered Outcome = "Answered"
	// Unreached attempts were not sent: no byte of them left this router.
	Unreached Outcome = "Unreached"
	// Declined attempts were refused by the target, which did not run them.
	Declined Outcome = "Declined"
	// Misdirected attempts met another target at the address, which did not run them.
	Misdirected Outcome = "Misdirected"
	// Broken attempts may have run; the caller can still get another answer.
	Broken Outcome = "Broken"
	// FailedAnswer attempts ran and ended in the target's own failure, which was not
	// passed on yet.
	FailedAnswer Outcome = "FailedAnswer"
	// Truncated attempts ended in the midst of an answer that can't go on.
	Truncated Outcome = "Cut"
	// CallerGone attempts ended because the caller left.
	CallerGone Outcome = "CallerGone"
	// Expired attempts ran out of time.
	Expired Outcome = "Expired"
)

// NotRun says whether the target certainly did not run an attempt of this outcome.
func (o Outcome) NotRun() bool { return o == Unreached || o == Declined || o == Misdirected }

// Send asks to send a call to a target.
type Send struct {
	Call        CallID
	Attempt     int
	Target      fleet.TargetID
	Incarnation fleet.Incarnation
	Address     netip.AddrPort
	// MaxIdle bounds the unused connections to keep to the target.
	MaxIdle int
	// Basis tells what decided, for the log.
	Basis Basis
}

// EffectName implements fleet.Effect.
func (Send) EffectName() string { return "Send" }

// Basis is what decided a placement.
type Basis struct {
	// Rank is the target's place in the order of the request's prompt; 0 is the first.
	Rank int
	// Candidates is how many targets could take the request.
	Candidates int
	// ExpectedFirstByte is the time to the first byte that was expected.
	ExpectedFirstByte time.Duration
	// QueueDelay is the part of Expected that is due to other requests.
	QueueDelay time.Duration
	// QueuedTokens is the number of prompt tokens before the request.
	QueuedTokens int
	// PrefillTokens is the number of prompt tokens that the target is expected to read.
	PrefillTokens int
	// Running is the number of requests at the target.
	Running int
	// DigestAge is the age of what is known of the other routers.
	DigestAge time.Duration
}

// Refuse asks to answer a call that has not run.
type Refuse struct {
	Call   CallID
	Reason fleet.Reason
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
	// Basis is what was expected at the best target, for the log.
	Basis Basis
	// Share is the part of its customer's demand that is admitted; 0 without a limit.
	Share float64
}

// EffectName implements fleet.Effect.
func (Refuse) EffectName() string { return "Refuse" }

// GiveUp asks to answer a call with what its last attempt came to.
type GiveUp struct {
	Call   CallID
	Reason fleet.Reason
	// NotRun says that no target ran the call.
	NotRun     bool
	RetryAfter time.Duration
}

// EffectName implements fleet.Effect.
func (GiveUp) EffectName() string { return "GiveUp" }

// Report asks to send a report to the control host that collects loads.
type Report struct {
	fleet.RouterLoad
}

// EffectName implements fleet.Effect.
func (Report) EffectName() string { return "Report" }
