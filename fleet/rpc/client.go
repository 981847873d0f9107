package rpc

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// Handler answers what the peer asks; nil when it asks nothing.
	Handler Handler
	// Up, when set, is called after each new connection, with the peer.
	OnConnect func(peer fleet.Caller)
	// Down, when set, is called when no connection is left.
	OnDisconnect func()
	Traffic      *Traffic
	// Plain leaves out compression, which takes 1.24 MB a connection. The server must
	// do the same.
	Uncompressed bool
	Log          *slog.Logger
}

// Client keeps a connection to one peer. It is safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	current *peer
}

// NewClient makes a client; Start begins to connect.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	if cfg.Handler == nil {
		cfg.Handler = HandlerFunc(refuseAll)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{cfg: cfg, ctx: ctx, cancel: cancel}
}

// Start connects in the background and reconnects until Stop.
func (c *Client) Start() {
	c.wg.Add(1)
	go c.run()
}

// Stop closes the connection and returns once everything has ended.
func (c *Client) Stop() {
	c.cancel()
	c.wg.Wait()
}

// Connected says whether a connection exists that answered its last heartbeat.
func (c *Client) Connected() bool { return c.peer() != nil }

// Call implements fleet.Caller.
func (c *Client) Call(ctx context.Context, method string, params, reply any) error {
	p := c.peer()
	if p == nil {
		return ErrDisconnected
	}
	return p.Call(ctx, method, params, reply)
}

// Notify implements fleet.Caller.
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

func (c *Client) run() {
	defer c.wg.Done()
	for c.ctx.Err() == nil {
		p, err := c.dial()
		if err != nil {
			c.setCurrent(nil)
			sleep(c.ctx, RedialInterval)
			continue
		}
		c.setCurrent(p)
		if c.cfg.OnConnect != nil {
			c.cfg.OnConnect(p)
		}
		c.watch(p)
		// A peer that only stopped answering may still hold this connection open;
		// the next one is dialled beside it, so it is closed without waiting.
		go p.close()
	}
	c.setCurrent(nil)
}

// setCurrent exchanges the connection and reports the loss of the last one.
func (c *Client) setCurrent(p *peer) {
	c.mu.Lock()
	lost := c.current != nil && p == nil
	c.current = p
	c.mu.Unlock()
	if lost && c.cfg.OnDisconnect != nil {
		c.cfg.OnDisconnect()
	}
}

func (c *Client) dial() (*peer, error) {
	d := net.Dialer{Timeout: DialTimeout}
	nc, err := d.DialContext(c.ctx, "tcp", c.cfg.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", c.cfg.Address)
	}
	p, err := newPeer(c.ctx, nc, c.cfg.Handler, c.cfg.Traffic, c.cfg.Uncompressed)
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

// watch returns when the connection has ended or missed a heartbeat.
func (c *Client) watch(p *peer) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-p.conn.DisconnectNotify():
			return
		case <-ticker.C:
			if err := p.ping(c.ctx); err != nil {
				return
			}
		}
	}
}

func refuseAll(context.Context, fleet.Caller, string, json.RawMessage) (any, error) {
	return nil, errors.New("method does not exist")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
