package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// responseWriter writes the response to one caller.
type responseWriter struct {
	w http.ResponseWriter
	// ctx holds the caller's connection, see ConnContext.
	ctx context.Context
	// resetOnAbort reports whether abort resets the connection.
	resetOnAbort bool
	// begun reports whether the header has been written.
	begun bool
	// hold is that of the request.
	hold  *bytebudget.Hold
	clock fleet.Clock
}

// writeHeader writes the status and the end-to-end headers of a target's response,
// unless a header has been written already. length is that of the body in bytes, or -1
// if unknown.
func (rw *responseWriter) writeHeader(status int, h http.Header, length int64) {
	if rw.begun {
		return
	}
	rw.begun = true
	header := rw.w.Header()
	for name, values := range targetconn.EndToEnd(h) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil entry keeps net/http from guessing a type from the body.
		header["Content-Type"] = nil
	}
	rw.w.WriteHeader(status)
}

// abort panics with http.ErrAbortHandler: the server closes the caller's connection, so
// that a partial response does not look complete.
func (rw *responseWriter) abort() {
	if rw.resetOnAbort {
		resetOnClose(rw.ctx)
	}
	panic(http.ErrAbortHandler)
}

// failure is the JSON body of a response that the router generates.
type failure struct {
	Reason  fleet.Reason
	Verdict fleet.Verdict
}

// refuse responds that the request has not run, or aborts if a response has begun.
func (rw *responseWriter) refuse(names HeaderNames, id fleet.RequestID, reason fleet.Reason, retryAfter time.Duration) {
	status := http.StatusServiceUnavailable
	if reason == fleet.ReasonCustomerShare {
		status = http.StatusTooManyRequests
	}
	rw.fail(status, names, id, reason, retryAfter)
}

// fail responds with a failure that the router generates, or aborts if a response has
// begun. Callers take only status 503 or 429 as a guarantee that the request has not run.
func (rw *responseWriter) fail(status int, names HeaderNames, id fleet.RequestID, reason fleet.Reason, retryAfter time.Duration) {
	if rw.begun {
		rw.abort()
	}
	verdict := fleet.MayHaveRun
	h := rw.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		verdict = fleet.NotRun
		h.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	h.Set(names.RequestID, string(id))
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(failure{Reason: reason, Verdict: verdict})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	rw.begun = true
	rw.w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_, _ = rw.w.Write(body)
}
