package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// answerWriter writes one answer to a caller.
type responseWriter struct {
	w http.ResponseWriter
	// begun says that the header was written.
	begun bool
}

// header writes the status and headers of a target's answer. The length is -1 when it
// is not known.
func (a *responseWriter) writeHeader(status int, h http.Header, length int64) {
	if a.begun {
		return
	}
	a.begun = true
	header := a.w.Header()
	for name, values := range targetconn.EndToEnd(h) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without an entry the server would guess a type from the body.
		header["Content-Type"] = nil
	}
	a.w.WriteHeader(status)
}

// write passes a part of a stream on at once.
func (a *responseWriter) writeAndFlush(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// abort closes the caller's connection, so that what was passed on does not look whole.
func (a *responseWriter) abort() { panic(http.ErrAbortHandler) }

// failure is the body of an answer that the router makes itself.
type failure struct {
	Reason  fleet.Reason
	Verdict fleet.Verdict
}

// fail answers with a failure of the router's own. Only a status of 503 or 429 promises
// that the request has not run.
func (a *responseWriter) fail(status int, d HeaderNames, id fleet.RequestID, reason fleet.Reason, retryAfter time.Duration) {
	if a.begun {
		a.abort()
	}
	verdict := fleet.MayHaveRun
	h := a.w.Header()
	if status == http.StatusServiceUnavailable {
		verdict = fleet.NotRun
		h.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	h.Set(d.RequestID, string(id))
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(failure{Reason: reason, Verdict: verdict})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.begun = true
	a.w.WriteHeader(status)
	// A caller that has left does not read its answer.
	_, _ = a.w.Write(body)
}
