// Package eventlog records the events of a reducer and reads them back. A log is a text
// file with one JSON entry per line.
package eventlog

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxEntryBytes is the maximum length of an entry.
const maxEntryBytes = 16 << 20

// Entry is one recorded event.
type Entry struct {
	// At is the time that was passed to the reducer with the event.
	At time.Time
	// Name is the event's EventName.
	Name  string
	Event json.RawMessage
}

// Writer writes events to a log. It is not safe for concurrent use.
type Writer struct {
	enc *json.Encoder
}

// NewWriter returns a Writer that appends to w.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Write writes one event and the time that is passed to the reducer with it.
func (w *Writer) Write(now time.Time, ev fleet.Event) error {
	raw, err := json.Marshal(ev)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", ev.EventName())
	}
	return errors.Wrap(w.enc.Encode(Entry{At: now, Name: ev.EventName(), Event: raw}), "write event log")
}

// Decoder decodes an event of a reducer from its name and JSON.
type Decoder func(name string, raw json.RawMessage) (fleet.Event, error)

// ForEach calls f with each event of the log and its time, in order. It stops at the first
// error; errors name the line.
func ForEach(r io.Reader, decode Decoder, f func(now time.Time, ev fleet.Event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxEntryBytes)
	for n := 1; lines.Scan(); n++ {
		var e Entry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return errors.Wrapf(err, "event log line %d", n)
		}
		ev, err := decode(e.Name, e.Event)
		if err != nil {
			return errors.Wrapf(err, "event log line %d", n)
		}
		if err := f(e.At, ev); err != nil {
			return errors.Wrapf(err, "event log line %d", n)
		}
	}
	return errors.Wrap(lines.Err(), "read event log")
}

// DecodeAs decodes raw as an event of type T. Decoders use it for each type of event.
func DecodeAs[T fleet.Event](raw json.RawMessage) (fleet.Event, error) {
	var ev T
	if err := json.Unmarshal(raw, &ev); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", ev.EventName())
	}
	return ev, nil
}
