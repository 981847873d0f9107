package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// RolloutNumber identifies a roll-out. It grows with each order in the fleet.
type RolloutNumber uint64

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of roll-outs. A roll-out that has ended does not change any more.
const (
	RolloutActive    RolloutState = "Active"
	RolloutCompleted RolloutState = "Completed"
	RolloutReverted  RolloutState = "Reverted"
)

// Rollout moves the requests for a service to targets with another software version.
type Rollout struct {
	Service ServiceName
	// To is the software version of the new targets.
	To     SoftwareVersion
	Number RolloutNumber
	// Revision grows with each change of this roll-out, from 1.
	Revision uint64
	State    RolloutState
	// Share is the fraction of the service's requests that go to the new targets, 0 to 1.
	Share float64
	// Duration is the time limit of the order.
	Duration time.Duration
	// Left is the time to the limit when the message was made; negative after the limit.
	Left time.Duration
}

// Check implements Checker.
func (r *Rollout) Check() error {
	switch r.State {
	case RolloutActive, RolloutCompleted, RolloutReverted:
	default:
		return errors.Errorf("the state of the roll-out of service %q is %q", r.Service, r.State)
	}
	if r.To == "" {
		return errors.Errorf("the roll-out of service %q names no version", r.Service)
	}
	if r.Number == 0 || r.Revision == 0 {
		return errors.Errorf("the roll-out of service %q has number %d and revision %d; both start at 1", r.Service, r.Number, r.Revision)
	}
	if !(r.Share >= 0 && r.Share <= 1) {
		return errors.Errorf("the share of the roll-out of service %q is %g; it must be from 0 to 1", r.Service, r.Share)
	}
	return CheckName("Service", string(r.Service))
}

// SlownessBuckets is the number of buckets of VersionOutcomes.Slowness.
const SlownessBuckets = 8

// VersionOutcomes has what a router saw, since its last report, of the requests on one route to
// the targets of one side of an active roll-out.
type VersionOutcomes struct {
	Service  ServiceName   `json:"S"`
	Number   RolloutNumber `json:"N"`
	Revision uint64        `json:"V"`
	// Route is empty for Running, which covers all routes.
	Route string `json:"R,omitempty"`
	// New is true for the targets with the new version.
	New     bool `json:"W,omitempty"`
	Answers int  `json:"A,omitempty"`
	// Bad is the number of Answers that were failures or broke off.
	Bad int `json:"B,omitempty"`
	// Slowness counts the answers by their time to the first byte as a multiple of the expected
	// one: bucket i has those below 2^(i-1), and the last bucket all others.
	Slowness [SlownessBuckets]int `json:"X,omitzero"`
	// Running is the number of requests now at the targets.
	Running int `json:"G,omitempty"`
}

// Check implements Checker.
func (o *VersionOutcomes) Check() error {
	if o.Answers < 0 || o.Bad < 0 || o.Bad > o.Answers || o.Running < 0 {
		return errors.Errorf("the outcomes of service %q are %d answers, %d of them bad, and %d running", o.Service, o.Answers, o.Bad, o.Running)
	}
	for i, n := range o.Slowness {
		if n < 0 {
			return errors.Errorf("bucket %d of the slowness of service %q is %d; it must not be negative", i, o.Service, n)
		}
	}
	return CheckName("Service", string(o.Service))
}
