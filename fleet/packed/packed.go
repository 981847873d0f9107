// Package packed compresses texts that are kept and sent by the fleet's processes.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// MaxText bounds a text after it is unpacked, in bytes.
const MaxTextBytes = 16 << 20

// Pack returns a text as a DEFLATE stream (RFC 1951).
func Compress(text []byte) ([]byte, error) {
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
func Decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack text")
	}
	if len(text) > MaxTextBytes {
		return nil, errors.Errorf("text has more than %d bytes", MaxTextBytes)
	}
	return text, nil
}
