package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

const (
	// dialTimeout bounds opening a connection. Nothing has been sent by then, so
	// another target can be tried.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection to a target counts as broken.
	unackedTimeout = 3 * time.Second
	// maxInlineBody is the largest request body, in bytes, that is written before the
	// response is read.
	maxInlineBody = 16 << 10
	// maxBuffered is the largest response body, in bytes, that is read in full before
	// it is passed on. If such a response breaks off, the request can still be retried.
	maxBuffered = 64 << 10
	// defaultIdleTime is how long an idle connection is kept if the target announces no
	// Keep-Alive timeout. It also bounds an announced one.
	defaultIdleTime = 20 * time.Second
	// idleMargin is how much earlier than the target the router closes an idle
	// connection.
	idleMargin = 300 * time.Millisecond
	// maxSkipped bounds the responses to earlier requests that are skipped on a
	// connection.
	maxSkipped = 3
)

// exchange is one caller's request with its attempts.
type exchange struct {
	forwarder *Forwarder
	req       *Request
	ctx       context.Context
	out       *responseWriter

	send   placement.Send
	sentAt time.Time
	// writtenAt is when the current attempt began to write the request; zero before.
	writtenAt time.Time
	events    eventScanner
	// reservedEvent is the part of events that counts in the budget.
	reservedEvent int64
	// failed is a target's failure response, which is passed on if no other attempt
	// follows; nil if there is none.
	failed *bufferedResponse
	// err and status are the error and the response status of the current attempt.
	err    error
	status int
	// firstByte is when the response of the current attempt began; zero before.
	firstByte time.Time
	// stated is what the response of the current attempt states about the target.
	stated placement.ResponseReceived
	// race is nil unless the attempt may be hedged.
	race *race
}

// bufferedResponse is a response that has been read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to a target and returns the effects that follow.
func (x *exchange) attempt(s placement.Send) []fleet.Effect {
	if s.ExtraAfter > 0 && !x.out.begun {
		return x.attemptWithHedge(s)
	}
	return x.conclude(x.perform(s))
}

// perform sends the request to a target and reports the outcome to the placement. It returns the
// outcome and the effects that follow.
func (x *exchange) perform(s placement.Send) (placement.Outcome, []fleet.Effect) {
	x.send, x.err, x.status, x.stated = s, nil, 0, placement.ResponseReceived{}
	x.writtenAt, x.firstByte = time.Time{}, time.Time{}
	x.sentAt = x.forwarder.cfg.Clock.Now()
	x.forwarder.logSent(x.req, s)
	outcome := x.runAttempt()
	if x.ctx.Err() != nil && outcome != placement.Answered {
		outcome = x.contextOutcome(outcome)
	}
	effects := x.forwarder.Reduce(placement.AttemptEnded{Call: x.req.Call.ID, Attempt: s.Attempt, Outcome: outcome})
	x.forwarder.logEnded(x, outcome)
	return outcome, effects
}

// conclude ends the response to the caller if no attempt can follow one with the given outcome.
// Otherwise it returns the effects that follow.
func (x *exchange) conclude(outcome placement.Outcome, effects []fleet.Effect) []fleet.Effect {
	switch outcome {
	case placement.Expired:
		x.out.fail(http.StatusGatewayTimeout, x.forwarder.cfg.Headers, x.req.Call.Request, fleet.ReasonDeadline, 0)
		return nil
	case placement.Truncated, placement.CallerGone:
		x.out.abort()
	}
	return effects
}

// contextOutcome returns the outcome of an attempt whose context has ended, which is
// either the deadline of the request, the caller's disconnection, or the beginning of the
// response to another attempt.
func (x *exchange) contextOutcome(outcome placement.Outcome) placement.Outcome {
	if x.race.isLost(x) {
		x.err = nil
		return placement.Superseded
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		if outcome == placement.Unreached {
			return placement.Unreached
		}
		return placement.Expired
	}
	return placement.CallerGone
}

// giveUp responds after the last attempt: with a target's failure response if one is
// stored, otherwise with one that the router generates.
func (x *exchange) giveUp(e placement.GiveUp) {
	id := x.req.Call.Request
	switch {
	case x.failed != nil && !x.out.begun:
		x.out.writeHeader(x.failed.status, x.failed.header, int64(len(x.failed.body)))
		// The write fails only if the caller has disconnected.
		_ = x.out.write(x.failed.body, false)
	case e.NotRun:
		x.out.refuse(x.forwarder.cfg.Headers, id, e.Reason, e.RetryAfter)
	default:
		x.out.fail(http.StatusBadGateway, x.forwarder.cfg.Headers, id, e.Reason, 0)
	}
}

// runAttempt performs the current attempt and returns its outcome.
func (x *exchange) runAttempt() placement.Outcome {
	c, err := x.connect()
	if err != nil {
		x.err = err
		return placement.Unreached
	}
	if callerDisconnected(x.ctx) {
		// Nothing was sent, so the connection can serve another request.
		x.forwarder.pool.Put(c, x.forwarder.cfg.Clock.Now().Add(defaultIdleTime), x.send.MaxIdle)
		return placement.CallerGone
	}
	if x.isWithdrawn() {
		x.forwarder.pool.Put(c, x.forwarder.cfg.Clock.Now().Add(defaultIdleTime), x.send.MaxIdle)
		return placement.Withdrawn
	}
	stop := context.AfterFunc(x.ctx, func() { targetconn.Discard(c) })
	defer stop()
	x.writtenAt = x.forwarder.cfg.Clock.Now()
	x.race.writing(x, c)
	upload := x.writeRequest(c)
	if c.BytesWritten() == 0 && upload.failed() {
		targetconn.Discard(c)
		x.err = upload.err
		return placement.Unreached
	}
	x.race.awaitResponse(x, c)
	resp, err := x.readResponse(c)
	if err != nil {
		targetconn.Discard(c)
		x.err = err
		return placement.Broken
	}
	x.readStatement(resp)
	if !isFramed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, upload: upload}
	}
	outcome, clean := x.forwardResponse(resp)
	x.releaseConn(c, resp, clean && stop() && upload.succeeded())
	return outcome
}

// isWithdrawn reports whether the current attempt must not be written any more. If only its source
// must not be named any more, it removes the source.
func (x *exchange) isWithdrawn() bool {
	for _, e := range x.forwarder.Reduce(placement.SendDue{Call: x.req.Call.ID, Attempt: x.send.Attempt}) {
		switch e.(type) {
		case placement.Withdraw:
			return true
		case placement.DropSource:
			x.send.CopyFrom = netip.AddrPort{}
			copySources.Add(sourceDropped, 1)
		}
	}
	return false
}

func (x *exchange) connect() (*targetconn.Conn, error) {
	if c := x.forwarder.pool.Get(x.send.Address, x.forwarder.cfg.Clock.Now()); c != nil {
		return c, nil
	}
	c, err := targetconn.Dial(x.ctx, x.send.Address, targetconn.Options{Timeout: dialTimeout, UnackedTimeout: unackedTimeout})
	if err != nil {
		return nil, err
	}
	handshakes.Add(1)
	return c, nil
}

// writeRequest sends the request. A body larger than maxInlineBody is sent while the
// response is read, since a target may respond before it has read all of the body.
func (x *exchange) writeRequest(c *targetconn.Conn) *upload {
	req := x.targetRequest()
	u := &upload{done: make(chan struct{})}
	if x.req.Body.Len() <= maxInlineBody {
		u.err = c.WriteRequest(req)
		close(u.done)
		return u
	}
	go func() {
		defer close(u.done)
		if u.err = c.WriteRequest(req); u.err != nil {
			// Reading the response then fails, which ends the attempt.
			targetconn.Discard(c)
		}
	}()
	return u
}

// targetRequest returns the request as it is sent to the target.
func (x *exchange) targetRequest() *http.Request {
	names := &x.forwarder.cfg.Headers
	h := x.req.Header.Clone()
	h.Set(names.RequestID, string(x.req.Call.Request))
	remaining := x.req.Call.Deadline.Sub(x.forwarder.cfg.Clock.Now())
	h.Set(names.RemainingMs, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	h.Set(names.ExpectedTarget, string(x.send.Target))
	if x.req.Call.Customer != "" {
		h.Set(names.Customer, string(x.req.Call.Customer))
	}
	if x.send.CopyFrom.IsValid() {
		h.Set(names.CopyFrom, x.send.CopyFrom.String())
	}
	if id := x.events.lastID; id != "" {
		h.Set(names.LastEventID, id)
	}
	if h.Get("User-Agent") == "" {
		// An empty entry keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	path, query, _ := strings.Cut(x.req.URI, "?")
	r := &http.Request{
		Method: x.req.Method, Host: x.req.Host, Header: h,
		URL:           &url.URL{Scheme: "http", Host: x.req.Host, Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(x.req.URI, "?")},
		ContentLength: x.req.Body.Len(), Body: http.NoBody,
	}
	if r.ContentLength > 0 {
		r.Body = io.NopCloser(x.req.Body.Reader())
	}
	return r
}

// readResponse reads the header of the response to this request. A target may respond
// to an earlier request a second time; such responses are skipped. A refusal may leave out the
// request, unless it could be a second response to an earlier one.
func (x *exchange) readResponse(c *targetconn.Conn) (*http.Response, error) {
	req := &http.Request{Method: x.req.Method}
	for range maxSkipped {
		resp, err := c.ReadResponse(req)
		if err == nil {
			err = x.reserveHeader(c.HeaderBytes())
		}
		if err != nil {
			return nil, err
		}
		echo := resp.Header.Get(x.forwarder.cfg.Headers.RequestID)
		if echo == string(x.req.Call.Request) || echo == "" && !c.Reused() && isNotRun(resp, &x.forwarder.cfg.Headers) {
			return resp, nil
		}
		if !isFramed(resp) {
			return nil, errors.Errorf("unframed response belongs to request %q", echo)
		}
		skippedResponses.Add(1)
		if err := discardBody(resp); err != nil {
			return nil, errors.Wrapf(err, "skip the response to request %q", echo)
		}
	}
	return nil, errors.Errorf("%d responses belong to other requests", maxSkipped)
}

// discardBody reads the body of a response to its end. It fails if the body has more than
// maxBuffered bytes, since the rest would be taken for the next response.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered+1))
	if err == nil && n > maxBuffered {
		return errors.Errorf("body has more than %d bytes", maxBuffered)
	}
	return err
}

// isNotRun reports whether a target states that it did not run the request.
func isNotRun(resp *http.Response, names *HeaderNames) bool {
	return resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// isFramed reports whether the end of a body can be distinguished from a broken
// connection: the body is chunked or has a length.
func isFramed(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0
}

// releaseConn puts a connection back into the pool if nothing of this exchange can be
// left on it, and closes it otherwise.
func (x *exchange) releaseConn(c *targetconn.Conn, resp *http.Response, clean bool) {
	if !clean || resp.Close || !isFramed(resp) || c.Reader.Buffered() > 0 {
		targetconn.Discard(c)
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		targetconn.Discard(c)
		return
	}
	x.forwarder.pool.Put(c, x.forwarder.cfg.Clock.Now().Add(idleTime(resp.Header)), x.send.MaxIdle)
}

// idleTime returns how long an idle connection may be kept: the target's Keep-Alive
// timeout less idleMargin, or defaultIdleTime.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && n > 0 {
			return min(time.Duration(n)*time.Second, defaultIdleTime) - idleMargin
		}
	}
	return defaultIdleTime
}
