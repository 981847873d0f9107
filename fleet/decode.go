package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Checker is a message or setting that can tell whether its values are allowed.
type Checker interface {
	// Check returns an error that names the first field with a bad value.
	Check() error
}

// Decode parses a JSON message and checks it. Unknown fields are ignored, so that
// processes of two releases can talk during a rolling upgrade.
func Decode(data []byte, v Checker) error {
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "decode %T", v)
	}
	return errors.Wrapf(v.Check(), "decode %T", v)
}

// checkAll returns the first error of the given checks.
func checkAll(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
