package fleet

import (
	"sort"
	"time"
)

// Fleet is a parsed and validated fleet text. Package fleettext parses it.
type Fleet struct {
	Region      RegionName
	DataCentres []DataCentreName
	Services    map[ServiceName]Service
	Customers   map[CustomerName]Customer
	Policy      Policy
}

// Protocol is the protocol that the targets of a service speak.
type Protocol string

// The protocols of targets.
const (
	// ProtocolModel is chat completion with server-sent events.
	ProtocolModel Protocol = "Model"
	// ProtocolPlain is any HTTP/1.1 service.
	ProtocolPlain Protocol = "Plain"
)

// Service is a service that customers call.
type Service struct {
	Name     ServiceName
	Protocol Protocol
	// DependsOn lists services; while one of them is down, requests to this service are
	// refused.
	DependsOn []ServiceName
	// Idempotent lists "METHOD /path" patterns of calls that may be repeated; a path
	// may end in "*". All other calls run at most once and need an idempotency key.
	Idempotent []string
	// ChecksFencing reports whether the service's targets refuse requests with an outdated
	// fencing number.
	ChecksFencing bool
	// MaxCost is the largest cost that one request may have.
	MaxCost Cost
	// MinSlots is the announced capacity that must remain when a data centre is taken out
	// of service.
	MinSlots Slots
	// RequestTimeout bounds a whole request, IdleTimeout the time between two reads of its
	// answer.
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
	// QueueTimeout bounds the time that a request waits for a grant.
	QueueTimeout time.Duration
}

// Customer is a customer of the fleet, who is identified by a bearer key.
type Customer struct {
	Name   CustomerName
	Weight Weight
	// KeyHash is the lower-case hex SHA-256 of the bearer key.
	KeyHash string
}

// Policy holds the limits and trade-offs that a fleet's operators configure.
type Policy struct {
	// PlacementSlack is the largest excess, in cost, of a customer's virtual service counter
	// over the lowest one at which the customer's request may still be granted first, because
	// a target in its data centre or with its prompt prefix in cache is free.
	PlacementSlack Cost
	// QueuePerCustomer and QueuePerRouter bound the number of requests waiting at one router.
	QueuePerCustomer int
	QueuePerRouter   int
	// QueueBytesPerRouter bounds the total body size of the requests waiting at one router.
	QueueBytesPerRouter ByteSize
	// MaxBody is the largest request body accepted.
	MaxBody ByteSize
	// ConnectionsPerCustomer bounds the concurrent requests of one customer at one router.
	ConnectionsPerCustomer int
	// StandingSlots is the number of slots of each warm target that standing grants may hold.
	StandingSlots Slots
	// ReturnRamp is the time over which the load of a data centre is ramped up after it
	// returns to service.
	ReturnRamp time.Duration
	// QuarantineFor is how long a request that crashed two targets is refused.
	QuarantineFor time.Duration
	// RetryBudgetPercent is the number of retries allowed per hundred successes.
	RetryBudgetPercent int
	// LedgerRetention is how long the ledger keeps the end of a run-once call.
	LedgerRetention time.Duration
	// HostsValidity is how long callers may cache the list of routers to use.
	HostsValidity time.Duration
}

// CustomerNames returns the names of all customers, sorted.
func (f *Fleet) CustomerNames() []CustomerName {
	names := make([]CustomerName, 0, len(f.Customers))
	for n := range f.Customers {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ServiceNames returns the names of all services, sorted.
func (f *Fleet) ServiceNames() []ServiceName {
	names := make([]ServiceName, 0, len(f.Services))
	for n := range f.Services {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Confirmed is the configuration that a process uses, as last confirmed by the quorum.
type Confirmed struct {
	Version        Version
	Hash           string
	Fleet          *Fleet
	DataCentresOut map[DataCentreName]bool
}
