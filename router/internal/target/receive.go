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

// errSink wraps an error of the caller's side.
type errSink struct{ error }

// buffers holds the buffers through which answers pass.
var buffers = sync.Pool{New: func() any { b := make([]byte, targetconn.BufferSize); return &b }}

// receive waits for the answer to a request that was written and passes it on.
func (x *Exchange) receive(c *targetconn.Conn, req *http.Request) routing.AttemptEnded {
	if err := x.await(c); err != nil {
		if targetconn.IsTimeout(err) && !x.expired() {
			x.waiting = c
			return x.ended(routing.CauseIdleTimeout, errors.Errorf("no answer for %s", x.start.IdleTimeout))
		}
		x.drop(c)
		return x.ended(causeOf(err), err)
	}
	resp, err := c.ReadResponse(req)
	if err != nil {
		x.drop(c)
		return x.ended(causeOf(err), err)
	}
	return x.take(c, resp)
}

// await waits for the first byte of an answer.
func (x *Exchange) await(c *targetconn.Conn) error {
	if err := x.extend(c); err != nil {
		return err
	}
	_, err := c.Reader.Peek(1)
	return err
}

// extend allows the target another idle timeout, but not past the deadline.
func (x *Exchange) extend(c *targetconn.Conn) error {
	left := x.start.Deadline.Sub(x.client.cfg.Clock.Now())
	if !x.patient || x.answer.begun {
		left = min(left, x.start.IdleTimeout)
	}
	return c.SetReadDeadline(time.Now().Add(left))
}

// expired says whether the deadline of the attempt has passed.
func (x *Exchange) expired() bool {
	return !x.client.cfg.Clock.Now().Before(x.start.Deadline)
}

func causeOf(err error) routing.Cause {
	if targetconn.IsTimeout(err) {
		return routing.CauseIdleTimeout
	}
	return routing.CauseReset
}

// take passes an answer on, unless it is not one to be passed on.
func (x *Exchange) take(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	echo := resp.Header.Get(headerRequestID)
	if echo != "" && echo != string(x.req.ID) {
		x.drop(c)
		return x.ended(routing.CauseWrongAnswer, errors.Errorf("answer belongs to request %s", echo))
	}
	if cause, refused := x.refusal(resp); refused {
		return x.refused(c, resp, cause)
	}
	if err := x.beginAnswer(resp); err != nil {
		x.drop(c)
		return x.ended(routing.CauseCallerGone, err)
	}
	return x.passOn(c, resp)
}

// refusal says whether the target refused the request for lack of room.
func (x *Exchange) refusal(resp *http.Response) (routing.Cause, bool) {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "true" {
		return routing.CauseNotRun, true
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return routing.CauseUnavailable, !x.start.Once
	}
	return "", false
}

func (x *Exchange) refused(c *targetconn.Conn, resp *http.Response, cause routing.Cause) routing.AttemptEnded {
	ev := x.ended(cause, errors.Errorf("answered %s", resp.Status))
	ev.RetryAfter = retryAfter(resp.Header)
	x.finishConn(c, resp, drained(resp.Body))
	return ev
}

// maxRetryAfter bounds the time that a target may ask to be left alone.
const maxRetryAfter = 30 * time.Second

func retryAfter(h http.Header) time.Duration {
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

func (x *Exchange) beginAnswer(resp *http.Response) error {
	a := &x.answer
	if a.begun {
		return nil
	}
	x.sink.Begin()
	if x.isAborted() {
		return errors.New("attempt was ended")
	}
	a.status, a.length = resp.StatusCode, resp.ContentLength
	a.contentType = resp.Header.Get("Content-Type")
	a.events = isEventStream(resp) && resp.Header.Get("Content-Encoding") == "" && x.req.Protocol == fleet.ProtocolModel && resp.StatusCode == http.StatusOK
	if a.events {
		// An answer in one piece begins when all of it is generated, which says nothing
		// of how warm the target is.
		a.firstToken = x.client.cfg.Clock.Now().Sub(x.sent)
	}
	if x.req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		a.length = 0
	}
	a.begun = true
	if x.written() {
		x.req.Body = nil
	}
	return x.sink.Header(resp.StatusCode, EndToEnd(resp.Header), resp.ContentLength)
}

// passOn passes the body on until its end, and says how it ended.
func (x *Exchange) passOn(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	err := x.copyBody(c, resp.Body)
	var se errSink
	switch {
	case errors.As(err, &se):
		x.drop(c)
		return x.ended(routing.CauseCallerGone, err)
	case err != nil && !errors.Is(err, io.EOF):
		x.drop(c)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return x.ended(routing.CauseTruncated, err)
		}
		return x.ended(causeOf(err), err)
	case !framed(resp) && !x.answer.events, !x.answer.whole():
		x.drop(c)
		return x.ended(routing.CauseTruncated, errors.Errorf("answer ended after %d bytes without its end", x.answer.offset))
	}
	x.answer.finish()
	x.finishConn(c, resp, true)
	ev := x.ended(routing.CauseCompleted, nil)
	if x.start.Once {
		ev.Answer = x.answer.recorded()
	}
	return ev
}

// framed says whether the end of a body can be told from a broken connection.
func framed(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return chunked || resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead
}

// copyBody passes the body on. It returns io.EOF when the body ended as framed.
func (x *Exchange) copyBody(c *targetconn.Conn, body io.Reader) error {
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	buf := *bp
	reported := x.client.cfg.Clock.Now()
	for {
		if err := x.extend(c); err != nil {
			return err
		}
		n, err := body.Read(buf)
		if n > 0 {
			x.answer.add(buf[:n])
			if werr := x.pass(buf[:n]); werr != nil {
				return errSink{werr}
			}
		}
		if err != nil {
			return err
		}
		if now := x.client.cfg.Clock.Now(); now.Sub(reported) >= progressInterval {
			reported = now
			x.sink.Progress(x.spent(), x.answer.firstToken)
		}
	}
}

// pass passes a part of the body on. The last part of an answer that is kept for the
// ledger is held back until Finish.
func (x *Exchange) pass(p []byte) error {
	if x.answer.once && x.answer.last() {
		x.answer.held = append([]byte(nil), p...)
		return nil
	}
	_, err := x.sink.Write(p)
	return err
}

// Finish passes on what was held back of a complete answer.
func (x *Exchange) Finish() error {
	if len(x.answer.held) == 0 {
		return nil
	}
	_, err := x.sink.Write(x.answer.held)
	return err
}

// finishConn keeps a connection for another request when its target names the request
// that each answer belongs to; otherwise a second answer could be taken for the next.
func (x *Exchange) finishConn(c *targetconn.Conn, resp *http.Response, clean bool) {
	x.let(c)
	echoed := resp.Header.Get(headerRequestID) != ""
	if !clean || !x.written() || resp.Close || !echoed || c.Reader.Buffered() > 0 || !framed(resp) {
		targetconn.Discard(c)
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		targetconn.Discard(c)
		return
	}
	x.client.pool.Put(c, x.client.cfg.Clock.Now().Add(idleLimit), idlePerTarget)
}

// Resume asks the target for the rest of the answer on a new connection.
func (x *Exchange) Resume(s routing.ResumeSend) routing.AttemptEnded {
	c, err := x.reconnect(s.Delay)
	if err != nil {
		return x.ended(routing.CauseReset, err)
	}
	if err := x.extend(c); err != nil {
		x.drop(c)
		return x.ended(routing.CauseReset, err)
	}
	req := streamRequest(http.MethodGet, x.start.Address, x.req.ID, fmt.Sprintf("Offset=%d", s.Offset))
	resp, err := roundTrip(c, req)
	if err != nil {
		x.drop(c)
		return x.ended(causeOf(err), err)
	}
	return x.resumed(c, resp)
}

// reconnect opens a new connection to the target after a delay.
func (x *Exchange) reconnect(delay time.Duration) (*targetconn.Conn, error) {
	ctx, err := x.begin()
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
	return c, x.hold(c)
}

func (x *Exchange) resumed(c *targetconn.Conn, resp *http.Response) routing.AttemptEnded {
	echo := resp.Header.Get(headerRequestID)
	if echo != "" && echo != string(x.req.ID) {
		x.drop(c)
		return x.ended(routing.CauseWrongAnswer, errors.Errorf("resumed answer belongs to request %s", echo))
	}
	// A plain service that knows no streams may answer the path with something else.
	unnamed := echo == "" && x.req.Protocol != fleet.ProtocolModel
	// A model that resumes every answer as a stream cannot resume one in one piece.
	unasked := !x.answer.begun && !x.req.Stream && isEventStream(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusPartialContent || unnamed || unasked {
		x.drop(c)
		return x.ended(routing.CauseUnknownStream, errors.Errorf("target does not resume the answer: %s", resp.Status))
	}
	if x.waiting != nil {
		x.drop(x.waiting)
		x.waiting = nil
	}
	if err := x.beginAnswer(resp); err != nil {
		x.drop(c)
		return x.ended(routing.CauseCallerGone, err)
	}
	return x.passOn(c, resp)
}

// WaitOn goes on waiting for the first byte of the answer on the first connection.
func (x *Exchange) WaitOn() routing.AttemptEnded {
	c := x.waiting
	x.waiting = nil
	if c == nil {
		return x.ended(routing.CauseReset, errors.New("connection was given up"))
	}
	x.patient = true
	return x.receive(c, x.request(x.start.Address))
}
