// Package invariant checks conditions that always hold in a correct program. Violations are
// counted in the metric InvariantViolations.
package invariant

import (
	"expvar"
	"fmt"
	"log/slog"
	"sync/atomic"

	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

var (
	violations       = expvar.NewMap("InvariantViolations")
	panicOnViolation atomic.Bool
)

// PanicOnViolation sets whether Check panics on a violation. Tests and replays enable it. By
// default, a program skips the step that would violate the invariant and continues.
func PanicOnViolation(on bool) { panicOnViolation.Store(on) }

// Violation is the value with which Check panics.
type Violation struct {
	// Name is the name of the invariant.
	Name string
	// Detail describes the values that violate it.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", v.Name, v.Detail)
}

// Check returns ok. If ok is false, it counts a violation of the named invariant, and either
// logs it or panics with a *Violation, see PanicOnViolation. The caller must skip the step if
// Check returns false. format and args make up the detail.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	violations.Add(name, 1)
	if panicOnViolation.Load() {
		panic(v)
	}
	slog.Error(logevent.InvariantViolated, "invariant", v.Name, "detail", v.Detail)
	return false
}
