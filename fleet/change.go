package fleet

import (
	"time"
)

// DataCentreRequest takes a data centre out of service or brings it back.
type DataCentreRequest struct {
	Operation  OperationID
	Base       Version
	DataCentre DataCentreName
	// Out is true to take it out, false to bring it back.
	Out      bool
	Operator string
}

// Check implements Checker.
func (r *DataCentreRequest) Check() error {
	return checkAll(
		CheckName("Operation", string(r.Operation)),
		CheckName("DataCentre", string(r.DataCentre)),
	)
}

// ChangeReply is the result of an ApplyRequest or DataCentreRequest. Sending the same
// operation again returns the same reply.
type ChangeReply struct {
	// Accepted reports whether the change was made. If so, Version is the new version.
	Accepted bool
	Version  Version
	// Conflict is set when Base was not the current version.
	Conflict *Conflict `json:",omitempty"`
	// Invalid is the reason why the change is not allowed; empty if it is allowed.
	Invalid string `json:",omitempty"`
}

// Check implements Checker.
func (*ChangeReply) Check() error { return nil }

// Conflict describes a change that was rejected because its base version was out of date.
type Conflict struct {
	Base    Version
	Current Version
}

// HistoryRequest asks for the newest changes.
type HistoryRequest struct {
	// Most is the maximum number of changes to return; 0 means all that are kept.
	Most int
}

// Check implements Checker.
func (*HistoryRequest) Check() error { return nil }

// HistoryReply lists changes, newest first.
type HistoryReply struct {
	Changes []Change
}

// Check implements Checker.
func (*HistoryReply) Check() error { return nil }

// Change is one accepted change of the fleet configuration.
type Change struct {
	Version   Version
	Operation OperationID
	Operator  string
	// Kind is "Apply", "DataCentreOut" or "DataCentreIn".
	Kind string
	// Subject names the data centre; empty for a fleet text.
	Subject string
	// At is when the leader proposed the change, by the leader's wall clock.
	At time.Time
}
