// Package packed compresses the texts that the fleet's processes store and send.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// MaxTextBytes is the maximum size of a decompressed text.
const MaxTextBytes = 16 << 20

// Compress returns the text as a DEFLATE stream (RFC 1951).
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

// Decompress reverses Compress. Texts of more than MaxTextBytes are an error.
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
