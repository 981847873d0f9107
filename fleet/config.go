package fleet

import (
	"sort"
	"time"
)

// Fleet is a parsed and checked fleet text. Package fleettext makes it.
type Fleet struct {
	Region      RegionName
	DataCentres []DataCentreName
	Services    map[ServiceName]Service
	Customers   map[CustomerName]Customer
	Policy      Policy
}

// Protocol is what the targets of a service speak.
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
	// DependsOn lists the services without which this one is refused.
	DependsOn []ServiceName
	// Idempotent lists "METHOD /path" patterns of calls that may be repeated; a path
	// may end in "*". All other calls run at most once and need an idempotency key.
	Idempotent []string
	// ChecksFencing says whether its targets refuse orders with an old fencing number.
	ChecksFencing bool
	// MaxCost is the largest cost that one request may have.
	MaxCost Cost
	// MinSlots is the announced capacity below which a data centre must not leave.
	MinSlots Slots
	// RequestTimeout bounds a whole request; IdleTimeout the silence within an answer.
	RequestTimeout time.Duration
	IdleTimeout    time.Duration
	// QueueTimeout bounds the wait for a grant.
	QueueTimeout time.Duration
}

// Customer is a customer of the fleet.
type Customer struct {
	Name   CustomerName
	Weight Weight
	// KeyHash is the lower-case hex SHA-256 of its bearer key.
	KeyHash string
}

// Policy holds the trade-offs that the users of a fleet chose.
type Policy struct {
	// PlacementSlack is how much later, in cost of the customer's counter, a request may
	// be granted for the sake of its data centre or prompt prefix.
	PlacementSlack Cost
	// QueuePerCustomer and QueuePerRouter bound waiting requests at one router.
	QueuePerCustomer int
	QueuePerRouter   int
	// QueueBytesPerRouter bounds the bodies of waiting requests at one router.
	QueueBytesPerRouter ByteSize
	// MaxBody is the largest request body.
	MaxBody ByteSize
	// ConnectionsPerCustomer bounds concurrent requests of a customer at one router.
	ConnectionsPerCustomer int
	// StandingSlots is how many slots of each warm target may be held by standing grants.
	StandingSlots Slots
	// ReturnRamp is the time over which a data centre that comes back is loaded.
	ReturnRamp time.Duration
	// QuarantineFor is how long a request that crashed two targets is barred.
	QuarantineFor time.Duration
	// RetryBudgetPercent is the number of retries allowed per hundred successes.
	RetryBudgetPercent int
	// LedgerRetention is how long the end of a call that may run once is kept.
	LedgerRetention time.Duration
	// HostsValidity is how long callers keep the answer to which hosts to use.
	HostsValidity time.Duration
}

// CustomerNames returns the customers in order of their names.
func (f *Fleet) CustomerNames() []CustomerName {
	names := make([]CustomerName, 0, len(f.Customers))
	for n := range f.Customers {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ServiceNames returns the services in order of their names.
func (f *Fleet) ServiceNames() []ServiceName {
	names := make([]ServiceName, 0, len(f.Services))
	for n := range f.Services {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Confirmed is the configuration that a process runs under.
type Confirmed struct {
	Version        Version
	Hash           string
	Fleet          *Fleet
	DataCentresOut map[DataCentreName]bool
}
