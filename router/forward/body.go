package forward

import "io"

// Body is the body of a request in pieces, in order. A body of unknown length then grows without copies,
// and takes no more memory than has arrived.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int64 {
	n := int64(0)
	for _, piece := range b {
		n += int64(len(piece))
	}
	return n
}

// Reader returns a new reader of the body. Bodies may be read several times, also at the same time.
func (b Body) Reader() io.Reader { return &bodyReader{rest: b} }

// bodyReader reads a Body.
type bodyReader struct {
	rest Body
	// begin is the number of bytes of the first piece of rest that were read.
	begin int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) > 0 {
		n := copy(p, r.rest[0][r.begin:])
		if r.begin += n; r.begin == len(r.rest[0]) {
			r.rest, r.begin = r.rest[1:], 0
		}
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// WriteTo implements io.WriterTo, which saves a copy.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for len(r.rest) > 0 {
		n, err := w.Write(r.rest[0][r.begin:])
		written += int64(n)
		if err != nil {
			return written, err
		}
		r.rest, r.begin = r.rest[1:], 0
	}
	return written, nil
}
