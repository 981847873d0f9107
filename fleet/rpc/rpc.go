// Package rpc connects the fleet's processes by JSON-RPC 2.0 over TCP, one JSON object
// a message, compressed by one DEFLATE stream each way.
//
// A Client keeps one connection to a peer. It sends a heartbeat every
// HeartbeatInterval; when one is missed it dials a new connection beside the old
// one and drops the old one, so a connection that went silent is replaced within
// HeartbeatTimeout plus the time to dial.
package rpc

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Timing of connections.
const (
	// HeartbeatInterval is the time between two heartbeats of a connection.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is how long the answer to a heartbeat may take.
	HeartbeatTimeout = time.Second
	// WriteTimeout bounds one write, so that a peer that stopped reading blocks no one.
	WriteTimeout = 2 * time.Second
	// ReadTimeout bounds the silence of a peer, which sends or answers heartbeats.
	ReadTimeout = 5 * time.Second
	// DialTimeout bounds the dialling of a connection.
	DialTimeout = time.Second
	// RedialInterval is the time between two attempts to connect.
	RedialInterval = 200 * time.Millisecond
)

const methodPing = "Ping"

// Handler answers the requests of a peer. For notifications the result is dropped.
// An *Error is returned to the peer with its code; other errors get CodeInternal.
type Handler interface {
	Handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	return f(ctx, peer, method, params)
}

// Error is an error that a peer returned.
type Error struct {
	Code    int64
	Message string
	// Data is decoded into by the caller that knows the code; it may be nil.
	Data json.RawMessage
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// NewError makes an error with a code and data to return to a peer.
func NewError(code int64, message string, data any) *Error {
	raw, err := json.Marshal(data)
	if err != nil {
		raw = nil
	}
	return &Error{Code: code, Message: message, Data: raw}
}

// ErrDisconnected is returned by calls while no connection to the peer exists. The
// message was not sent.
var ErrDisconnected = errors.New("peer is not connected")

// peer is one open connection.
type peer struct {
	conn *jsonrpc2.Conn
}

func newPeer(ctx context.Context, nc net.Conn, h Handler, bytes *Traffic, plain bool) (*peer, error) {
	cc, err := codedConn(&timedConn{Conn: nc, traffic: bytes}, plain)
	if err != nil {
		return nil, err
	}
	p := &peer{}
	ready := make(chan struct{})
	serve := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		return p.handle(ctx, h, req)
	}
	stream := jsonrpc2.NewPlainObjectStream(cc)
	p.conn = jsonrpc2.NewConn(ctx, stream, &ordered{handle: jsonrpc2.HandlerWithError(serve).SuppressErrClosed()},
		jsonrpc2.SetLogger(discard{}))
	close(ready)
	return p, nil
}

// discard drops what the library would print: every connection that ends is one line
// outside of the structured log, and its end is handled here anyway.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}

// ordered handles notifications in the order of their arrival and calls concurrently.
type ordered struct {
	handle jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler.
func (o *ordered) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		o.handle.Handle(ctx, conn, req)
		return
	}
	go o.handle.Handle(ctx, conn, req)
}

func (p *peer) handle(ctx context.Context, h Handler, req *jsonrpc2.Request) (any, error) {
	if req.Method == methodPing {
		return struct{}{}, nil
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h.Handle(ctx, p, req.Method, params)
	var e *Error
	if errors.As(err, &e) {
		wire := &jsonrpc2.Error{Code: e.Code, Message: e.Message}
		if e.Data != nil {
			wire.Data = &e.Data
		}
		return nil, wire
	}
	return result, err
}

// Call implements fleet.Caller.
func (p *peer) Call(ctx context.Context, method string, params, reply any) error {
	err := p.conn.Call(ctx, method, params, reply)
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		e := &Error{Code: wire.Code, Message: wire.Message}
		if wire.Data != nil {
			e.Data = *wire.Data
		}
		return e
	}
	if err != nil {
		return errors.Wrapf(err, "call %s", method)
	}
	if c, ok := reply.(fleet.Checker); ok {
		return errors.Wrapf(c.Check(), "reply to %s", method)
	}
	return nil
}

// Notify implements fleet.Caller.
func (p *peer) Notify(ctx context.Context, method string, params any) error {
	return errors.Wrapf(p.conn.Notify(ctx, method, params), "notify %s", method)
}

func (p *peer) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	return p.conn.Call(ctx, methodPing, struct{}{}, nil)
}

func (p *peer) close() {
	// The connection may be closed already; nothing depends on which side was first.
	_ = p.conn.Close()
}
