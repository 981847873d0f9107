package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const (
	// requestTimeout limits a request to the quorum with all its attempts. Operators try
	// another host after 1 s.
	requestTimeout = 900 * time.Millisecond
	// attemptTimeout limits one attempt.
	attemptTimeout = 600 * time.Millisecond
	// retryDelay is the time between two attempts.
	retryDelay = 30 * time.Millisecond
)

// ErrUnavailable is returned if no majority answered in time. A requested change may still
// be committed later.
var ErrUnavailable = errors.New("no majority of the control hosts answered in time")

// PutConfig proposes a configuration and, once that is durable, returns the number of the
// configuration in force. It fails with ErrUnavailable, or with a *rpc.Error of
// fleet.CodeInvalid if the request is refused.
func (c *Core) PutConfig(ctx context.Context, config fleet.NumberedConfig) (fleet.ConfigNumber, error) {
	req := &fleet.PutConfigRequest{NumberedConfig: config}
	var reply fleet.PutConfigReply
	err := c.submit(ctx, fleet.MethodPutConfig, registry.Request{PutConfig: req}, req, &reply)
	return reply.Number, err
}

// ReadConfig returns a configuration at least as new as any that was acknowledged before
// the call (a linearizable read). Its number is 0 if there is none yet. It fails with
// ErrUnavailable.
func (c *Core) ReadConfig(ctx context.Context) (fleet.NumberedConfig, error) {
	c.mu.Lock()
	known := c.state.Config
	c.mu.Unlock()
	req := &fleet.ReadConfigRequest{Known: known.Number}
	var reply fleet.ReadConfigReply
	if err := c.submit(ctx, fleet.MethodReadConfig, registry.Request{ReadConfig: req}, req, &reply); err != nil {
		return fleet.NumberedConfig{}, err
	}
	if reply.Number == known.Number {
		return known, nil
	}
	return reply.NumberedConfig, nil
}

// SetOut takes a data centre out of service or brings it back, and returns once that is
// durable. It fails like PutConfig.
func (c *Core) SetOut(ctx context.Context, dc fleet.DataCentreName, out bool) error {
	return retry(ctx, fleet.MethodSetOut, func(ctx context.Context) error {
		base, err := c.readOutRevision(ctx)
		if err != nil {
			return err
		}
		// The operator may have given the order up while this host was suspended or waited for
		// the revision.
		if err := ctx.Err(); err != nil {
			return err
		}
		req := &fleet.SetOutRequest{DataCentre: dc, Out: out, Base: &base}
		return c.submitOnce(ctx, fleet.MethodSetOut, registry.Request{SetOut: req}, req, &fleet.SetOutReply{})
	})
}

// readOutRevision returns the revision of the data centres out of service. It includes all
// orders that were acknowledged before the call.
func (c *Core) readOutRevision(ctx context.Context) (fleet.OutRevision, error) {
	c.mu.Lock()
	known := c.state.Config.Number
	c.mu.Unlock()
	req := &fleet.ReadConfigRequest{Known: known}
	var reply fleet.ReadConfigReply
	err := c.submitOnce(ctx, fleet.MethodReadConfig, registry.Request{ReadConfig: req}, req, &reply)
	return reply.OutRevision, err
}

// submit sends a request to the leader, which may be this host, and retries like retry. A
// request may be committed after submit has returned, or twice; it must therefore have no
// effect once a newer one has been committed.
func (c *Core) submit(ctx context.Context, method string, r registry.Request, params fleet.Checker, reply any) error {
	return retry(ctx, method, func(ctx context.Context) error { return c.submitOnce(ctx, method, r, params, reply) })
}

// retry calls attempt until it succeeds, the request is refused as invalid or for an unknown
// service, or requestTimeout has passed.
func retry(ctx context.Context, method string, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var lastErr error
	for {
		err := attempt(ctx)
		var refused *rpc.Error
		if err == nil || errors.Is(err, ErrUnknownService) || errors.As(err, &refused) && refused.Code == fleet.CodeInvalid {
			return err
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ErrUnavailable, "%s: %v", method, lastErr)
		case <-timer.C:
		}
	}
}

// submitOnce submits a request to this host's replica and, if that is not the leader, to
// the leader that it names.
func (c *Core) submitOnce(ctx context.Context, method string, r registry.Request, params fleet.Checker, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a, err := c.shell.Submit(ctx, r)
	if err != nil {
		return err
	}
	if a.Failure == nil {
		return copyReply(reply, a.Reply)
	}
	if a.Failure.Code != fleet.CodeNotLeader || a.Failure.Leader == "" {
		return &rpc.Error{Code: a.Failure.Code, Message: a.Failure.Message}
	}
	addr, ok := addressOf(a.Failure.Leader)
	if !ok {
		return errors.Errorf("leader %q has no address", a.Failure.Leader)
	}
	client := c.clientSet.Client(addr)
	if client == nil {
		return rpc.ErrDisconnected
	}
	return client.Call(ctx, method, params, reply)
}

// copyReply copies a reply of this host's own replica to the caller's reply.
func copyReply(to, from any) error {
	switch to := to.(type) {
	case *fleet.PutConfigReply:
		if r, ok := from.(*fleet.PutConfigReply); ok {
			*to = *r
			return nil
		}
	case *fleet.ReadConfigReply:
		if r, ok := from.(*fleet.ReadConfigReply); ok {
			*to = *r
			return nil
		}
	case *fleet.SetOutReply:
		if r, ok := from.(*fleet.SetOutReply); ok {
			*to = *r
			return nil
		}
	case *fleet.StartRolloutReply:
		if r, ok := from.(*fleet.StartRolloutReply); ok {
			*to = *r
			return nil
		}
	case *fleet.ReadRolloutsReply:
		if r, ok := from.(*fleet.ReadRolloutsReply); ok {
			*to = *r
			return nil
		}
	}
	return errors.Errorf("reply is a %T", from)
}
