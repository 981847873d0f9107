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

// ControlClientConfig configures a ControlClient.
type ControlClientConfig struct {
	// Replicas lists the addresses of the control replicas.
	Replicas []netip.AddrPort
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	// Uncompressed disables compression, see ClientConfig.
	Uncompressed bool
	Log          *slog.Logger
}

// ControlClient sends calls to the control replica that is the leader. All messages of the
// control protocol are idempotent, so a failed call is retried at one replica after another
// until the context ends.
type ControlClient struct {
	clients []*Client
	// leader is the index in clients of the replica to try first.
	leader atomic.Int64
}

// attemptTimeout bounds one attempt of a call at one replica.
const attemptTimeout = time.Second

// retryDelay is the delay before a call is retried once it has failed at all replicas.
const retryDelay = 50 * time.Millisecond

// NewControlClient returns a ControlClient; Start connects it.
func NewControlClient(cfg ControlClientConfig) *ControlClient {
	c := &ControlClient{}
	for _, a := range cfg.Replicas {
		c.clients = append(c.clients, NewClient(ClientConfig{Address: a, Traffic: cfg.Traffic, Uncompressed: cfg.Uncompressed, Log: cfg.Log}))
	}
	return c
}

// Start connects to all replicas in the background.
func (c *ControlClient) Start() {
	for _, cl := range c.clients {
		cl.Start()
	}
}

// Stop closes all connections and returns when all clients have stopped.
func (c *ControlClient) Stop() {
	for _, cl := range c.clients {
		cl.Stop()
	}
}

// Call sends a request to the leader and decodes its reply. Errors with
// fleet.CodeInvalid are returned at once; after any other error the call is retried at the
// next replica until ctx ends.
func (c *ControlClient) Call(ctx context.Context, method string, params, reply any) error {
	var lastErr error
	for attempt := 0; ; attempt++ {
		i := int(c.leader.Load()) % len(c.clients)
		err := c.callReplica(ctx, i, method, params, reply)
		var e *Error
		if err == nil || errors.As(err, &e) && e.Code == fleet.CodeInvalid {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrapf(preferReplyError(lastErr, err), "no control replica answered %s in time", method)
		}
		lastErr = err
		c.leader.CompareAndSwap(int64(i), int64((i+1)%len(c.clients)))
		if attempt%len(c.clients) == len(c.clients)-1 {
			sleep(ctx, retryDelay)
		}
	}
}

// Notify implements fleet.Caller. It always fails: the control protocol has no
// notifications.
func (c *ControlClient) Notify(context.Context, string, any) error {
	return errors.New("the control protocol has no notifications")
}

// Replica returns the client of the replica with index i in ControlClientConfig.Replicas,
// for calls that a replica answers without a quorum.
func (c *ControlClient) Replica(i int) *Client { return c.clients[i] }

// callReplica calls replica i once and checks the reply.
func (c *ControlClient) callReplica(ctx context.Context, i int, method string, params, reply any) error {
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

// preferReplyError returns the error of the previous attempt if there is one, else err. The
// error of the last attempt may contain no more than that the caller's context ended.
func preferReplyError(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
