package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// RPC methods of control replicas. Control.X takes an XRequest and returns an XReply;
// Control.Apply and Control.DataCentre return a ChangeReply.
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
	// CodeNotLeader means that the call has to be sent to another replica; the error's data
	// is a NotLeader.
	CodeNotLeader = 1001
	// CodeUnavailable means that no quorum answered in time. A requested change may still
	// take effect.
	CodeUnavailable = 1002
	// CodeInvalid means that the request is invalid; sending it again is pointless.
	CodeInvalid = 1003
	// CodeSuperseded means that another change was committed since the state that the request
	// is based on. The request has no effect and won't take effect later.
	CodeSuperseded = 1004
)

// NotLeader is the data of an error with CodeNotLeader.
type NotLeader struct {
	// Leader is the presumed leader; empty if unknown.
	Leader HostID
}

// StateRequest asks for the confirmed state and serves as the heartbeat of a process.
type StateRequest struct {
	Host        HostID
	Incarnation Incarnation
	Role        Role
	// Address is the address at which callers or peers reach the process.
	Address    string
	DataCentre DataCentreName
	// Version is the fleet text version that the process runs under.
	Version Version
	// Stopping is true once the process accepts no new requests.
	Stopping bool `json:",omitempty"`
	// HostsSeen is the HostsVersion of the list of hosts that the process has.
	HostsSeen Sequence `json:",omitempty"`
}

// Role is the function of a process in the fleet.
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

// StateReply is the state that the quorum confirmed after the request arrived.
type StateReply struct {
	// Version and Hash identify the accepted fleet text; Version 0 means none yet.
	Version Version
	Hash    string
	// DataCentresOut lists the data centres that are out of service. It is part of what
	// Version numbers: taking a data centre out or back raises the version.
	DataCentresOut []DataCentreName `json:",omitempty"`
	// Leases lists the leases with their epochs.
	Leases []LeaseState `json:",omitempty"`
	// HostsVersion grows whenever a process appears, is dropped for lack of heartbeats, or
	// begins to stop.
	HostsVersion Sequence `json:",omitempty"`
	// Hosts lists the processes that sent a heartbeat recently. It is left out when
	// HostsVersion equals the request's HostsSeen.
	Hosts []HostState `json:",omitempty"`
	// Validity is how long the reply may be used, counted from when the request was sent.
	Validity time.Duration
}

// Check implements Checker.
func (r *StateReply) Check() error {
	if r.Validity <= 0 {
		return errors.Errorf("Validity is %s; it must be more than 0", r.Validity)
	}
	return nil
}

// HostState is the state of a process according to its last heartbeat. The control leader
// keeps it in memory only.
type HostState struct {
	Host       HostID
	Role       Role
	Address    string
	DataCentre DataCentreName
	Version    Version
	Stopping   bool `json:",omitempty"`
	// Age is the time since the process's last heartbeat.
	Age time.Duration
}
