package rpc

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// Handler handles the requests of the peer. All are rejected if it is nil.
	Handler Handler
	// OnConnect, if set, is called after each new connection.
	OnConnect func(peer fleet.Caller)
	// OnDisconnect, if set, is called when no connection is left, with the cause.
	OnDisconnect func(cause error)
	// Traffic counts the bytes of the connections; it may be nil.
	Traffic *Traffic
	// Uncompressed disables compression, which needs 1.24 MB of memory per connection. Client
	// and server must have the same setting.
	Uncompressed bool
	// Budget bounds the messages of the peer that are held; nil means no limit.
	Budget *bytebudget.Budget
	Log    *slog.Logger
}

// Client maintains a connection to one peer and reconnects when it is lost. It is safe for
// concurrent use.
type Client struct {
	cfg    ClientConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	current *peer
}

// NewClient returns a client; Start connects it.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	if cfg.Handler == nil {
		cfg.Handler = HandlerFunc(rejectAll)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{cfg: cfg, ctx: ctx, cancel: cancel}
}

// Start connects in the background and reconnects until Stop.
func (c *Client) Start() {
	c.wg.Add(1)
	go c.run()
}

// Stop closes the connection and returns when the client's goroutine has ended.
func (c *Client) Stop() {
	c.cancel()
	c.wg.Wait()
}

// Connected reports whether there is a connection whose last heartbeat was answered.
func (c *Client) Connected() bool { return c.peer() != nil }

// Call implements fleet.Caller. It returns ErrDisconnected if there is no connection.
func (c *Client) Call(ctx context.Context, method string, params, reply any) error {
	p := c.peer()
	if p == nil {
		return ErrDisconnected
	}
	return p.Call(ctx, method, params, reply)
}

// Notify implements fleet.Caller. It returns ErrDisconnected if there is no connection.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	p := c.peer()
	if p == nil {
		return ErrDisconnected
	}
	return p.Notify(ctx, method, params)
}

func (c *Client) peer() *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// run connects, and reconnects whenever the connection is lost, until Stop.
func (c *Client) run() {
	defer c.wg.Done()
	var cause error
	for c.ctx.Err() == nil {
		p, err := c.dial()
		if err != nil {
			c.setCurrent(nil, cause)
			sleep(c.ctx, RedialInterval)
			continue
		}
		c.setCurrent(p, nil)
		if c.cfg.OnConnect != nil {
			c.cfg.OnConnect(p)
		}
		cause = c.monitor(p)
		// A peer that no longer answers may keep this connection open. Closing it must not
		// delay the next one.
		go p.close()
	}
	c.setCurrent(nil, c.ctx.Err())
}

// setCurrent replaces the current connection. If p is nil and there was a connection, it
// calls OnDisconnect with the cause of its end.
func (c *Client) setCurrent(p *peer, cause error) {
	c.mu.Lock()
	disconnected := c.current != nil && p == nil
	c.current = p
	c.mu.Unlock()
	if disconnected && c.cfg.OnDisconnect != nil {
		c.cfg.OnDisconnect(cause)
	}
}

// dial opens a connection and returns it once a first heartbeat has been answered.
func (c *Client) dial() (*peer, error) {
	d := net.Dialer{Timeout: DialTimeout}
	nc, err := d.DialContext(c.ctx, "tcp", c.cfg.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", c.cfg.Address)
	}
	p, err := newPeer(c.ctx, nc, c.cfg.Handler, peerConfig{traffic: c.cfg.Traffic, uncompressed: c.cfg.Uncompressed, budget: c.cfg.Budget, spoke: &atomic.Bool{}})
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	if err := p.ping(c.ctx); err != nil {
		go p.close()
		return nil, errors.Wrapf(err, "heartbeat of %s", c.cfg.Address)
	}
	return p, nil
}

// monitor sends heartbeats and returns the cause when the connection has ended, a heartbeat was
// not answered in time, or the client is stopped.
func (c *Client) monitor(p *peer) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-p.conn.DisconnectNotify():
			return errClosed
		case <-ticker.C:
			if err := p.ping(c.ctx); err != nil {
				return errors.Wrap(err, "heartbeat")
			}
		}
	}
}

// rejectAll is the handler of a client that has none configured.
func rejectAll(context.Context, fleet.Caller, string, json.RawMessage) (any, error) {
	return nil, errors.New("method does not exist")
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
