package routing

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Effects that the shell performs for the reducer.
type (
	// LedgerBegin records the begin of a call in the ledger. The reply comes as LedgerBegun.
	LedgerBegin struct {
		Request fleet.RequestID
		Begin   fleet.LedgerBeginRequest
		// Until bounds the wait for the reply.
		Until time.Time
	}

	// LedgerEnd records the end of a call in the ledger. The shell resends it until control
	// answers.
	LedgerEnd struct {
		Request fleet.RequestID
		End     fleet.LedgerEndRequest
	}

	// SendReport sends a report to a dispatcher.
	SendReport struct {
		To     Peer
		Report fleet.RouterReport
	}

	// StartSend sends a request to a target. It must not be performed after its grant has
	// expired.
	StartSend struct {
		Request fleet.RequestID
		Attempt int
		Grant   fleet.GrantID
		Target  fleet.TargetID
		Address netip.AddrPort
		// Until is the expiry of the grant.
		Until time.Time
		// Deadline is when the attempt is stopped.
		Deadline time.Time
		// IdleTimeout is the longest time that the target may send nothing.
		IdleTimeout time.Duration
		// Once reports whether the call may run only once; its answer is then kept for the
		// ledger.
		Once bool
		// Detach is set if the answer is read to its end even when the caller disconnects.
		Detach bool
	}

	// ResumeSend continues the answer of an attempt at an offset in bytes, on a new connection.
	ResumeSend struct {
		Request fleet.RequestID
		Attempt int
		Offset  int64
		// Delay is the back-off before connecting.
		Delay time.Duration
	}

	// WaitOn keeps waiting for the first byte on the attempt's first connection, after a
	// resumption was refused.
	WaitOn struct {
		Request fleet.RequestID
		Attempt int
	}

	// ReleaseSend closes the connection of an attempt and cancels it at the target. The result
	// comes as AttemptReleased.
	ReleaseSend struct {
		Request fleet.RequestID
		Attempt int
		Grant   fleet.GrantID
		Address netip.AddrPort
	}

	// AnswerFailure ends a request with a failure.
	AnswerFailure struct {
		Request fleet.RequestID
		Failure fleet.Failure
	}

	// AnswerRecorded ends a request with the answer that the ledger kept.
	AnswerRecorded struct {
		Request fleet.RequestID
		Answer  fleet.RecordedAnswer
	}

	// AnswerDone ends a request whose answer was passed on, or whose caller has disconnected.
	// If the last part was held back until the ledger recorded the end, it is passed on now.
	AnswerDone struct{ Request fleet.RequestID }

	// WakeAfter requests a Tick after a delay.
	WakeAfter struct{ Delay time.Duration }

	// VersionSeen reports that a dispatcher has a newer configuration than the router.
	VersionSeen struct{ Version fleet.Version }

	// Drained reports that a planned stop is complete: no request or attempt is open.
	Drained struct{}

	// Decided records a decision for operators and counts its reason.
	Decided struct{ Decision fleet.Decision }
)

// EffectName implements fleet.Effect.
func (LedgerBegin) EffectName() string { return "LedgerBegin" }

// EffectName implements fleet.Effect.
func (LedgerEnd) EffectName() string { return "LedgerEnd" }

// EffectName implements fleet.Effect.
func (SendReport) EffectName() string { return "SendReport" }

// EffectName implements fleet.Effect.
func (StartSend) EffectName() string { return "StartSend" }

// NotAfter implements fleet.Expiring.
func (e StartSend) NotAfter() time.Time { return e.Until }

// EffectName implements fleet.Effect.
func (ResumeSend) EffectName() string { return "ResumeSend" }

// EffectName implements fleet.Effect.
func (WaitOn) EffectName() string { return "WaitOn" }

// EffectName implements fleet.Effect.
func (ReleaseSend) EffectName() string { return "ReleaseSend" }

// EffectName implements fleet.Effect.
func (AnswerFailure) EffectName() string { return "AnswerFailure" }

// EffectName implements fleet.Effect.
func (AnswerRecorded) EffectName() string { return "AnswerRecorded" }

// EffectName implements fleet.Effect.
func (AnswerDone) EffectName() string { return "AnswerDone" }

// EffectName implements fleet.Effect.
func (WakeAfter) EffectName() string { return "WakeAfter" }

// EffectName implements fleet.Effect.
func (VersionSeen) EffectName() string { return "VersionSeen" }

// EffectName implements fleet.Effect.
func (Drained) EffectName() string { return "Drained" }

// EffectName implements fleet.Effect.
func (Decided) EffectName() string { return "Decided" }
