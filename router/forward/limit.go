package forward

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// minLimit and maxLimit bound the limit that a target may state, in requests a second. A
	// target that takes nothing still gets a request now and then, whose response may end the
	// limit.
	minLimit, maxLimit fleet.RequestRate = 0.25, 1e6
)

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
