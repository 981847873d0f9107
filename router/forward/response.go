package forward

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/placement"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// buffers holds the buffers through which response bodies are copied.
var buffers = sync.Pool{New: func() any { b := make([]byte, targetconn.BufferSize); return &b }}

// forwardResponse passes a response on to the caller, or withholds it when another
// attempt may give a better one. clean reports whether the body was read to its end, so
// that nothing of it is left on the connection.
func (x *exchange) forwardResponse(resp *http.Response) (outcome placement.Outcome, clean bool) {
	names := &x.forwarder.cfg.Headers
	x.status = resp.StatusCode
	if isNotRun(resp, names) {
		err := discardBody(resp)
		switch {
		case resp.StatusCode == http.StatusMisdirectedRequest && x.req.Header.Get(names.ExpectedVersion) != "":
			return placement.VersionRefused, err == nil
		case resp.StatusCode == http.StatusMisdirectedRequest:
			return placement.Misdirected, err == nil
		}
		return placement.Declined, err == nil
	}
	if resp.Header.Get(names.Ran) == "" {
		x.err = errors.Errorf("response %s lacks the header that says the request has run", resp.Status)
		return placement.Broken, false
	}
	if resp.StatusCode == http.StatusOK && isEventStream(resp) {
		return x.forwardStream(resp)
	}
	if x.out.begun {
		x.err = errors.Errorf("target responded to resuming the stream with %s", resp.Status)
		return placement.Broken, false
	}
	return x.forwardBuffered(resp)
}

func isEventStream(resp *http.Response) bool {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// forwardBuffered reads a response in full and passes it on. A failure with status 500
// or above is stored instead, since another target may succeed. A response of more
// than maxBuffered bytes is passed on while it is read, also if there is no memory for it.
func (x *exchange) forwardBuffered(resp *http.Response) (placement.Outcome, bool) {
	body, whole, err := x.readBuffered(resp)
	if err != nil {
		x.err = errors.Wrapf(err, "response ended after %d bytes", len(body))
		return placement.Broken, false
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	if failed && !whole && x.race.isOtherRunning(x) {
		x.err = errors.Errorf("failure response of more than %d bytes", len(body))
		return placement.FailedAnswer, false
	}
	if (!failed || !whole) && !x.race.claim(x) {
		return placement.Superseded, whole
	}
	x.responseBegun(placement.AnswerBegun{Failed: failed})
	if !whole {
		return x.forwardUnbuffered(resp, bytes.NewReader(body))
	}
	if failed {
		x.failed = &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
		return placement.FailedAnswer, true
	}
	x.out.writeHeader(resp.StatusCode, resp.Header, int64(len(body)))
	if err := x.out.write(body, false); err != nil {
		x.err = err
		return placement.CallerGone, true
	}
	return placement.Answered, true
}

// forwardUnbuffered passes a response on while it is read; buffered is the part of its
// body that has been read already.
func (x *exchange) forwardUnbuffered(resp *http.Response, buffered io.Reader) (placement.Outcome, bool) {
	x.out.writeHeader(resp.StatusCode, resp.Header, resp.ContentLength)
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	source := io.MultiReader(buffered, resp.Body)
	for {
		n, err := source.Read(*bp)
		if n > 0 {
			if writeErr := x.out.write((*bp)[:n], false); writeErr != nil {
				x.err = writeErr
				return placement.CallerGone, false
			}
		}
		if errors.Is(err, io.EOF) {
			return placement.Answered, true
		}
		if err != nil {
			x.err = err
			return placement.Truncated, false
		}
	}
}

// responseBegun reports to the placement that the response of the current attempt has begun.
func (x *exchange) responseBegun(begun placement.AnswerBegun) {
	x.firstByte = x.forwarder.cfg.Clock.Now()
	begun.Call, begun.Attempt = x.req.Call.ID, x.send.Attempt
	x.forwarder.shareOrigins(x.forwarder.Reduce(begun))
}

// forwardStream passes the events of a stream on as they arrive. Until the stream ends,
// only whole events are written.
func (x *exchange) forwardStream(resp *http.Response) (placement.Outcome, bool) {
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	x.events.reset()
	var progress streamProgress
	for {
		events, err := x.readEvents(resp, *bp)
		if (len(events) > 0 || errors.Is(err, io.EOF)) && !x.race.claim(x) {
			return placement.Superseded, false
		}
		if len(events) > 0 {
			x.reportProgress(&progress)
			x.out.writeHeader(resp.StatusCode, resp.Header, -1)
			if writeErr := x.out.write(events, true); writeErr != nil {
				x.err = writeErr
				return placement.CallerGone, false
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			x.out.writeHeader(resp.StatusCode, resp.Header, -1)
			return placement.Answered, true
		case err != nil:
			x.err = errors.Wrapf(err, "stream ended after event %q", x.events.lastID)
			return x.interruptedOutcome(), false
		}
	}
}

// streamProgress is what the placement knows of a stream.
type streamProgress struct {
	begun, sustained bool
}

// reportProgress reports to the placement that events of a stream have arrived.
func (x *exchange) reportProgress(p *streamProgress) {
	switch {
	case !p.begun:
		p.begun = true
		x.responseBegun(placement.AnswerBegun{Stream: true})
	case !p.sustained && x.forwarder.cfg.Clock.Now().Sub(x.firstByte) > placement.AnswerProbation:
		p.sustained = true
		x.forwarder.Reduce(placement.AnswerSustained{Call: x.req.Call.ID, Attempt: x.send.Attempt})
	}
}

// readEvents reads the next part of a stream and returns the events that it completes. The
// error is io.EOF at the end of the stream.
func (x *exchange) readEvents(resp *http.Response, buf []byte) ([]byte, error) {
	n, err := resp.Body.Read(buf)
	events, scanErr := x.events.add(buf[:n])
	if scanErr == nil {
		scanErr = x.reserveEvent()
	}
	if scanErr != nil {
		return nil, scanErr
	}
	if errors.Is(err, io.EOF) {
		rest, endErr := x.events.end(isFramed(resp))
		if endErr != nil {
			return events, endErr
		}
		events = append(events, rest...)
	}
	return events, err
}

// interruptedOutcome returns the outcome of a stream that broke off: Broken if another
// attempt may start or resume it, Truncated otherwise. One that won against another attempt is not
// resumed.
func (x *exchange) interruptedOutcome() placement.Outcome {
	if !x.out.begun {
		return placement.Broken
	}
	if !x.race.isHedged() && x.req.Call.Route.Repeatable() && x.events.lastID != "" {
		return placement.Broken
	}
	return placement.Truncated
}
