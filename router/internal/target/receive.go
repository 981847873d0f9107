package target

import (
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// progressInterval is the time between two reports of an attempt's cost.
const progressInterval = 250 * time.Millisecond

// sinkError wraps an error of the Sink, as opposed to one of the target.
type sinkError struct{ error }

// buffers holds the buffers through which response bodies are copied.
var buffers = sync.Pool{New: func() any { b := make([]byte, targetconn.BufferSize); return &b }}

// receive waits for the response to a written request and passes it on.
func (x *Exchange) receive(c *targetconn.Conn, req *http.Request) routing.AttemptEnded {
	if err := x.awaitFirstByte(c); err != nil {
		if targetconn.IsTimeout(err) && !x.expired() {
			x.pendingConn = c
			return x.attemptEnded(routing.CauseIdleTimeout, errors.Errorf("no answer for %s", x.start.IdleTimeout))
		}
		x.closeConn(c)
		return x.attemptEnded(causeOf(err), err)
	}
	resp, err := c.ReadResponse(req)
	if err != nil {
		x.closeConn(c)
		return x.attemptEnded(causeOf(err), err)
	}
	return x.forwardResponse(c, resp)
}

// awaitFirstByte waits for the first byte of the response.
func (x *Exchange) awaitFirstByte(c *targetconn.Conn) error {
	if err := x.extendReadDeadline(c); err != nil {
		return err
	}
	_, err := c.Reader.Peek(1)
	return err
}

// extendReadDeadline sets the read deadline to the idle timeout from now, or to the deadline
// of the attempt if that is earlier. After WaitOn, the first byte may take until the deadline
// of the attempt.
func (x *Exchange) extendReadDeadline(c *targetconn.Conn) error {
	timeout := x.start.Deadline.Sub(x.client.cfg.Clock.Now())
	if !x.untilDeadline || x.response.begun {
		timeout = min(timeout, x.start.IdleTimeout)
	}
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// expired reports whether the deadline of the attempt has passed.
func (x *Exchange) expired() bool {
	return !x.client.cfg.Clock.Now().Before(x.start.Deadline)
}

func causeOf(err error) routing.Cause {
	if targetconn.IsTimeout(err) {
		return routing.CauseIdleTimeout
	}
	return routing.CauseReset
}

// forwardResponse passes a response on, unless it belongs to another request or rejects
// this one.
func (x *Exchange) forwardResponse(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	echo := resp.Header.Get(headerRequestID)
	// Connections are kept only to targets that name the request in each response.
	if echo != string(x.req.ID) && (echo != "" || c.Reused()) {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseWrongAnswer, errors.Errorf("answer belongs to request %q", echo))
	}
	if cause, refused := x.refusalCause(resp); refused {
		return x.endRefused(c, resp, cause)
	}
	if err := x.forwardHeader(resp); err != nil {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseCallerGone, err)
	}
	return x.forwardBody(c, resp)
}

// refusalCause reports whether the response is a rejection of the request, which has status
// 502, 503 or 504, and returns the cause. A run-once call counts as rejected only if the
// target states that it has not run.
func (x *Exchange) refusalCause(resp *http.Response) (routing.Cause, bool) {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "true" {
		return routing.CauseNotRun, true
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return routing.CauseUnavailable, !x.start.Once
	}
	return "", false
}

func (x *Exchange) endRefused(c *targetconn.Conn, resp *http.Response, cause routing.Cause) routing.AttemptEnded {
	ev := x.attemptEnded(cause, errors.Errorf("answered %s", resp.Status))
	ev.RetryAfter = parseRetryAfter(resp.Header)
	x.releaseConn(c, resp, drain(resp.Body))
	return ev
}

// maxRetryAfter bounds the Retry-After of a target.
const maxRetryAfter = 30 * time.Second

func parseRetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxRetryAfter)
}

func isEventStream(resp *http.Response) bool {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

func (x *Exchange) forwardHeader(resp *http.Response) error {
	response := &x.response
	if response.begun {
		return nil
	}
	x.sink.Begin()
	if x.isAborted() {
		return errors.New("attempt was ended")
	}
	response.status, response.length = resp.StatusCode, resp.ContentLength
	response.contentType = resp.Header.Get("Content-Type")
	response.isEventStream = isEventStream(resp) && resp.Header.Get("Content-Encoding") == "" && x.req.Protocol == fleet.ProtocolModel && resp.StatusCode == http.StatusOK
	if response.isEventStream {
		// The time to the header of any other response includes generating all of it,
		// so it does not indicate how warm the target is.
		response.firstToken = x.client.cfg.Clock.Now().Sub(x.sentAt)
	}
	if x.req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		response.length = 0
	}
	response.begun = true
	if x.requestWritten() {
		x.req.Body = nil
	}
	return x.sink.Header(resp.StatusCode, EndToEnd(resp.Header), resp.ContentLength)
}

// forwardBody passes the body on and returns how the attempt ended.
func (x *Exchange) forwardBody(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	err := x.copyBody(c, resp.Body)
	var sinkErr sinkError
	switch {
	case errors.As(err, &sinkErr):
		x.closeConn(c)
		return x.attemptEnded(routing.CauseCallerGone, err)
	case err != nil && !errors.Is(err, io.EOF):
		x.closeConn(c)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return x.attemptEnded(routing.CauseTruncated, err)
		}
		return x.attemptEnded(causeOf(err), err)
	case !isFramed(resp) && !x.response.isEventStream, !x.response.isComplete():
		x.closeConn(c)
		return x.attemptEnded(routing.CauseTruncated, errors.Errorf("answer ended after %d bytes without its end", x.response.offset))
	}
	x.response.readTokenCount()
	x.releaseConn(c, resp, true)
	ev := x.attemptEnded(routing.CauseCompleted, nil)
	if x.start.Once {
		ev.Answer = x.response.recordedAnswer()
	}
	return ev
}

// isFramed reports whether the end of a body can be distinguished from a broken
// connection.
func isFramed(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return chunked || resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead
}

// copyBody passes the body on. It returns io.EOF if the body ended as framed.
func (x *Exchange) copyBody(c *targetconn.Conn, body io.Reader) error {
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	buf := *bp
	reported := x.client.cfg.Clock.Now()
	for {
		if err := x.extendReadDeadline(c); err != nil {
			return err
		}
		n, err := body.Read(buf)
		if n > 0 {
			x.response.add(buf[:n])
			if writeErr := x.forwardPart(buf[:n]); writeErr != nil {
				return sinkError{writeErr}
			}
		}
		if err != nil {
			return err
		}
		if now := x.client.cfg.Clock.Now(); now.Sub(reported) >= progressInterval {
			reported = now
			x.sink.Progress(x.cost(), x.response.firstToken)
		}
	}
}

// forwardPart passes a part of the body on. If the response is recorded in the ledger
// and has a known length, its last part is held back until Finish.
func (x *Exchange) forwardPart(p []byte) error {
	if x.response.record && x.response.lengthReached() {
		x.response.heldBack = append([]byte(nil), p...)
		return nil
	}
	_, err := x.sink.Write(p)
	return err
}

// Finish passes on the last part of a complete response if it was held back.
func (x *Exchange) Finish() error {
	if len(x.response.heldBack) == 0 {
		return nil
	}
	_, err := x.sink.Write(x.response.heldBack)
	return err
}

// releaseConn puts a connection back into the pool if nothing is left on it and the
// target echoes request ids. Without the echo, a second response to this request could
// be taken for the response to the next.
func (x *Exchange) releaseConn(c *targetconn.Conn, resp *http.Response, clean bool) {
	x.unregister(c)
	echoed := resp.Header.Get(headerRequestID) != ""
	if !clean || !x.requestWritten() || resp.Close || !echoed || c.Reader.Buffered() > 0 || !isFramed(resp) {
		targetconn.Discard(c)
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		targetconn.Discard(c)
		return
	}
	x.client.pool.Put(c, x.client.cfg.Clock.Now().Add(maxIdleTime), maxIdlePerTarget)
}

// Resume requests the rest of the response on a new connection, after s.Delay.
func (x *Exchange) Resume(s routing.ResumeSend) routing.AttemptEnded {
	c, err := x.reconnect(s.Delay)
	if err != nil {
		return x.attemptEnded(routing.CauseReset, err)
	}
	if err := x.extendReadDeadline(c); err != nil {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseReset, err)
	}
	req := streamRequest(http.MethodGet, x.start.Address, x.req.ID, fmt.Sprintf("Offset=%d", s.Offset))
	resp, err := roundTrip(c, req)
	if err != nil {
		x.closeConn(c)
		return x.attemptEnded(causeOf(err), err)
	}
	return x.forwardResumed(c, resp)
}

// reconnect opens a new connection to the target after a delay.
func (x *Exchange) reconnect(delay time.Duration) (*targetconn.Conn, error) {
	ctx, err := x.attemptContext()
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	c, err := targetconn.Dial(ctx, x.start.Address, targetconn.Options{Timeout: targetconn.DialTimeout})
	if err != nil {
		return nil, err
	}
	return c, x.register(c)
}

func (x *Exchange) forwardResumed(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	echo := resp.Header.Get(headerRequestID)
	if echo != "" && echo != string(x.req.ID) {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseWrongAnswer, errors.Errorf("resumed answer belongs to request %s", echo))
	}
	// A plain service that does not implement the streams path may respond to it with
	// something else.
	anonymous := echo == "" && x.req.Protocol != fleet.ProtocolModel
	// A model that resumes every response as a stream cannot resume one that was not a
	// stream.
	unrequestedStream := !x.response.begun && !x.req.Stream && isEventStream(resp)
	// An error that a target reports with a success status has another type than the stream.
	otherType := x.response.begun && resp.Header.Get("Content-Type") != x.response.contentType
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusPartialContent || anonymous || unrequestedStream || otherType {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseUnknownStream, errors.Errorf("target does not resume the answer: %s", resp.Status))
	}
	if x.pendingConn != nil {
		x.closeConn(x.pendingConn)
		x.pendingConn = nil
	}
	if err := x.forwardHeader(resp); err != nil {
		x.closeConn(c)
		return x.attemptEnded(routing.CauseCallerGone, err)
	}
	return x.forwardBody(c, resp)
}

// WaitOn continues to wait for the first byte of the response on the first connection.
func (x *Exchange) WaitOn() routing.AttemptEnded {
	c := x.pendingConn
	x.pendingConn = nil
	if c == nil {
		return x.attemptEnded(routing.CauseReset, errors.New("connection was given up"))
	}
	x.untilDeadline = true
	return x.receive(c, x.targetRequest(x.start.Address))
}
