package rpc

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ControlConfig configures a Control.
type ControlClientConfig struct {
	// Replicas lists the addresses of the control replicas.
	Replicas []netip.AddrPort
	Traffic  *Traffic
	Log      *slog.Logger
}

// Control calls whichever control replica leads. Every message of the control
// protocol may be resent, so it tries the replicas in turn until the context ends.
type ControlClient struct {
	clients []*Client
	leader  atomic.Int64
}

// attemptTimeout bounds one call to one replica.
const attemptTimeout = time.Second

// retryPause is the time between two rounds over the replicas.
const retryPause = 50 * time.Millisecond

// NewControl makes a Control; Start connects it.
func NewControlClient(cfg ControlClientConfig) *ControlClient {
	c := &ControlClient{}
	for _, a := range cfg.Replicas {
		c.clients = append(c.clients, NewClient(ClientConfig{Address: a, Traffic: cfg.Traffic, Log: cfg.Log}))
	}
	return c
}

// Start connects to all replicas.
func (c *ControlClient) Start() {
	for _, cl := range c.clients {
		cl.Start()
	}
}

// Stop closes all connections.
func (c *ControlClient) Stop() {
	for _, cl := range c.clients {
		cl.Stop()
	}
}

// Call sends a request to the leader and decodes its reply. Errors with
// fleet.CodeInvalid are returned at once; anything else is tried again at the next
// replica until ctx ends.
func (c *ControlClient) Call(ctx context.Context, method string, params, reply any) error {
	var last error
	for n := 0; ; n++ {
		i := int(c.leader.Load()) % len(c.clients)
		err := c.attempt(ctx, i, method, params, reply)
		var e *Error
		if err == nil || errors.As(err, &e) && e.Code == fleet.CodeInvalid {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrapf(firstOf(last, err), "no control replica answered %s in time", method)
		}
		last = err
		c.leader.CompareAndSwap(int64(i), int64((i+1)%len(c.clients)))
		if n%len(c.clients) == len(c.clients)-1 {
			sleep(ctx, retryPause)
		}
	}
}

// Notify implements fleet.Caller; the control protocol has no notifications.
func (c *ControlClient) Notify(context.Context, string, any) error {
	return errors.New("the control protocol has no notifications")
}

// Replica returns the client of one replica, for calls that are answered without a quorum.
func (c *ControlClient) Replica(i int) *Client { return c.clients[i] }

func (c *ControlClient) attempt(ctx context.Context, i int, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var raw json.RawMessage
	if err := c.clients[i].Call(ctx, method, params, &raw); err != nil {
		return err
	}
	if checker, ok := reply.(fleet.Checker); ok {
		return fleet.Decode(raw, checker)
	}
	return errors.Wrapf(json.Unmarshal(raw, reply), "reply to %s", method)
}

// firstOf prefers an answer of a replica over the end of the caller's patience.
func firstOf(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
