package fleet

import (
	"github.com/pkg/errors"
)

// TextRequest asks for an accepted fleet text.
type TextRequest struct {
	// Version is the version to return; 0 means the newest.
	Version Version
}

// Check implements Checker.
func (*TextRequest) Check() error { return nil }

// TextReply is an accepted fleet text.
type TextReply struct {
	Version        Version
	Hash           string
	Text           string
	DataCentresOut []DataCentreName `json:",omitempty"`
}

// Check implements Checker.
func (*TextReply) Check() error { return nil }

// ApplyRequest proposes a fleet text that replaces version Base.
type ApplyRequest struct {
	Operation OperationID
	// Base is the version that the operator edited.
	Base Version
	Text string
	// Operator is recorded in the history.
	Operator string
}

// MaxFleetTextBytes is the maximum size of a fleet text.
const MaxFleetTextBytes = 1 << 20

// Check implements Checker.
func (r *ApplyRequest) Check() error {
	if len(r.Text) > MaxFleetTextBytes {
		return errors.Errorf("Text has %d bytes; at most %d are allowed", len(r.Text), MaxFleetTextBytes)
	}
	return CheckName("Operation", string(r.Operation))
}
