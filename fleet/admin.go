package fleet

import "time"

// Paths that processes serve on the operators' address, as JSON.
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

// ProcessStatus is what a process tells of itself.
type ProcessStatus struct {
	Host        HostID
	Role        Role
	DataCentre  DataCentreName
	Incarnation Incarnation
	Version     Version
	// Confirmed says whether Version was confirmed by the quorum within its lease.
	Confirmed bool
	// Leader or lease holder, as far as this process knows.
	Active HostID
	Epoch  Epoch
	// Stopping says that the process takes no new requests.
	Stopping bool
	Waiting  int
	Running  int
}

// TargetStatus is what the active dispatcher knows of a target.
type TargetStatus struct {
	Target      TargetID
	Incarnation Incarnation
	Service     ServiceName
	DataCentre  DataCentreName
	// State is Serving, Leaving, Missing or Out.
	State string
	// Slots is announced, Limit is what may run now, the rest makes up its use.
	Slots    Slots
	Limit    Slots
	InUse    Slots
	InDoubt  Slots
	Standing Slots
	// Age is the time since its last announcement.
	Age time.Duration
}

// CustomerStatus is what the active dispatcher knows of a customer of a service.
type CustomerStatus struct {
	Customer CustomerName
	Service  ServiceName
	Weight   Weight
	Waiting  int
	Running  int
	// Served is the cost charged since the dispatcher became active.
	Served Cost
	// Counter is the virtual service counter; the lowest is served next.
	Counter Cost
	// OldestWait is the wait of its longest waiting ticket.
	OldestWait time.Duration
}

// Decision is one entry of a process's bounded decision record.
type Decision struct {
	At       time.Time
	Host     HostID
	Request  RequestID
	Customer CustomerName `json:",omitempty"`
	// Event is a word such as Queued, Granted, Sent, Retried, Refused or Completed.
	Event string
	// Reason is set on refusals and retries.
	Reason Reason `json:",omitempty"`
	// Detail explains the decision to a person.
	Detail string `json:",omitempty"`
}
