package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// LeaseName names a lease, for dispatchers "Dispatch/REGION".
type LeaseName string

// LeaseState is a lease as the log has it.
type LeaseState struct {
	Name   LeaseName
	Holder HostID
	Epoch  Epoch
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
	MinLeaseDuration = 500 * time.Millisecond
	MaxLeaseDuration = time.Minute
)

// Check implements Checker.
func (r *LeaseRequest) Check() error {
	if r.Duration < MinLeaseDuration || r.Duration > MaxLeaseDuration {
		return errors.Errorf("Duration is %s; %s to %s are allowed", r.Duration, MinLeaseDuration, MaxLeaseDuration)
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
