package command

import (
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// FlagError is an error in the command line or in what it names.
type FlagError struct {
	err error
}

// FlagErrorf makes a FlagError.
func FlagErrorf(format string, args ...any) error {
	return &FlagError{err: errors.Errorf(format, args...)}
}

// WrapFlagError makes a FlagError of an error, with a message before it.
func WrapFlagError(err error, format string, args ...any) error {
	return &FlagError{err: errors.Wrapf(err, format, args...)}
}

// Error implements error.
func (e *FlagError) Error() string { return e.err.Error() }

// Unwrap returns the error inside.
func (e *FlagError) Unwrap() error { return e.err }

var (
	// ErrCancel means that the operator or a signal ended the command.
	ErrCancel = errors.New("cancelled")
	// ErrSilent means failure that the command has already printed.
	ErrSilent = errors.New("failed")
)

// ExitCode returns the exit code for the error with which a command ended.
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
