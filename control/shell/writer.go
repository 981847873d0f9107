package shell

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// writer makes Writes durable in order. It syncs all queued Writes at once or, with syncEach,
// each record by itself.
type writer struct {
	storage  fleet.Storage
	syncEach bool
	// onDurable is called with the sequence of the last Write of each durable batch.
	onDurable func(fleet.Sequence)
	// retry is called after each error; the batch is written again if it returns true.
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

// add queues a Write. It does not block.
func (w *writer) add(e quorum.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queued = append(w.queued, e)
	w.cond.Signal()
}

// close makes run return. Writes that are still queued are not written.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.cond.Signal()
}

// run writes batches until close, or returns the error after which retry returned false.
// onDurable is called only after a batch is durable, since messages and answers that depend
// on it must not be sent earlier.
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

// next waits for Writes and returns all that are queued, or nil after close.
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

// write appends a batch to the storage and syncs it.
func (w *writer) write(batch []quorum.Write) error {
	for _, e := range batch {
		if err := w.append(e); err != nil {
			return err
		}
	}
	counters.Add("Syncs", 1)
	return w.storage.Sync()
}

// append appends the records of one Write; with syncEach it also syncs each.
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
