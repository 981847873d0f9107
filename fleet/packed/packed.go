// Package packed compresses texts that are kept and sent by the fleet's processes.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// MaxText bounds a text after it is unpacked, in bytes.
const MaxText = 16 << 20

// Pack returns a text as a DEFLATE stream (RFC 1951).
func Pack(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack text")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack text")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack text")
	}
	return buf.Bytes(), nil
}

// Unpack returns the text that Pack was given.
func Unpack(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, MaxText+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack text")
	}
	if len(text) > MaxText {
		return nil, errors.Errorf("text has more than %d bytes", MaxText)
	}
	return text, nil
}
