package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// CallID identifies a request within one run of a replica. The caller chooses it and
// matches the Answer by it.
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

	StartRollout  *fleet.StartRolloutRequest `json:",omitempty"`
	ChangeRollout *ChangeRollout             `json:",omitempty"`
	ReadRollouts  *fleet.ReadRolloutsRequest `json:",omitempty"`
}

// RequestReceived delivers a request from another process.
type RequestReceived struct {
	ID      CallID
	Request Request
}

// EventName implements fleet.Event.
func (RequestReceived) EventName() string { return "Asked" }

// Failure is the error that answers a request.
type Failure struct {
	// Code is an error code of the control protocol, such as fleet.CodeNotLeader.
	Code    int64
	Message string
	// Leader is the leader to ask instead, if known; only with fleet.CodeNotLeader.
	Leader fleet.HostID
}

// Answer answers the request with this ID, by either Reply or Failure.
type Answer struct {
	ID CallID
	// Reply is a reply type of the control protocol.
	Reply   any      `json:",omitempty"`
	Failure *Failure `json:",omitempty"`
}

// EffectName implements fleet.Effect.
func (Answer) EffectName() string { return "Answer" }

// LeasedAnswer is an answer that is valid under the leader's lease only and must not be sent
// after Until. It implements fleet.Expiring.
type LeasedAnswer struct {
	Answer
	Until time.Time
}

// NotAfter implements fleet.Expiring.
func (a LeasedAnswer) NotAfter() time.Time { return a.Until }

// EffectName implements fleet.Effect.
func (LeasedAnswer) EffectName() string { return "LeasedAnswer" }
