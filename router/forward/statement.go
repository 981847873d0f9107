package forward

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// minLimit and maxLimit bound the limit that a target may state, in requests a second. A target
// that takes nothing still gets a request now and then, whose response may end the limit.
const minLimit, maxLimit fleet.RequestRate = 0.25, 1e6

// maxRetryAfter bounds the time for which a target may decline requests in advance.
const maxRetryAfter = time.Minute

// leavingValue is the value of the header by which a target states that it leaves.
const leavingValue = "1"

// readStatement passes what the target states about itself in its response to the placement.
// Malformed headers are logged, and otherwise treated as if the target had not responded.
func (x *exchange) readStatement(resp *http.Response) {
	names := &x.forwarder.cfg.Headers
	ev := placement.ResponseReceived{Target: x.send.Target, Incarnation: x.send.Incarnation}
	var err error
	if ev.Limit, err = parseLimit(resp.Header, names.Limit); err != nil {
		ev.LimitUnknown = true
		x.logMalformed(err)
	}
	if ev.Leaving, err = parseLeaving(resp.Header, names.Leaving); err != nil {
		x.logMalformed(err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && isNotRun(resp, names) {
		if ev.RetryAfter, err = parseRetryAfter(resp.Header); err != nil {
			x.logMalformed(err)
		}
	}
	x.stated = ev
	if ev.RetryAfter > 0 {
		targetStatements.Add("RetryAfter", 1)
	}
	if ev.Limit > 0 {
		targetStatements.Add("Limit", 1)
	}
	if ev.Leaving {
		targetStatements.Add("Leaving", 1)
	}
	x.forwarder.Reduce(ev)
}

func (x *exchange) logMalformed(err error) {
	targetStatements.Add("Malformed", 1)
	x.forwarder.cfg.Log.Warn(logevent.StatementMalformed, logevent.FieldRequest, string(x.req.Call.Request),
		logevent.FieldTarget, string(x.send.Target), logevent.FieldError, err.Error())
}

// parseLimit returns the limit that a response states under the given header, or 0 if it has
// none. The value is a decimal number of requests a second.
func parseLimit(h http.Header, name string) (fleet.RequestRate, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, errors.Errorf("%s appears %d times", name, len(values))
	}
	n, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, errors.Wrapf(err, "parse %s", name)
	}
	// The comparison is false for NaN.
	if limit := fleet.RequestRate(n); limit >= 0 && limit <= maxLimit {
		return max(limit, minLimit), nil
	}
	return 0, errors.Errorf("%s is %q; it must be from 0 to %g requests a second", name, values[0], maxLimit)
}

// parseRetryAfter returns the time for which a target that declined a request wants no more, or 0
// if it states none. The value is a decimal number of seconds.
func parseRetryAfter(h http.Header) (time.Duration, error) {
	values := h.Values("Retry-After")
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, errors.Errorf("Retry-After appears %d times", len(values))
	}
	n, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse Retry-After")
	}
	// The comparison is false for NaN.
	if n >= 0 {
		return time.Duration(min(n, maxRetryAfter.Seconds()) * float64(time.Second)), nil
	}
	return 0, errors.Errorf("Retry-After is %q; it must be a number of seconds from 0", values[0])
}

// parseLeaving reports whether a response states under the given header that the target leaves.
func parseLeaving(h http.Header, name string) (bool, error) {
	values := h.Values(name)
	if len(values) == 0 || slices.Contains(values, leavingValue) {
		return len(values) > 0, nil
	}
	return false, errors.Errorf("%s is %q; it must be %s", name, values, leavingValue)
}
