package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Headers of the protocol between callers and routers.
const (
	headerRequestID  = "Fuchsiashed-Request-Id"
	headerVerdict    = "Fuchsiashed-Verdict"
	headerReason     = "Fuchsiashed-Reason"
	headerReplayed   = "Fuchsiashed-Replayed"
	headerCostHint   = "Fuchsiashed-Cost-Hint"
	headerDeadline   = "Fuchsiashed-Deadline"
	headerHosts      = "Fuchsiashed-Hosts"
	headerIdempotent = "Idempotency-Key"
)

// failureBody is the JSON body of a failure response.
type failureBody struct {
	Verdict           fleet.Verdict
	Reason            fleet.Reason
	Detail            string
	RequestID         fleet.RequestID `json:"RequestId"`
	RetryAfterSeconds int
}

var statusByReason = map[fleet.Reason]int{
	fleet.ReasonUnknownKey:         http.StatusUnauthorized,
	fleet.ReasonUnknownService:     http.StatusNotFound,
	fleet.ReasonMalformed:          http.StatusBadRequest,
	fleet.ReasonKeyRequired:        http.StatusBadRequest,
	fleet.ReasonBodyTooLarge:       http.StatusRequestEntityTooLarge,
	fleet.ReasonHeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	fleet.ReasonSlowCaller:         http.StatusRequestTimeout,
	fleet.ReasonTooManyConnections: http.StatusTooManyRequests,
	fleet.ReasonCustomerQueueFull:  http.StatusTooManyRequests,
	fleet.ReasonKeyMismatch:        http.StatusUnprocessableEntity,
	fleet.ReasonQuarantined:        http.StatusUnprocessableEntity,
	fleet.ReasonStillRunning:       http.StatusConflict,
	fleet.ReasonAlreadyRan:         http.StatusConflict,
	fleet.ReasonEarlierRunInDoubt:  http.StatusConflict,
	fleet.ReasonDeadline:           http.StatusGatewayTimeout,
	fleet.ReasonTargetSilent:       http.StatusGatewayTimeout,
	fleet.ReasonTargetConnect:      http.StatusBadGateway,
	fleet.ReasonTargetReset:        http.StatusBadGateway,
	fleet.ReasonTargetShortAnswer:  http.StatusBadGateway,
	fleet.ReasonTargetWrongAnswer:  http.StatusBadGateway,
}

// statusOf returns the HTTP status of a failure; 503 unless its reason has another.
func statusOf(r fleet.Reason) int {
	if s, ok := statusByReason[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func failureJSON(id fleet.RequestID, f fleet.Failure) []byte {
	raw, err := json.Marshal(failureBody{
		Verdict: f.Verdict, Reason: f.Reason, Detail: f.Detail, RequestID: id, RetryAfterSeconds: wholeSeconds(f.RetryAfter),
	})
	if err != nil {
		return []byte("{}")
	}
	return raw
}

// writeFailure responds with a failure, if nothing of a response has been written.
func writeFailure(w http.ResponseWriter, id fleet.RequestID, f fleet.Failure) {
	body := failureJSON(id, f)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerRequestID, string(id))
	h.Set(headerVerdict, f.Verdict.String())
	h.Set(headerReason, string(f.Reason))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(f.RetryAfter)))
	}
	w.WriteHeader(statusOf(f.Reason))
	// The write fails only if the caller has disconnected.
	_, _ = w.Write(body)
}
