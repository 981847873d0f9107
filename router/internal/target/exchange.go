package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// Request is a caller's request in the form in which it is sent to a target.
type Request struct {
	ID     fleet.RequestID
	Method string
	// Path is the escaped path below the service's root, Query the raw query.
	Path  string
	Query string
	// Header holds end-to-end headers only.
	Header   http.Header
	Body     []byte
	Protocol fleet.Protocol
	// Stream is true if the caller requested a stream of server-sent events from a model.
	Stream bool
}

// Sink receives the response of an Exchange and passes it to the caller.
type Sink interface {
	// Begin is called before anything of the response is passed on.
	Begin()
	// Header takes the status and the end-to-end headers. length is that of the body in
	// bytes, or -1 if unknown.
	Header(status int, h http.Header, length int64) error
	// Write takes the next part of the body and sends it at once.
	Write(p []byte) (int, error)
	// Progress takes the cost so far and the time to the first token, at intervals of
	// progressInterval or more. firstToken is 0 for responses other than streams.
	Progress(spent fleet.Cost, firstToken time.Duration)
}

// Exchange sends one request to targets, one attempt after another, and passes the
// response to a Sink. Abort may be called concurrently, the other methods may not.
type Exchange struct {
	client *Client
	req    Request
	sink   Sink

	start  routing.StartSend
	sentAt time.Time
	// mayHaveSent reports whether bytes of the attempt may have reached the target.
	mayHaveSent bool
	// pendingConn is a connection on which the idle timeout passed before the first
	// byte of the response; WaitOn continues to wait on it.
	pendingConn *targetconn.Conn
	// untilDeadline reports whether the first byte may take until the deadline.
	untilDeadline bool
	response      responseState

	// bodyWritten is closed when a large body has been written; nil if the body was
	// written before the response is read.
	bodyWritten chan struct{}

	mu    sync.Mutex
	conns []*targetconn.Conn
	// aborted is the highest number of an aborted attempt; 0 means none.
	aborted int
	cancel  context.CancelFunc
}

// NewExchange returns an Exchange that passes the response to the sink.
func (c *Client) NewExchange(req Request, sink Sink) *Exchange {
	return &Exchange{client: c, req: req, sink: sink}
}

// Start sends the request under a grant and passes the response on. It returns how the
// attempt ended.
func (x *Exchange) Start(s routing.StartSend) routing.AttemptEnded {
	x.start, x.mayHaveSent, x.untilDeadline, x.sentAt = s, false, false, time.Time{}
	x.response, x.bodyWritten = responseState{record: s.Once}, nil
	ctx, err := x.attemptContext()
	if err != nil {
		return x.attemptEnded(routing.CauseGrantExpired, err)
	}
	c, err := x.connect(ctx, s)
	if err != nil {
		return x.attemptEnded(routing.CauseConnectFailed, err)
	}
	if !x.client.cfg.Clock.Now().Before(s.Until) {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseGrantExpired, nil)
	}
	x.sentAt = x.client.cfg.Clock.Now()
	writeErr := x.writeRequest(c)
	if !x.mayHaveSent {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseConnectFailed, writeErr)
	}
	return x.receive(c, x.targetRequest(s.Address))
}

// attemptContext returns a context that Abort cancels, or an error if the attempt has
// been aborted already.
func (x *Exchange) attemptContext() (context.Context, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.start.Attempt <= x.aborted {
		return nil, context.Canceled
	}
	ctx, cancel := context.WithCancel(context.Background())
	if x.cancel != nil {
		x.cancel()
	}
	x.cancel = cancel
	return ctx, nil
}

// Abort closes the connections of an attempt, so that Start, Resume or WaitOn returns.
func (x *Exchange) Abort(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = max(x.aborted, attempt)
	if x.cancel != nil {
		x.cancel()
	}
	for _, c := range x.conns {
		targetconn.Discard(c)
	}
	x.conns = nil
}

func (x *Exchange) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.start.Attempt <= x.aborted
}

// Close releases the connections that the exchange still holds.
func (x *Exchange) Close() { x.Abort(x.start.Attempt) }

// connect opens a connection. Run-once calls always get a new one, since the loss of an
// idle connection may not have been detected yet.
func (x *Exchange) connect(ctx context.Context, s routing.StartSend) (*targetconn.Conn, error) {
	if !s.Once {
		if c := x.client.pool.Get(s.Address, x.client.cfg.Clock.Now()); c != nil {
			return c, x.register(c)
		}
	}
	c, err := targetconn.Dial(ctx, s.Address, targetconn.Options{Timeout: targetconn.DialTimeout})
	if err != nil {
		return nil, err
	}
	return c, x.register(c)
}

// register adds a connection to those that Abort closes.
func (x *Exchange) register(c *targetconn.Conn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.start.Attempt <= x.aborted {
		targetconn.Discard(c)
		return context.Canceled
	}
	x.conns = append(x.conns, c)
	return nil
}

// unregister removes a connection from those that Abort closes.
func (x *Exchange) unregister(c *targetconn.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range x.conns {
		if x.conns[i] == c {
			x.conns = append(x.conns[:i], x.conns[i+1:]...)
			return
		}
	}
}

func (x *Exchange) closeConn(c *targetconn.Conn) {
	x.unregister(c)
	targetconn.Discard(c)
}

func (x *Exchange) targetRequest(addr netip.AddrPort) *http.Request {
	h := x.req.Header.Clone()
	h.Set(headerRequestID, string(x.req.ID))
	if x.req.Protocol == fleet.ProtocolModel {
		// Events are counted as they pass, so they must not be compressed.
		h.Del("Accept-Encoding")
	}
	if h.Get("User-Agent") == "" {
		// An empty entry keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	r := &http.Request{
		Method: x.req.Method,
		URL:    &url.URL{Scheme: "http", Host: addr.String(), Opaque: x.req.Path, RawQuery: x.req.Query},
		Host:   addr.String(), Header: h,
		ContentLength: int64(len(x.req.Body)), Body: http.NoBody,
	}
	if len(x.req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.req.Body))
	}
	return r
}

// maxInlineBody is the largest request body, in bytes, that is written before the
// response is read.
const maxInlineBody = 16 << 10

// writeRequest sends the request. A body larger than maxInlineBody is sent while the
// response is read, since a target may respond before it has read all of the body.
func (x *Exchange) writeRequest(c *targetconn.Conn) error {
	until := time.Now().Add(x.start.IdleTimeout)
	if err := c.SetWriteDeadline(until); err != nil {
		return err
	}
	req := x.targetRequest(x.start.Address)
	if len(x.req.Body) <= maxInlineBody {
		err := c.WriteRequest(req)
		x.mayHaveSent = c.BytesWritten() > 0
		return err
	}
	x.mayHaveSent = true
	written := make(chan struct{})
	x.bodyWritten = written
	go func() {
		defer close(written)
		if err := c.WriteRequest(req); err != nil {
			// Reading the response then fails, which ends the attempt.
			targetconn.Discard(c)
		}
	}()
	return nil
}

// requestWritten reports whether the whole request has been written.
func (x *Exchange) requestWritten() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case <-x.bodyWritten:
		return true
	default:
		return false
	}
}

// attemptEnded returns the event that describes the end of the attempt.
func (x *Exchange) attemptEnded(cause routing.Cause, err error) routing.AttemptEnded {
	ev := routing.AttemptEnded{
		Request: x.req.ID, Attempt: x.start.Attempt, Cause: cause, Wrote: x.mayHaveSent,
		Answered: x.response.begun, Offset: x.response.offset, Spent: x.cost(), FirstToken: x.response.firstToken,
	}
	if err != nil {
		ev.Detail = fmt.Sprintf("target %s: %v", x.start.Target, err)
	}
	return ev
}

// cost returns the cost so far: tokens for a model, milliseconds for a plain service.
func (x *Exchange) cost() fleet.Cost {
	if x.req.Protocol == fleet.ProtocolModel {
		return x.response.tokens
	}
	if x.sentAt.IsZero() {
		return 0
	}
	return fleet.Cost(x.client.cfg.Clock.Now().Sub(x.sentAt).Milliseconds())
}
