package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// CallID identifies a request to one run of a replica.
type CallID uint64

// Request is a request of the control protocol; exactly one of its fields is set.
type Request struct {
	State       *fleet.StateRequest       `json:",omitempty"`
	Text        *fleet.TextRequest        `json:",omitempty"`
	Apply       *fleet.ApplyRequest       `json:",omitempty"`
	DataCentre  *fleet.DataCentreRequest  `json:",omitempty"`
	Lease       *fleet.LeaseRequest       `json:",omitempty"`
	LedgerBegin *fleet.LedgerBeginRequest `json:",omitempty"`
	LedgerEnd   *fleet.LedgerEndRequest   `json:",omitempty"`
	History     *fleet.HistoryRequest     `json:",omitempty"`
	Status      *fleet.StatusRequest      `json:",omitempty"`
	Replace     *fleet.ReplaceRequest     `json:",omitempty"`
	PutConfig   *fleet.PutConfigRequest   `json:",omitempty"`
	ReadConfig  *fleet.ReadConfigRequest  `json:",omitempty"`
	SetOut      *fleet.SetOutRequest      `json:",omitempty"`
}

// RequestReceived is a request of another process.
type RequestReceived struct {
	ID      CallID
	Request Request
}

// EventName implements fleet.Event.
func (RequestReceived) EventName() string { return "Asked" }

// Failure is the error with which a request is answered.
type Failure struct {
	// Code is one of the codes of the control protocol.
	Code    int64
	Message string
	// Leader is set with fleet.CodeNotLeader.
	Leader fleet.HostID
}

// Answer is the answer to a request.
type Answer struct {
	ID CallID
	// Reply is a reply type of the control protocol; nil with a Failure.
	Reply   any      `json:",omitempty"`
	Failure *Failure `json:",omitempty"`
}

// EffectName implements fleet.Effect.
func (Answer) EffectName() string { return "Answer" }

// LeasedAnswer is an answer that rests on the leader's lease. It implements fleet.Expiring.
type LeasedAnswer struct {
	Answer
	Until time.Time
}

// NotAfter implements fleet.Expiring.
func (a LeasedAnswer) NotAfter() time.Time { return a.Until }

// EffectName implements fleet.Effect.
func (LeasedAnswer) EffectName() string { return "LeasedAnswer" }
