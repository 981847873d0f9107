package core

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/packed"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

var (
	// ErrUnknownService is returned for an order of a service that the configuration in force
	// does not have.
	ErrUnknownService = errors.New("the configuration in force has no such service")
	// ErrRolloutConflict is returned for an order while another version is being rolled out.
	ErrRolloutConflict = errors.New("another version is being rolled out")
	// errNoConfig is returned while the services are not known.
	errNoConfig = errors.New("there is no configuration yet")
)

// serviceCache has the services of the newest configuration that was asked for.
type serviceCache struct {
	mu       sync.Mutex
	number   fleet.ConfigNumber
	services []fleet.ServiceName
}

// list returns the services of a configuration.
func (s *serviceCache) list(config *fleet.NumberedConfig, decode func([]byte) ([]fleet.ServiceName, error)) ([]fleet.ServiceName, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.number == config.Number {
		return s.services, nil
	}
	text, err := packed.Decompress(config.Text)
	if err != nil {
		return nil, err
	}
	services, err := decode(text)
	if err != nil {
		return nil, err
	}
	s.number, s.services = config.Number, services
	return services, nil
}

// hasService reports whether the configuration that this host knows has a service. It reports true
// if this is not known.
func (c *Core) hasService(name fleet.ServiceName) bool {
	c.mu.Lock()
	config := c.state.Config
	c.mu.Unlock()
	if config.Number == 0 || c.cfg.Services == nil {
		return true
	}
	services, err := c.services.list(&config, c.cfg.Services)
	if err != nil {
		c.cfg.Log.Error(logevent.ConfigFetchFailed, logevent.FieldNumber, int64(config.Number), logevent.FieldError, err)
		return true
	}
	return slices.Contains(services, name)
}

// checkService returns ErrUnknownService unless a configuration at least as new as number has the
// service.
func (c *Core) checkService(ctx context.Context, number fleet.ConfigNumber, name fleet.ServiceName) error {
	if c.cfg.Services == nil {
		return nil
	}
	c.mu.Lock()
	config := c.state.Config
	c.mu.Unlock()
	if config.Number < number {
		var err error
		if config, err = c.ReadConfig(ctx); err != nil {
			return err
		}
	}
	if config.Number == 0 {
		return errNoConfig
	}
	services, err := c.services.list(&config, c.cfg.Services)
	if err != nil {
		return err
	}
	if !slices.Contains(services, name) {
		return errors.Wrapf(ErrUnknownService, "service %q", name)
	}
	return nil
}

// StartRollout orders a roll-out, and returns it once the order is durable. An order that repeats
// the one in progress returns that. It fails with ErrUnknownService, ErrRolloutConflict,
// ErrUnavailable, or a *rpc.Error of fleet.CodeInvalid.
func (c *Core) StartRollout(ctx context.Context, order fleet.StartRolloutRequest) (fleet.Rollout, error) {
	if err := order.Check(); err != nil {
		return fleet.Rollout{}, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
	}
	var reply fleet.StartRolloutReply
	err := retry(ctx, fleet.MethodStartRollout, func(ctx context.Context) error {
		var err error
		reply, err = c.orderRollout(ctx, order)
		return err
	})
	if err == nil && reply.Conflict {
		err = errors.Wrapf(ErrRolloutConflict, "service %q to %q", reply.Rollout.Service, reply.Rollout.To)
	}
	return reply.Rollout, err
}

// orderRollout makes one attempt at an order, based on the newest state.
func (c *Core) orderRollout(ctx context.Context, order fleet.StartRolloutRequest) (reply fleet.StartRolloutReply, err error) {
	var known fleet.ReadRolloutsReply
	req := &fleet.ReadRolloutsRequest{}
	if err := c.submitOnce(ctx, fleet.MethodReadRollouts, registry.Request{ReadRollouts: req}, req, &known); err != nil {
		return reply, err
	}
	newest, _ := known.Find(order.Service)
	if repeated := newest.State == fleet.RolloutActive && newest.To == order.To; !repeated {
		if err := c.checkService(ctx, known.Config, order.Service); err != nil {
			return reply, err
		}
	}
	// The operator may have given the order up while this host was suspended or waited for the
	// state.
	if err := ctx.Err(); err != nil {
		return reply, err
	}
	order.Base = &fleet.RolloutBase{Number: newest.Number, Revision: newest.Revision}
	order.Share = 0
	if c.isAlone(order.Service, order.To) || c.hasMoved(&newest, order.To) {
		order.Share = 1
	}
	err = c.submitOnce(ctx, fleet.MethodStartRollout, registry.Request{StartRollout: &order}, &order, &reply)
	return reply, err
}

// hasMoved reports whether a service has moved to a version completely, and has no other targets.
func (c *Core) hasMoved(newest *fleet.Rollout, to fleet.SoftwareVersion) bool {
	newTargets, oldTargets := c.countVersions(newest)
	return newest.State == fleet.RolloutCompleted && newest.To == to && newTargets > 0 && oldTargets == 0
}

// ReadRollouts returns the newest roll-out of each service, at least as new as all that was
// acknowledged or returned before the call (a linearizable read). It fails with ErrUnavailable.
func (c *Core) ReadRollouts(ctx context.Context) (fleet.ReadRolloutsReply, error) {
	var reply fleet.ReadRolloutsReply
	req := &fleet.ReadRolloutsRequest{}
	err := c.submit(ctx, fleet.MethodReadRollouts, registry.Request{ReadRollouts: req}, req, &reply)
	return reply, err
}

// handleOrder handles an order that did not come by way of another control host. It reports false
// for one that did.
func (c *Core) handleOrder(ctx context.Context, params json.RawMessage) (reply *fleet.StartRolloutReply, handled bool, err error) {
	var order fleet.StartRolloutRequest
	if err := fleet.Decode(params, &order); err != nil {
		return nil, true, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
	}
	if order.Base != nil {
		return nil, false, nil
	}
	r, err := c.StartRollout(ctx, order)
	var refused *rpc.Error
	switch {
	case err == nil:
		return &fleet.StartRolloutReply{Rollout: r}, true, nil
	case errors.Is(err, ErrRolloutConflict):
		return &fleet.StartRolloutReply{Rollout: r, Conflict: true}, true, nil
	case errors.Is(err, ErrUnknownService):
		return nil, true, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
	case errors.As(err, &refused):
		return nil, true, err
	}
	return nil, true, rpc.NewError(fleet.CodeUnavailable, err.Error(), nil)
}
