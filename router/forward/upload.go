package forward

import (
	"io"

	"github.com/pkg/errors"
)

// upload is the writing of a request to a target.
type upload struct {
	// done is closed once the request is written or the writing has failed; err is set before.
	done chan struct{}
	err  error
}

// hasEnded reports whether the request is written or the writing has failed.
func (u *upload) hasEnded() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// failed reports whether the writing has failed.
func (u *upload) failed() bool { return u.hasEnded() && u.err != nil }

// succeeded reports whether the whole request is written.
func (u *upload) succeeded() bool { return u.hasEnded() && u.err == nil }

// unframedBody is the body of a response that ends with its connection. A reset of the connection
// is reported once, to the writing of the request if that still goes on. The body then ends as if
// the target had closed the connection, so it is whole only if the request could be written.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader. The end of the attempt's context ends the wait for the upload.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if <-b.upload.done; b.upload.err != nil {
		return n, errors.Wrap(b.upload.err, "the response ended before the request was written")
	}
	return n, err
}
