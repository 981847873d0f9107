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
	// askTimeout bounds a request to the quorum. Operators ask another host after 1 s.
	askTimeout = 900 * time.Millisecond
	// askAttempt bounds one attempt at one leader.
	askAttempt = 600 * time.Millisecond
	// askPause is the time between two attempts.
	askPause = 30 * time.Millisecond
)

// ErrUnavailable tells that no majority answered in time. A change may still be made.
var ErrUnavailable = errors.New("no majority of the control hosts answered in time")

// PutConfig proposes a configuration and returns the number in force once that is durable.
func (c *Core) PutConfig(ctx context.Context, config fleet.NumberedConfig) (fleet.ConfigNumber, error) {
	req := &fleet.PutConfigRequest{NumberedConfig: config}
	var reply fleet.PutConfigReply
	err := c.ask(ctx, fleet.MethodPutConfig, registry.Request{PutConfig: req}, req, &reply)
	return reply.Number, err
}

// ReadConfig returns the configuration that no acknowledged change had overtaken when
// the call began. Its number is 0 when there is none yet.
func (c *Core) ReadConfig(ctx context.Context) (fleet.NumberedConfig, error) {
	c.mu.Lock()
	held := c.state.Config
	c.mu.Unlock()
	req := &fleet.ReadConfigRequest{Known: held.Number}
	var reply fleet.ReadConfigReply
	if err := c.ask(ctx, fleet.MethodReadConfig, registry.Request{ReadConfig: req}, req, &reply); err != nil {
		return fleet.NumberedConfig{}, err
	}
	if reply.Number == held.Number {
		return held, nil
	}
	return reply.NumberedConfig, nil
}

// SetOut takes a data centre out of service or brings it back.
func (c *Core) SetOut(ctx context.Context, dc fleet.DataCentreName, out bool) error {
	req := &fleet.SetOutRequest{DataCentre: dc, Out: out}
	var reply fleet.SetOutReply
	return c.ask(ctx, fleet.MethodSetOut, registry.Request{SetOut: req}, req, &reply)
}

// ask puts a request to the leader, this host or another. All requests may be repeated.
func (c *Core) ask(ctx context.Context, method string, r registry.Request, params fleet.Checker, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var last error
	for {
		err := c.attempt(ctx, method, r, params, reply)
		var refused *rpc.Error
		if err == nil || errors.As(err, &refused) && refused.Code == fleet.CodeInvalid {
			return err
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		timer := time.NewTimer(askPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ErrUnavailable, "%s: %v", method, last)
		case <-timer.C:
		}
	}
}

// attempt asks this host, and the leader that it names.
func (c *Core) attempt(ctx context.Context, method string, r registry.Request, params fleet.Checker, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, askAttempt)
	defer cancel()
	a, err := c.shell.Submit(ctx, r)
	if err != nil {
		return err
	}
	if a.Failure == nil {
		return assign(reply, a.Reply)
	}
	if a.Failure.Code != fleet.CodeNotLeader || a.Failure.Leader == "" {
		return &rpc.Error{Code: a.Failure.Code, Message: a.Failure.Message}
	}
	addr, ok := resolve(a.Failure.Leader)
	if !ok {
		return errors.Errorf("leader %q has no address", a.Failure.Leader)
	}
	client := c.mesh.Client(addr)
	if client == nil {
		return rpc.ErrDisconnected
	}
	return client.Call(ctx, method, params, reply)
}

// assign copies the reply of this host's own replica.
func assign(to, from any) error {
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
	}
	return errors.Errorf("reply is a %T", from)
}
