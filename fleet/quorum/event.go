package quorum

import "github.com/fuchsiashed/fuchsiashed/fleet"

// Tick reports the passage of time; the caller sends one every TickInterval.
type Tick struct {
	// Random is drawn anew for each tick. It seeds the election time-outs.
	Random uint64
}

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }

// Received delivers a message from another replica.
type Received struct {
	Message Message
}

// EventName implements fleet.Event.
func (Received) EventName() string { return "Received" }

// Written reports that the Write with this sequence, and all before it, are durable.
type Written struct {
	Sequence fleet.Sequence
}

// EventName implements fleet.Event.
func (Written) EventName() string { return "Written" }

// ProposalID identifies a proposal within one run of a replica. The caller chooses it.
type ProposalID uint64

// Propose asks the leader to append a command. It is answered by Committed or Dropped.
type Propose struct {
	ID   ProposalID
	Data []byte
}

// EventName implements fleet.Event.
func (Propose) EventName() string { return "Propose" }

// ReplaceMember asks the leader to admit the new incarnation of a host that came back with
// an empty disk, in place of its former one. It is answered by Committed or Dropped.
type ReplaceMember struct {
	ID   ProposalID
	Host fleet.HostID
	// Operation distinguishes a resent request from another replacement.
	Operation fleet.OperationID
}

// EventName implements fleet.Event.
func (ReplaceMember) EventName() string { return "Replace" }

// Contacts adds hosts to those that a replica without members asks for a quorum.
type Contacts struct {
	Hosts []fleet.HostID
}

// EventName implements fleet.Event.
func (Contacts) EventName() string { return "Contacts" }

// ConfirmLeadership makes a leader send heartbeats at once, to check whether a majority still
// follows it. Replica.ConfirmedSince reports the result.
type ConfirmLeadership struct{}

// EventName implements fleet.Event.
func (ConfirmLeadership) EventName() string { return "Confirm" }

// TransferLeadership asks a leader to transfer its leadership, before its process stops.
type TransferLeadership struct{}

// EventName implements fleet.Event.
func (TransferLeadership) EventName() string { return "StepAside" }

// Write asks the caller to append the records to the storage, make them durable, and then
// report Written.
type Write struct {
	Sequence fleet.Sequence
	// Replace means that the records replace everything stored.
	Replace bool
	Records []Record
}

// EffectName implements fleet.Effect.
func (Write) EffectName() string { return "Write" }

// Send asks the caller to send a message to Message.To. Messages may be lost, duplicated
// and reordered.
type Send struct {
	Message Message
}

// EffectName implements fleet.Effect.
func (Send) EffectName() string { return "Send" }

// Committed returns the state machine's result for a committed proposal; Result is nil for
// ReplaceMember.
type Committed struct {
	ID     ProposalID
	Result any
}

// EffectName implements fleet.Effect.
func (Committed) EffectName() string { return "Committed" }

// Dropped reports that a proposal was refused, or that its outcome is unknown because the
// replica no longer leads.
type Dropped struct {
	ID ProposalID
	// Refused means that the command was not appended and never will be.
	Refused bool
	// Reason says why a ReplaceMember is not allowed. It is empty when the request may be
	// sent to another replica.
	Reason string
}

// EffectName implements fleet.Effect.
func (Dropped) EffectName() string { return "Dropped" }

// RoleChanged reports a change of the replica's role, its term or the leader it knows.
type RoleChanged struct {
	Role   Role `json:"Standing"`
	Term   fleet.Term
	Leader fleet.HostID
}

// EffectName implements fleet.Effect.
func (RoleChanged) EffectName() string { return "StandingChanged" }
