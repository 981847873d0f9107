package fleet

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict states whether a request ran, may have run or did not run on a target.
type Verdict int

// The verdicts, in the order of what they permit: a retry is always safe after NotRun and
// never needed after Ran.
const (
	// NotRun means that no target can have run the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that a target may have run the request, wholly or in part.
	MayHaveRun
	// Ran means that a target ran the request to completion.
	Ran
)

var verdictNames = map[Verdict]string{NotRun: "NotRun", MayHaveRun: "MayHaveRun", Ran: "Ran"}

// String returns the verdict's name on the wire.
func (v Verdict) String() string {
	if s, ok := verdictNames[v]; ok {
		return s
	}
	return fmt.Sprintf("Verdict(%d)", int(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	if _, ok := verdictNames[v]; !ok {
		return nil, errors.Errorf("verdict %d does not exist", int(v))
	}
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for k, s := range verdictNames {
		if s == string(text) {
			*v = k
			return nil
		}
	}
	return errors.Errorf("verdict %q does not exist; use NotRun, MayHaveRun or Ran", text)
}

// Failure is the error with which a request ends.
type Failure struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause; each reason has a counter.
	Reason Reason
	// Detail explains the cause in human-readable form.
	Detail string
	// RetryAfter is how long the caller should wait before a retry; 0 if unspecified.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Verdict, f.Detail)
}

// VerdictOf returns the verdict of the Failure that err wraps. For any other error it
// returns MayHaveRun, the safe assumption.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return MayHaveRun
}
