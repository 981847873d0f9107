package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// LeaseName names a lease. That of the dispatchers is "Dispatch/REGION".
type LeaseName string

// LeaseState is a lease as recorded in the replicated log.
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
	// Epoch is the epoch of the lease to renew; 0 acquires the lease.
	Epoch Epoch
	// Duration counts from when the holder sent the request.
	Duration time.Duration
	// Release ends the lease at once.
	Release bool `json:",omitempty"`
}

// Limits of LeaseRequest.Duration.
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

// LeaseReply is the answer to a LeaseRequest. If the lease was refused, Holder is the
// current holder, if any.
type LeaseReply struct {
	Granted bool
	Holder  HostID
	Epoch   Epoch
	// Duration is the requested duration; the holder shortens it with ShortenLease.
	Duration time.Duration
}

// Check implements Checker.
func (*LeaseReply) Check() error { return nil }
