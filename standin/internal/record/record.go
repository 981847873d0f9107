// Package record records the requests that a stand-in target ran. Written to a file, the
// record survives a crash of the process.
package record

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Run is one run of a request on the target.
type Run struct {
	RequestID   fleet.RequestID `json:"RequestId"`
	Key         fleet.IdempotencyKey
	ContentHash fleet.ContentHash
	Started     time.Time
	// Ended is the zero time while the run is in progress, and if the target crashed during
	// the run.
	Ended time.Time
}

// Record is the list of all runs. It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

// entry is a line of the file: run number N, written at its start and again at its end.
type entry struct {
	N   int
	Run Run
}

// Open opens the record in the file at path and creates the file if there is none. An
// empty path gives a record in memory.
func Open(path string) (*Record, error) {
	r := &Record{}
	if path == "" {
		return r, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open record")
	}
	// The last line is incomplete if the process was killed while writing it.
	if err := f.Truncate(r.readEntries(f)); err != nil {
		return nil, errors.Wrap(err, "truncate record")
	}
	r.file = f
	return r, nil
}

// Read returns the runs in the file at path. A target may be writing to the file: an
// incomplete last line is skipped.
func Read(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	defer f.Close()
	r := &Record{}
	r.readEntries(f)
	return r.runs, nil
}

// readEntries applies the complete lines of the file and returns their length in bytes.
func (r *Record) readEntries(f *os.File) int64 {
	var completeBytes int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var e entry
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			break
		}
		r.apply(e)
		completeBytes += int64(len(lines.Bytes())) + 1
	}
	return completeBytes
}

func (r *Record) apply(e entry) {
	for len(r.runs) <= e.N {
		r.runs = append(r.runs, Run{})
	}
	r.runs[e.N] = e.Run
}

// Start records the start of a run and returns its number, from 0. The run is in the record
// also if writing it to the file fails.
func (r *Record) Start(run Run) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.runs)
	return n, r.write(entry{N: n, Run: run})
}

// End records the end of the run with number n.
func (r *Record) End(n int, at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[n]
	run.Ended = at
	return r.write(entry{N: n, Run: run})
}

func (r *Record) write(e entry) error {
	r.apply(e)
	if r.file == nil {
		return nil
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	_, err = r.file.Write(append(raw, '\n'))
	return errors.Wrap(err, "write record")
}

// Runs returns a copy of all runs, ordered by start.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

// Close closes the file, if the record has one.
func (r *Record) Close() error {
	if r.file == nil {
		return nil
	}
	return errors.Wrap(r.file.Close(), "close record")
}
