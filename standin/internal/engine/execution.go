package engine

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ErrCancelled is returned for the answer of cancelled work.
var ErrCancelled = errors.New("work was cancelled")

// Answer describes the answer to a request before it exists.
type Answer struct {
	ContentType string
	// Streamed answers are sent as they grow; others have a Content-Length.
	Streamed bool
	// Size is the length of the whole answer in bytes.
	Size int
}

// Work is one request that runs or ran. Its answer can be read from any offset by
// any number of readers while it grows.
type Execution struct {
	ID fleet.RequestID
	Answer

	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	body     []byte
	complete bool
	err      error
	changed  chan struct{}
	readers  int
}

func newExecution(id fleet.RequestID, answer Answer, cancel context.CancelFunc) *Execution {
	return &Execution{ID: id, Answer: answer, cancel: cancel, ended: make(chan struct{}), changed: make(chan struct{})}
}

// add appends to the answer.
func (x *Execution) appendPart(part string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.body = append(x.body, part...)
	x.notifyReaders()
}

// end adds the last part and finishes the answer; err is nil when it is whole.
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

// Read waits for bytes of the answer from offset on. It returns whole when the
// returned bytes are the last ones.
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

// attach changes the number of readers and returns it.
func (x *Execution) addReaders(delta int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers += delta
	return x.readers
}
