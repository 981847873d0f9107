package command

import (
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// FlagError is an error in the command line, the settings, or a file that they name. The
// exit code is program.ExitUsage.
type FlagError struct {
	err error
}

// FlagErrorf returns a FlagError with a formatted message.
func FlagErrorf(format string, args ...any) error {
	return &FlagError{err: errors.Errorf(format, args...)}
}

// WrapFlagError returns a FlagError that wraps err and prepends a formatted message.
func WrapFlagError(err error, format string, args ...any) error {
	return &FlagError{err: errors.Wrapf(err, format, args...)}
}

// Error implements error.
func (e *FlagError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *FlagError) Unwrap() error { return e.err }

var (
	// ErrCancel is returned if the operator or a signal ended the command.
	ErrCancel = errors.New("cancelled")
	// ErrSilent is returned for a failure that the command has already printed.
	ErrSilent = errors.New("failed")
)

// ExitCode returns the exit code for the error that a command returned, or for nil.
func ExitCode(err error) int {
	var flag *FlagError
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &flag):
		return program.ExitUsage
	case errors.Is(err, ErrCancel):
		return program.ExitCancelled
	}
	return program.ExitError
}
