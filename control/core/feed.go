package core

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// followPeer starts to follow the feed of another control host.
func (c *Core) followPeer(addr netip.AddrPort, peer fleet.Caller) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req := fleet.JoinRequest{Host: c.host, Role: fleet.RoleControl, DataCentre: c.cfg.DataCentre}
	var reply fleet.JoinReply
	if err := peer.Call(ctx, fleet.MethodJoin, &req, &reply); err != nil {
		c.cfg.Log.Warn(logevent.JoinFailed, "peer", addr.String(), "error", err)
	}
}

// handle handles the calls of routers and other control hosts. A panic under a message of the
// quorum ends the process: its state may break an invariant by then.
func (c *Core) handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	if fleet.IsFeedMethod(method) {
		return c.feed.Handle(ctx, peer, method, params)
	}
	if method == fleet.MethodStartRollout {
		if reply, handled, err := c.handleOrder(ctx, params); handled {
			return reply, err
		}
	}
	return c.clients.Handle(ctx, peer, method, params)
}

// handleFeed handles the messages of the feed.
func (c *Core) handleFeed(_ context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodJoin:
		var r fleet.JoinRequest
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		subscriber, ok := peer.(fleet.Subscriber)
		if !ok {
			return nil, rpc.NewError(fleet.CodeInvalid, "the connection can't carry a feed", nil)
		}
		c.hub.join(subscriber, r)
		return &fleet.JoinReply{Host: c.host}, nil
	case fleet.MethodLoad:
		var r fleet.RouterLoad
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		c.hub.recordReport(peer, &r)
		now := c.cfg.Clock.Now()
		c.rollouts.addReport(now, &r)
		c.loads.addReport(now, r)
		return nil, nil
	case fleet.MethodTargets:
		n, invalid, err := fleet.DecodeTargetsNotice(params)
		if err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		for _, err := range invalid {
			c.cfg.Log.Warn(logevent.AnnouncementRefused, "error", err)
		}
		c.mergeNotice(n)
		return nil, nil
	case fleet.MethodStreamsBegun:
		var b fleet.StreamsBegun
		if err := fleet.Decode(params, &b); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		c.origins.add(&b)
		return nil, nil
	case fleet.MethodStreamOrigin:
		var r fleet.StreamOriginRequest
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		return c.origins.find(&r), nil
	case fleet.MethodSoleVersion:
		var r fleet.SoleVersionRequest
		if err := fleet.Decode(params, &r); err != nil {
			return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
		}
		return c.soleVersion(&r), nil
	case fleet.MethodConfig:
		c.mu.Lock()
		defer c.mu.Unlock()
		return &fleet.ConfigReply{NumberedConfig: c.state.Config}, nil
	case fleet.MethodNotice, fleet.MethodDigest:
		return nil, nil
	}
	return nil, rpc.NewError(fleet.CodeInvalid, "method does not exist", nil)
}
