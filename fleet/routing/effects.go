package routing

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Effects.
type (
	// LedgerBegin records a call in the ledger. Its end is reported by LedgerBegun.
	LedgerBegin struct {
		Request fleet.RequestID
		Begin   fleet.LedgerBeginRequest
		// Until bounds the wait for the reply.
		Until time.Time
	}

	// LedgerEnd records the end of a call. It is resent until control answers.
	LedgerEnd struct {
		Request fleet.RequestID
		End     fleet.LedgerEndRequest
	}

	// SendReport sends a report to a dispatcher.
	SendReport struct {
		To     Peer
		Report fleet.RouterReport
	}

	// StartSend sends a request to a target. It rests on a grant.
	StartSend struct {
		Request fleet.RequestID
		Attempt int
		Grant   fleet.GrantID
		Target  fleet.TargetID
		Address netip.AddrPort
		// Until is the end of the grant.
		Until time.Time
		// Deadline ends the attempt.
		Deadline time.Time
		// IdleTimeout bounds the silence within the answer.
		IdleTimeout time.Duration
		// Once says that the call may run only once, so that its answer is kept.
		Once bool
		// Detach says to read the answer to its end when the caller leaves.
		Detach bool
	}

	// ResumeSend continues the answer of an attempt at an offset, on a new connection.
	ResumeSend struct {
		Request fleet.RequestID
		Attempt int
		Offset  int64
		// Delay is how long to wait before connecting.
		Delay time.Duration
	}

	// WaitOn goes on waiting for the first byte on the attempt's first connection.
	WaitOn struct {
		Request fleet.RequestID
		Attempt int
	}

	// ReleaseSend closes the connection of an attempt and cancels it at the target.
	// Its end is reported by AttemptReleased.
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

	// AnswerDone ends a request whose answer was passed on, except for the last part of
	// one that was held back for the ledger.
	AnswerDone struct{ Request fleet.RequestID }

	// WakeAfter asks for a Tick after a delay.
	WakeAfter struct{ Delay time.Duration }

	// VersionSeen tells that a peer runs under a newer configuration.
	VersionSeen struct{ Version fleet.Version }

	// Drained tells that a planned stop has nothing left to wait for.
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
