package shell

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// writer makes Writes durable in order. All that wait go into one sync, unless each
// record is to be synced by itself.
type writer struct {
	storage   fleet.Storage
	syncEach  bool
	onDurable func(fleet.Sequence)
	// failed is told of each error; the batch is written again when it returns true.
	retry func(error) bool

	mu     sync.Mutex
	cond   *sync.Cond
	queued []quorum.Write
	closed bool
}

func newWriter(storage fleet.Storage, syncEach bool, onDurable func(fleet.Sequence), retry func(error) bool) *writer {
	w := &writer{storage: storage, syncEach: syncEach, onDurable: onDurable, retry: retry}
	w.cond = sync.NewCond(&w.mu)
	return w
}

// add queues a Write.
func (w *writer) add(e quorum.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queued = append(w.queued, e)
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
			if !w.retry(err) {
				return err
			}
			w.storage.Discard()
		}
		w.onDurable(batch[len(batch)-1].Sequence)
	}
}

// next waits for Writes and returns all of them, or nil after close.
func (w *writer) next() []quorum.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) == 0 && !w.closed {
		w.cond.Wait()
	}
	if w.closed {
		return nil
	}
	batch := w.queued
	w.queued = nil
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
	if !w.syncEach {
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
