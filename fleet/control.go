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
