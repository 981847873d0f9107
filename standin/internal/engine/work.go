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
type Work struct {
	ID fleet.RequestID
	Answer

	cancel context.CancelFunc
	ended  chan struct{}

	mu      sync.Mutex
	body    []byte
	whole   bool
	err     error
	changed chan struct{}
	readers int
}

func newWork(id fleet.RequestID, a Answer, cancel context.CancelFunc) *Work {
	return &Work{ID: id, Answer: a, cancel: cancel, ended: make(chan struct{}), changed: make(chan struct{})}
}

// add appends to the answer.
func (w *Work) add(p string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = append(w.body, p...)
	w.notify()
}

// end adds the last part and finishes the answer; err is nil when it is whole.
func (w *Work) end(last string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.body = append(w.body, last...)
	w.whole, w.err = err == nil, err
	close(w.ended)
	w.notify()
}

func (w *Work) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Read waits for bytes of the answer from offset on. It returns whole when the
// returned bytes are the last ones.
func (w *Work) Read(ctx context.Context, offset int) (p []byte, whole bool, err error) {
	for {
		w.mu.Lock()
		p, whole, err = w.body[min(offset, len(w.body)):], w.whole, w.err
		changed := w.changed
		w.mu.Unlock()
		if err != nil || whole || len(p) > 0 {
			return p, whole, err
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-changed:
		}
	}
}

// attach changes the number of readers and returns it.
func (w *Work) attach(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readers += n
	return w.readers
}
