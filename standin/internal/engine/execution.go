package engine

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ErrCancelled is returned by Execution.Read after the request was cancelled.
var ErrCancelled = errors.New("request was cancelled")

// Answer describes the headers of an answer before its body is produced.
type Answer struct {
	ContentType string
	// Streamed answers are sent part by part; others have a Content-Length.
	Streamed bool
	// Size is the length of the complete body in bytes.
	Size int
}

// Execution is a running or finished request. Any number of readers can read its answer
// from any offset while it is produced.
type Execution struct {
	ID fleet.RequestID
	Answer

	cancel context.CancelFunc
	// ended is closed when the answer is complete or has failed.
	ended chan struct{}

	mu       sync.Mutex
	body     []byte
	complete bool
	err      error
	// changed is closed and replaced at every change of the answer.
	changed chan struct{}
	readers int
}

func newExecution(id fleet.RequestID, answer Answer, cancel context.CancelFunc) *Execution {
	return &Execution{ID: id, Answer: answer, cancel: cancel, ended: make(chan struct{}), changed: make(chan struct{})}
}

// appendPart appends a part to the answer.
func (x *Execution) appendPart(part string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.body = append(x.body, part...)
	x.notifyReaders()
}

// finish appends the last part and ends the answer; err is nil if the answer is complete.
func (x *Execution) finish(lastPart string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.body = append(x.body, lastPart...)
	x.complete, x.err = err == nil, err
	close(x.ended)
	x.notifyReaders()
}

func (x *Execution) notifyReaders() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// Read returns the bytes of the answer that are available from offset on, and waits if
// there are none. complete reports whether p ends with the last byte of the answer.
func (x *Execution) Read(ctx context.Context, offset int) (p []byte, complete bool, err error) {
	for {
		x.mu.Lock()
		p, complete, err = x.body[min(offset, len(x.body)):], x.complete, x.err
		changed := x.changed
		x.mu.Unlock()
		if err != nil || complete || len(p) > 0 {
			return p, complete, err
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-changed:
		}
	}
}

// addReaders changes the number of readers by delta and returns the new number.
func (x *Execution) addReaders(delta int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers += delta
	return x.readers
}
