package routing

import (
	"expvar"
	"fmt"
	"log/slog"
	"testing"
)

var violations = expvar.NewInt("RouterInvariantViolations")

// invariant reports whether ok holds. When it does not, a test panics; a production
// process logs and counts the violation, and its caller refuses what it was about to do.
func invariant(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	violation := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic("routing: " + violation)
	}
	violations.Add(1)
	slog.Error("InvariantViolated", "package", "routing", "violation", violation)
	return false
}
