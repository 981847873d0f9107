// Package rpc connects the fleet's processes by JSON-RPC 2.0 over TCP. Each message is one
// JSON object, and each direction of a connection is one DEFLATE stream unless compression
// is disabled.
//
// A Client maintains one connection to a peer and sends a heartbeat every
// HeartbeatInterval. If a heartbeat is not answered within HeartbeatTimeout, it dials a new
// connection and closes the old one without waiting for it, so an unresponsive connection
// is replaced within HeartbeatTimeout plus the time to dial.
package rpc

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// Intervals and time-outs of connections.
const (
	// HeartbeatInterval is the time between two heartbeats of a connection.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout bounds the time until a heartbeat is answered.
	HeartbeatTimeout = time.Second
	// WriteTimeout bounds one write, so that a peer that has stopped reading cannot block the
	// sender.
	WriteTimeout = 2 * time.Second
	// ReadTimeout bounds the time without data from the peer. Every peer sends or answers
	// heartbeats.
	ReadTimeout = 5 * time.Second
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// RedialInterval is the delay before another attempt to connect.
	RedialInterval = 200 * time.Millisecond
)

// methodPing is the method of heartbeats.
const methodPing = "Ping"

const jsonRPCVersion = "2.0"

// Handler handles the calls and notifications of a peer. The result of a notification is
// discarded. An *Error is sent to the peer with its code; any other error is sent with the
// code for internal errors.
type Handler interface {
	Handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
	return f(ctx, peer, method, params)
}

// Error is a JSON-RPC error, returned by a peer or to be sent to one.
type Error struct {
	// Code is one of the codes of package fleet or of JSON-RPC.
	Code    int64
	Message string
	// Data is the JSON of further data, whose type depends on Code; it may be nil.
	Data json.RawMessage
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// NewError returns an error to be sent to a peer. Data that can't be encoded is left out.
func NewError(code int64, message string, data any) *Error {
	raw, err := json.Marshal(data)
	if err != nil {
		raw = nil
	}
	return &Error{Code: code, Message: message, Data: raw}
}

// ErrDisconnected is returned by calls while there is no connection to the peer. The
// message was not sent.
var ErrDisconnected = errors.New("peer is not connected")

// errClosed is the cause of the loss of a connection that the peer closed, or that failed.
var errClosed = errors.New("connection was closed")

// peer is the other end of one open connection.
type peer struct {
	conn *jsonrpc2.Conn
	// nc is the connection under conn. One call of Write writes one or more whole messages.
	nc net.Conn
}

// peerConfig has what is common to the peers of a Client or Server.
type peerConfig struct {
	traffic      *Traffic
	uncompressed bool
	// budget bounds the messages; nil means no limit.
	budget *bytebudget.Budget
	// spoke is set once the peer has sent a message.
	spoke *atomic.Bool
}

// newPeer starts JSON-RPC on an open connection.
func newPeer(ctx context.Context, nc net.Conn, h Handler, cfg peerConfig) (*peer, error) {
	if err := boundSocket(nc); err != nil {
		return nil, err
	}
	cc, err := wrapConn(&deadlineConn{Conn: nc, traffic: cfg.traffic}, cfg.uncompressed)
	if err != nil {
		return nil, err
	}
	p := &peer{nc: cc}
	owner := bytebudget.OwnerOf("", nc.RemoteAddr().String())
	open := func() *bytebudget.Hold {
		return cfg.budget.Open(clock.Now(), owner, func(bytebudget.Phase) {
			// The connection fails, and the peer connects again.
			_ = nc.Close()
		})
	}
	calls := holdCalls(h, open)
	// Requests can arrive before p.conn is set; handling waits until it is.
	ready := make(chan struct{})
	serve := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		return p.handle(ctx, calls, req)
	}
	stream := newLineStream(cc, open, cfg.spoke, func(method string, params json.RawMessage) {
		<-ready
		// A notification has no reply, so that the sender can't be told of an error.
		_, _ = h.Handle(ctx, p, method, params)
	})
	p.conn = jsonrpc2.NewConn(ctx, stream, &orderedHandler{next: jsonrpc2.HandlerWithError(serve).SuppressErrClosed(), slots: make(chan struct{}, maxCalls)},
		jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	return p, nil
}

// discardLogger discards the output of the JSON-RPC library, which prints a line outside
// the structured log for each closed connection.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// orderedHandler handles notifications one at a time in order of arrival, and each call in
// its own goroutine, at most maxCalls at a time.
type orderedHandler struct {
	next  jsonrpc2.Handler
	slots chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (o *orderedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		o.next.Handle(ctx, conn, req)
		return
	}
	select {
	case o.slots <- struct{}{}:
	case <-conn.DisconnectNotify():
		return
	}
	go func() {
		defer func() { <-o.slots }()
		o.next.Handle(ctx, conn, req)
	}()
}

// handle answers heartbeats, passes all other requests to h, and converts an *Error.
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

// Call implements fleet.Caller. An error that the peer returned is an *Error.
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

// EncodeNotification encodes a notification to be sent by fleet.Subscriber.NotifyEncoded.
func EncodeNotification(method string, params any) (fleet.EncodedNotification, error) {
	text, err := json.Marshal(struct {
		Version string `json:"jsonrpc"`
		Method  string `json:"method"`
		Params  any    `json:"params"`
	}{jsonRPCVersion, method, params})
	return append(text, '\n'), errors.Wrapf(err, "encode %s", method)
}

// NotifyEncoded implements fleet.Subscriber.
func (p *peer) NotifyEncoded(_ context.Context, messages ...fleet.EncodedNotification) error {
	if c, ok := p.nc.(*deadlineConn); ok {
		return errors.Wrap(c.writeAll(messages), "send encoded notifications")
	}
	_, err := p.nc.Write(slices.Concat(messages...))
	return errors.Wrap(err, "send encoded notifications")
}

// ping sends a heartbeat and returns an error unless it is answered in time.
func (p *peer) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	return p.conn.Call(ctx, methodPing, struct{}{}, nil)
}

func (p *peer) close() {
	// The error is ignored: the connection may be closed already.
	_ = p.conn.Close()
}
