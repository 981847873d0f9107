// Package invariant checks statements that must always hold in a correct program.
package invariant

import (
	"expvar"
	"fmt"
	"log/slog"
	"sync/atomic"

	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

var (
	violations = expvar.NewMap("InvariantViolations")
	panics     atomic.Bool
)

// PanicOnViolation makes Check panic, as tests want it. Programs go on without the
// step that would have violated the invariant.
func PanicOnViolation(on bool) { panics.Store(on) }

// Violation is the value with which Check panics.
type Violation struct {
	// Name is the invariant's.
	Name string
	// Detail says what was seen.
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s", v.Name, v.Detail)
}

// Check returns ok. When it is false the violation is counted and logged, and the
// caller refuses the step.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	violations.Add(name, 1)
	if panics.Load() {
		panic(v)
	}
	slog.Error(logevent.InvariantViolated, "invariant", v.Name, "detail", v.Detail)
	return false
}
