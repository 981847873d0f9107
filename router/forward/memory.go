package forward

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

const (
	// firstBuffer is the size of the first buffer for a response of unknown length, in bytes.
	firstBuffer = 2 << 10
	// freeHeader is the size up to which the header of a response does not count in the budget, in
	// bytes. Ordinary ones are smaller, and part of what a request takes in any case.
	freeHeader = 8 << 10
	// parsedHeaderFactor is how much more memory a parsed header takes than its bytes.
	parsedHeaderFactor = 3
)

// readBuffered reads the body of a response into memory. whole is false if it has more than
// maxBuffered bytes or there is no memory for all of it; body is its beginning then.
func (x *exchange) readBuffered(resp *http.Response) (body []byte, whole bool, err error) {
	size := int64(firstBuffer)
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBuffered {
		size = resp.ContentLength
	}
	for {
		if int64(len(body)) == size && size == resp.ContentLength {
			return body, true, nil
		}
		if len(body) == cap(body) {
			if len(body) > 0 {
				size = 2 * size
			}
			if size > maxBuffered || x.req.Hold.TryGrow(x.forwarder.cfg.Clock.Now(), size-int64(cap(body))) != nil {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// reserveEvent makes the event that is being collected count in the budget.
func (x *exchange) reserveEvent() error {
	held := int64(cap(x.events.partial))
	if held <= x.reservedEvent {
		return nil
	}
	if err := x.req.Hold.TryGrow(x.forwarder.cfg.Clock.Now(), held-x.reservedEvent); err != nil {
		return errors.Wrap(err, "collect an event of the stream")
	}
	x.reservedEvent = held
	return nil
}

// reserveHeader makes a large header of a response count in the budget.
func (x *exchange) reserveHeader(size int64) error {
	if size <= freeHeader {
		return nil
	}
	return errors.Wrap(x.req.Hold.TryGrow(x.forwarder.cfg.Clock.Now(), parsedHeaderFactor*size), "keep the header of the answer")
}

// write writes a part of a response. While the caller does not read it, it may be ended to free memory.
func (rw *responseWriter) write(p []byte, flush bool) error {
	if err := rw.hold.Enter(rw.clock.Now(), bytebudget.Answering); err != nil {
		return err
	}
	n, err := rw.w.Write(p)
	if err == nil && flush {
		err = http.NewResponseController(rw.w).Flush()
	}
	now := rw.clock.Now()
	rw.hold.Progress(now, int64(n))
	if ended := rw.hold.Enter(now, bytebudget.Sent); ended != nil {
		return ended
	}
	return err
}
