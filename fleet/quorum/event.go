package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// Tick tells that time has passed; it is due every TickInterval.
type Tick struct {
	// Random is drawn anew for each tick.
	Random uint64
}

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }

// Received is a message of another replica.
type Received struct {
	Message Message
}

// EventName implements fleet.Event.
func (Received) EventName() string { return "Received" }

// Written tells that a Write and all before it are durable.
type Written struct {
	Sequence fleet.Sequence
}

// EventName implements fleet.Event.
func (Written) EventName() string { return "Written" }

// ProposalID identifies a proposal within one run of a replica.
type ProposalID uint64

// Propose asks the leader to append a command.
type Propose struct {
	ID   ProposalID
	Data []byte
}

// EventName implements fleet.Event.
func (Propose) EventName() string { return "Propose" }

// ReplaceMember asks the leader to admit the incarnation of a host that came back with an
// empty disk, in place of its former one.
type ReplaceMember struct {
	ID   ProposalID
	Host fleet.HostID
	// Operation tells a resend from another replacement.
	Operation fleet.OperationID
}

// EventName implements fleet.Event.
func (ReplaceMember) EventName() string { return "Replace" }

// Contacts names further hosts that may know a quorum.
type Contacts struct {
	Hosts []fleet.HostID
}

// EventName implements fleet.Event.
func (Contacts) EventName() string { return "Contacts" }

// ConfirmLeadership asks a leader to find out at once whether a majority still follows it.
type ConfirmLeadership struct{}

// EventName implements fleet.Event.
func (ConfirmLeadership) EventName() string { return "Confirm" }

// TransferLeadership asks a leader to hand over its leadership, since its process is to stop.
type TransferLeadership struct{}

// EventName implements fleet.Event.
func (TransferLeadership) EventName() string { return "StepAside" }

// Write asks to append the records and make them durable, then to report Written.
type Write struct {
	Sequence fleet.Sequence
	// Replace says that the records take the place of everything stored.
	Replace bool
	Records []Record
}

// EffectName implements fleet.Effect.
func (Write) EffectName() string { return "Write" }

// Send asks to send a message; it may be lost.
type Send struct {
	Message Message
}

// EffectName implements fleet.Effect.
func (Send) EffectName() string { return "Send" }

// Committed tells the result that the state machine returned for a proposal.
type Committed struct {
	ID     ProposalID
	Result any
}

// EffectName implements fleet.Effect.
func (Committed) EffectName() string { return "Committed" }

// Dropped tells that a proposal was refused, or that its fate is unknown because the
// replica no longer leads.
type Dropped struct {
	ID ProposalID
	// Refused says that the command was not appended and never will be.
	Refused bool
	// Reason says why a Replace is not allowed; empty when another replica may be asked.
	Reason string
}

// EffectName implements fleet.Effect.
func (Dropped) EffectName() string { return "Dropped" }

// RoleChanged tells that the replica's standing or the leader it knows changed.
type RoleChanged struct {
	Role   Role `json:"Standing"`
	Term   fleet.Term
	Leader fleet.HostID
}

// EffectName implements fleet.Effect.
func (RoleChanged) EffectName() string { return "StandingChanged" }
