package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Checker is a message or setting that validates its own values.
type Checker interface {
	// Check returns an error that names the first invalid field, or nil.
	Check() error
}

// Decode parses a JSON message into v and validates it. Unknown fields are ignored, so
// that processes of two releases can communicate during a rolling upgrade.
func Decode(data []byte, v Checker) error {
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "decode %T", v)
	}
	return errors.Wrapf(v.Check(), "decode %T", v)
}

// checkAll returns the first non-nil error, or nil.
func checkAll(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
