package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// Methods that control replicas answer. Each takes the type named like it with the
// suffix Request and returns the one with the suffix Reply.
const (
	MethodState       = "Control.State"
	MethodText        = "Control.Text"
	MethodApply       = "Control.Apply"
	MethodDataCentre  = "Control.DataCentre"
	MethodLease       = "Control.Lease"
	MethodLedgerBegin = "Control.LedgerBegin"
	MethodLedgerEnd   = "Control.LedgerEnd"
	MethodHistory     = "Control.History"
	MethodStatus      = "Control.Status"
	MethodReplace     = "Control.Replace"
)

// Error codes of the control protocol, outside the range that JSON-RPC reserves.
const (
	// CodeNotLeader tells to ask another replica; the data is a NotLeader.
	CodeNotLeader = 1001
	// CodeUnavailable tells that no quorum answered in time; a change may still be made.
	CodeUnavailable = 1002
	// CodeInvalid tells that the request is wrong and will always be refused.
	CodeInvalid = 1003
)

// NotLeader is the data of an error with CodeNotLeader.
type NotLeader struct {
	// Leader is the replica believed to lead; empty when none is known.
	Leader HostID
}

// StateRequest asks for the confirmed state, as the heartbeat of a process.
type StateRequest struct {
	Host        HostID
	Incarnation Incarnation
	Role        Role
	// Address is where callers or peers reach the process.
	Address    string
	DataCentre DataCentreName
	// Version is the fleet text version that the process runs under.
	Version Version
	// Stopping says that the process takes no new requests.
	Stopping bool `json:",omitempty"`
	// HostsSeen is the newest HostsVersion that the process has the hosts of.
	HostsSeen Sequence `json:",omitempty"`
}

// Role is what a process does.
type Role string

// The roles.
const (
	RoleRouter     Role = "Router"
	RoleDispatcher Role = "Dispatcher"
	RoleControl    Role = "Control"
	RoleOperator   Role = "Operator"
)

// Check implements Checker.
func (r *StateRequest) Check() error {
	switch r.Role {
	case RoleRouter, RoleDispatcher, RoleControl, RoleOperator:
	default:
		return errors.Errorf("Role %q does not exist", r.Role)
	}
	return CheckName("Host", string(r.Host))
}

// StateReply is the state that a quorum confirmed after the request arrived.
type StateReply struct {
	// Version and Hash identify the accepted fleet text; Version 0 means none yet.
	Version Version
	Hash    string
	// DataCentresOut lists the data centres taken out of service. It belongs to
	// Version too: taking a data centre out or back raises the version.
	DataCentresOut []DataCentreName `json:",omitempty"`
	// Leases lists the leases with their epochs.
	Leases []LeaseState `json:",omitempty"`
	// HostsVersion grows whenever a process appears, is forgotten, or begins to stop.
	// Hosts is left out when it equals the request's HostsSeen.
	HostsVersion Sequence `json:",omitempty"`
	// Hosts lists the processes heard of lately.
	Hosts []HostState `json:",omitempty"`
	// Validity is how long the reply may be relied on, from the moment it was asked for.
	Validity time.Duration
}

// Check implements Checker.
func (r *StateReply) Check() error {
	if r.Validity <= 0 {
		return errors.Errorf("Validity is %s; it is more than 0", r.Validity)
	}
	return nil
}

// HostState is what control knows of a process from its heartbeats. It is not durable.
type HostState struct {
	Host       HostID
	Role       Role
	Address    string
	DataCentre DataCentreName
	Version    Version
	Stopping   bool `json:",omitempty"`
	// Age is the time since its last heartbeat.
	Age time.Duration
}

// LeaseName names a lease, for dispatchers "Dispatch/REGION".
type LeaseName string

// LeaseState is a lease as the log has it.
type LeaseState struct {
	Name   LeaseName
	Holder HostID
	Epoch  Epoch
}

// TextRequest asks for the accepted fleet text.
type TextRequest struct {
	// Version asks for an older text; 0 means the newest.
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

// ApplyRequest proposes a fleet text on top of a version.
type ApplyRequest struct {
	Operation OperationID
	// Base is the version that the operator changed.
	Base Version
	Text string
	// Operator is recorded in the history.
	Operator string
}

// MaxFleetText is the largest fleet text in bytes.
const MaxFleetText = 1 << 20

// Check implements Checker.
func (r *ApplyRequest) Check() error {
	if len(r.Text) > MaxFleetText {
		return errors.Errorf("Text has %d bytes; at most %d are allowed", len(r.Text), MaxFleetText)
	}
	return CheckName("Operation", string(r.Operation))
}

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

// ChangeReply is the result of an ApplyRequest or DataCentreRequest. A resend of
// the operation returns the same reply.
type ChangeReply struct {
	// Accepted says whether the change was made; then Version is the new version.
	Accepted bool
	Version  Version
	// Conflict is set when Base was not the current version.
	Conflict *Conflict `json:",omitempty"`
	// Invalid says why the change is not allowed; empty when it is.
	Invalid string `json:",omitempty"`
}

// Check implements Checker.
func (*ChangeReply) Check() error { return nil }

// Conflict names both versions of a change that lost against another.
type Conflict struct {
	Base    Version
	Current Version
}

// LeaseRequest acquires or renews a lease.
type LeaseRequest struct {
	Name        LeaseName
	Holder      HostID
	Incarnation Incarnation
	// Epoch is that of the lease to be renewed; 0 to acquire it anew.
	Epoch Epoch
	// Duration runs from the moment the holder sent the request.
	Duration time.Duration
	// Release gives the lease up at once.
	Release bool `json:",omitempty"`
}

// Bounds of the duration of a lease.
const (
	MinLease = 500 * time.Millisecond
	MaxLease = time.Minute
)

// Check implements Checker.
func (r *LeaseRequest) Check() error {
	if r.Duration < MinLease || r.Duration > MaxLease {
		return errors.Errorf("Duration is %s; %s to %s are allowed", r.Duration, MinLease, MaxLease)
	}
	return checkAll(CheckName("Name", string(r.Name)), CheckName("Holder", string(r.Holder)))
}

// LeaseReply tells who holds the lease.
type LeaseReply struct {
	Granted bool
	Holder  HostID
	Epoch   Epoch
	// Duration is as requested; the holder shortens it with ShortenLease.
	Duration time.Duration
}

// Check implements Checker.
func (*LeaseReply) Check() error { return nil }

// LedgerKey identifies a call that may run once.
type LedgerKey struct {
	Customer CustomerName
	Service  ServiceName
	Key      IdempotencyKey
}

// AttemptID identifies who may send a recorded call: one attempt of one router incarnation.
type AttemptID struct {
	Router      HostID
	Incarnation Incarnation
	Attempt     Sequence
}

// LedgerBeginRequest records a call before its first byte is sent.
type LedgerBeginRequest struct {
	LedgerKey
	// Body is the hash of the method, path and body.
	Body ContentHash
	By   AttemptID
}

// MaxIdempotencyKey is the longest idempotency key in bytes.
const MaxIdempotencyKey = 256

// Check implements Checker.
func (r *LedgerBeginRequest) Check() error {
	if r.Key == "" || len(r.Key) > MaxIdempotencyKey {
		return errors.Errorf("Key has %d bytes; 1 to %d are allowed", len(r.Key), MaxIdempotencyKey)
	}
	return checkAll(
		CheckName("Customer", string(r.Customer)),
		CheckName("Service", string(r.Service)),
		CheckName("Body", string(r.Body)),
		CheckName("By.Router", string(r.By.Router)),
	)
}

// LedgerState is the state of a recorded call.
type LedgerState string

// The states of a recorded call.
const (
	// LedgerGranted means that the asking attempt, and no other, may send the call.
	LedgerGranted LedgerState = "Granted"
	// LedgerRunning means that another attempt has it.
	LedgerRunning LedgerState = "Running"
	// LedgerDone means that it ran; the recorded answer is returned.
	LedgerDone LedgerState = "Done"
	// LedgerMayHaveRun means that it may have run and nobody knows its answer.
	LedgerMayHaveRun LedgerState = "MayHaveRun"
	// LedgerMismatch means that the key was used for another body.
	LedgerMismatch LedgerState = "Mismatch"
)

// LedgerBeginReply tells what the router may do with the call.
type LedgerBeginReply struct {
	State  LedgerState
	Answer *RecordedAnswer `json:",omitempty"`
}

// Check implements Checker.
func (*LedgerBeginReply) Check() error { return nil }

// RecordedAnswer is the answer of a call that ran, as kept in the ledger.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was larger than MaxRecordedAnswer and is not kept.
	Truncated bool `json:",omitempty"`
}

// MaxRecordedAnswer is the largest body of an answer that the ledger keeps, in bytes.
const MaxRecordedAnswer = 32 << 10

// LedgerEndRequest records the end of a call. Only the attempt that began it may.
type LedgerEndRequest struct {
	LedgerKey
	By AttemptID
	// Verdict NotRun frees the key for another attempt; it is allowed only when no
	// byte was sent. Ran records the answer. MayHaveRun bars any other run.
	Verdict Verdict
	Answer  *RecordedAnswer `json:",omitempty"`
}

// Check implements Checker.
func (r *LedgerEndRequest) Check() error {
	if r.Verdict == Ran && r.Answer == nil {
		return errors.New("Answer is missing; a call that ran has one")
	}
	if r.Answer != nil && len(r.Answer.Body) > MaxRecordedAnswer {
		return errors.Errorf("Answer has %d bytes; at most %d are allowed", len(r.Answer.Body), MaxRecordedAnswer)
	}
	if _, err := r.Verdict.MarshalText(); err != nil {
		return err
	}
	return CheckName("Customer", string(r.Customer))
}

// LedgerEndReply tells whether the end was recorded.
type LedgerEndReply struct {
	// Recorded is false when the call belongs to another attempt.
	Recorded bool
}

// Check implements Checker.
func (*LedgerEndReply) Check() error { return nil }

// HistoryRequest asks for the newest changes.
type HistoryRequest struct {
	// Most is how many to return; 0 means all that are kept.
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

// Change is one accepted change of the configuration.
type Change struct {
	Version   Version
	Operation OperationID
	Operator  string
	// Kind is "Apply", "DataCentreOut" or "DataCentreIn".
	Kind string
	// Subject names the data centre; empty for a fleet text.
	Subject string
	// At is when the leader proposed it, by its own wall clock.
	At time.Time
}

// StatusRequest asks one replica about itself; it is answered without a quorum.
type StatusRequest struct{}

// Check implements Checker.
func (*StatusRequest) Check() error { return nil }

// StatusReply is a replica's view of the control quorum.
type StatusReply struct {
	Host        HostID
	Incarnation Incarnation
	// Standing is Leader, Follower, Candidate, or Learner.
	Standing string
	Leader   HostID
	Term     Term
	Last     Index
	Commit   Index
	Snapshot Index
	Members  []MemberState
}

// Check implements Checker.
func (*StatusReply) Check() error { return nil }

// MemberState is one member of the control quorum.
type MemberState struct {
	Host        HostID
	Incarnation Incarnation
	Voter       bool
	// Match is the last entry known to be on its disk; only the leader knows it.
	Match Index
}

// ReplaceRequest admits a replica that came back with an empty disk: its new
// incarnation becomes a learner, and a voter once it has caught up.
type ReplaceRequest struct {
	Operation OperationID
	Host      HostID
}

// Check implements Checker.
func (r *ReplaceRequest) Check() error {
	return checkAll(CheckName("Operation", string(r.Operation)), CheckName("Host", string(r.Host)))
}

// ReplaceReply tells how the replacement stands.
type ReplaceReply struct {
	Accepted bool
	Invalid  string `json:",omitempty"`
}

// Check implements Checker.
func (*ReplaceReply) Check() error { return nil }
