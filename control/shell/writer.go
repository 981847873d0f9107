package shell

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// writer makes Writes durable in order. All that wait go into one sync, unless each
// record is to be synced by itself.
type writer struct {
	storage fleet.Storage
	each    bool
	done    func(fleet.Sequence)
	// failed is told of each error; the batch is written again when it returns true.
	failed func(error) bool

	mu      sync.Mutex
	cond    *sync.Cond
	waiting []quorum.Write
	closed  bool
}

func newWriter(storage fleet.Storage, each bool, done func(fleet.Sequence), failed func(error) bool) *writer {
	w := &writer{storage: storage, each: each, done: done, failed: failed}
	w.cond = sync.NewCond(&w.mu)
	return w
}

// add queues a Write.
func (w *writer) add(e quorum.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(w.waiting, e)
	w.cond.Signal()
}

// close ends run.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.cond.Signal()
}

// run writes until close or an error after which failed wants no other try. Until a
// batch is durable nothing that rests on it leaves the replica.
func (w *writer) run() error {
	for {
		batch := w.next()
		if batch == nil {
			return nil
		}
		for {
			err := w.write(batch)
			if err == nil {
				break
			}
			if !w.failed(err) {
				return err
			}
			w.storage.Discard()
		}
		w.done(batch[len(batch)-1].Sequence)
	}
}

// next waits for Writes and returns all of them, or nil after close.
func (w *writer) next() []quorum.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) == 0 && !w.closed {
		w.cond.Wait()
	}
	if w.closed {
		return nil
	}
	batch := w.waiting
	w.waiting = nil
	return batch
}

func (w *writer) write(batch []quorum.Write) error {
	for _, e := range batch {
		if err := w.append(e); err != nil {
			return err
		}
	}
	counters.Add("Syncs", 1)
	return w.storage.Sync()
}

func (w *writer) append(e quorum.Write) error {
	raw := make([][]byte, len(e.Records))
	for i := range e.Records {
		var err error
		if raw[i], err = quorum.EncodeRecord(&e.Records[i]); err != nil {
			return err
		}
	}
	counters.Add("Records", int64(len(raw)))
	if e.Replace {
		counters.Add("Rewrites", 1)
		return w.storage.Replace(raw...)
	}
	if !w.each {
		return w.storage.Append(raw...)
	}
	for i := range raw {
		if err := w.appendSynced(raw[i]); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) appendSynced(record []byte) error {
	if err := w.storage.Append(record); err != nil {
		return err
	}
	counters.Add("Syncs", 1)
	return w.storage.Sync()
}
