// Package record keeps what a stand-in target ran. With a file, the record
// outlives a crash of the process.
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
	// Ended is zero until the run ended, and for good if the target crashed.
	Ended time.Time
}

// Record is the list of all runs. It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

// line is an entry of the file: run number N started or ended.
type entry struct {
	N   int
	Run Run
}

// Open returns the record kept in the file at path, or an empty one in memory when
// path is empty.
func Open(path string) (*Record, error) {
	r := &Record{}
	if path == "" {
		return r, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open record")
	}
	// A line is incomplete if the process was killed while writing it.
	if err := f.Truncate(r.readEntries(f)); err != nil {
		return nil, errors.Wrap(err, "cut record")
	}
	r.file = f
	return r, nil
}

// Read returns the runs in the file at path, which a target may be writing.
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

// load reads complete lines and returns their length in bytes.
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

// Start adds a run and returns its number. The run counts from here on.
func (r *Record) Start(run Run) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.runs)
	return n, r.write(entry{N: n, Run: run})
}

// End sets the end of a run.
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

// Runs returns all runs so far.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

// Close closes the file.
func (r *Record) Close() error {
	if r.file == nil {
		return nil
	}
	return errors.Wrap(r.file.Close(), "close record")
}
