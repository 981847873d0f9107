package fleet

import "time"

// Paths of the admin API, which every process serves as JSON on its admin address.
const (
	// PathStatus returns a ProcessStatus.
	PathStatus = "/v1/status"
	// PathTargets returns a []TargetStatus; dispatchers serve it.
	PathTargets = "/v1/targets"
	// PathCustomers returns a []CustomerStatus; dispatchers serve it.
	PathCustomers = "/v1/customers"
	// PathExplain followed by a request id returns a []Decision.
	PathExplain = "/v1/explain/"
)

// ProcessStatus is the status that a process reports of itself.
type ProcessStatus struct {
	Host        HostID
	Role        Role
	DataCentre  DataCentreName
	Incarnation Incarnation
	Version     Version
	// Confirmed is true while the quorum's confirmation of Version is still valid.
	Confirmed bool
	// Active is the leader or lease holder according to this process; empty if unknown.
	Active HostID
	Epoch  Epoch
	// Stopping is true once the process accepts no new requests.
	Stopping bool
	// Waiting and Running count requests.
	Waiting int
	Running int
}

// TargetStatus is the active dispatcher's view of a target.
type TargetStatus struct {
	Target      TargetID
	Incarnation Incarnation
	Service     ServiceName
	DataCentre  DataCentreName
	// State is Serving, Leaving, Missing or Out.
	State string
	// Slots is the announced capacity, Limit the number of requests that may run now.
	Slots Slots
	Limit Slots
	// InUse slots run granted requests, InDoubt slots may still run a request whose
	// end is unknown, Standing slots are held by standing grants.
	InUse    Slots
	InDoubt  Slots
	Standing Slots
	// Age is the time since the target's last announcement.
	Age time.Duration
}

// CustomerStatus is the active dispatcher's view of a customer of a service.
type CustomerStatus struct {
	Customer CustomerName
	Service  ServiceName
	Weight   Weight
	Waiting  int
	Running  int
	// Served is the cost charged since the dispatcher became active.
	Served Cost
	// Counter is the virtual service counter; the customer with the lowest is served next.
	Counter Cost
	// OldestWait is how long the customer's oldest ticket has been waiting.
	OldestWait time.Duration
}

// Decision is one entry of a process's decision log, which keeps a bounded number of them.
type Decision struct {
	At       time.Time
	Host     HostID
	Request  RequestID
	Customer CustomerName `json:",omitempty"`
	// Event names the decision, such as Queued, Granted, Sent, Retried, Refused or Completed.
	Event string
	// Reason is set on refusals and retries.
	Reason Reason `json:",omitempty"`
	// Detail explains the decision in human-readable form.
	Detail string `json:",omitempty"`
}
