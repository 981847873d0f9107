package fleet

import (
	"time"

	"github.com/pkg/errors"
)

// RPC methods of control hosts for roll-outs.
const (
	// MethodStartRollout takes a StartRolloutRequest and returns a StartRolloutReply.
	MethodStartRollout = "Control.StartRollout"
	// MethodReadRollouts takes a ReadRolloutsRequest and returns a ReadRolloutsReply.
	MethodReadRollouts = "Control.ReadRollouts"
)

// MaxRolloutDuration is the longest time limit of a roll-out.
const MaxRolloutDuration = 7 * 24 * time.Hour

// RolloutBase names the state of a service's newest roll-out that an order is based on; zero if
// there was none.
type RolloutBase struct {
	Number   RolloutNumber `json:",omitempty"`
	Revision uint64        `json:",omitempty"`
}

// StartRolloutRequest orders a roll-out.
type StartRolloutRequest struct {
	Service  ServiceName
	To       SoftwareVersion
	Duration time.Duration
	// Base is set by the control host that takes the order from an operator, which reads it
	// after the order has arrived. The order has no effect if the service's newest roll-out has
	// changed since, so that an order that was held up on the way does not follow a newer one.
	Base *RolloutBase `json:",omitempty"`
	// Share is the share with which the roll-out begins, also set by that control host: 1 if the
	// service has targets of no other version, since its requests would be refused otherwise,
	// else 0.
	Share float64 `json:",omitempty"`
}

// Check implements Checker.
func (r *StartRolloutRequest) Check() error {
	if r.To == "" {
		return errors.New("To is missing; give the software version of the new targets")
	}
	if len(r.To) > MaxSoftwareVersionBytes {
		return errors.Errorf("To has %d bytes; at most %d are allowed", len(r.To), MaxSoftwareVersionBytes)
	}
	if r.Duration <= 0 || r.Duration > MaxRolloutDuration {
		return errors.Errorf("Duration is %s; it must be more than 0 and at most %s", r.Duration, MaxRolloutDuration)
	}
	if !(r.Share >= 0 && r.Share <= 1) {
		return errors.Errorf("Share is %g; it must be from 0 to 1", r.Share)
	}
	return CheckName("Service", string(r.Service))
}

// StartRolloutReply is the answer to an order, which is durable.
type StartRolloutReply struct {
	// Rollout is the one that the order has begun or repeats, or the one in progress.
	Rollout Rollout
	// Conflict is true if the order was refused because another version is being rolled out.
	Conflict bool `json:",omitempty"`
}

// Check implements Checker.
func (r *StartRolloutReply) Check() error { return r.Rollout.Check() }

// ReadRolloutsRequest asks for the newest roll-out of each service.
type ReadRolloutsRequest struct{}

// Check implements Checker.
func (*ReadRolloutsRequest) Check() error { return nil }

// ReadRolloutsReply has the newest roll-out of each service that had one, by service. They are at
// least as new as all that was acknowledged or shown before the request arrived.
type ReadRolloutsReply struct {
	Rollouts []Rollout `json:",omitempty"`
	// Config is the number of the configuration in force.
	Config ConfigNumber `json:",omitempty"`
}

// Check implements Checker.
func (r *ReadRolloutsReply) Check() error {
	for i := range r.Rollouts {
		if err := r.Rollouts[i].Check(); err != nil {
			return errors.Wrapf(err, "Rollouts[%d]", i)
		}
	}
	return nil
}

// Find returns the newest roll-out of a service; false if it never had one.
func (r *ReadRolloutsReply) Find(service ServiceName) (Rollout, bool) {
	for _, x := range r.Rollouts {
		if x.Service == service {
			return x, true
		}
	}
	return Rollout{}, false
}
