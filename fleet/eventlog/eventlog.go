// Package eventlog records the events of a reducer and replays them. A log is a
// text file with one JSON entry a line.
package eventlog

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxLine is the longest entry in bytes.
const maxLine = 16 << 20

// Entry is one recorded event.
type Entry struct {
	At    time.Time
	Name  string
	Event json.RawMessage
}

// Writer records events.
type Writer struct {
	enc *json.Encoder
}

// NewWriter makes a Writer.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Write records one event.
func (w *Writer) Write(now time.Time, ev fleet.Event) error {
	raw, err := json.Marshal(ev)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", ev.EventName())
	}
	return errors.Wrap(w.enc.Encode(Entry{At: now, Name: ev.EventName(), Event: raw}), "write event log")
}

// Decoder makes an event of a reducer from its name and JSON.
type Decoder func(name string, raw json.RawMessage) (fleet.Event, error)

// Each calls f with every event of the log in order.
func ForEach(r io.Reader, decode Decoder, f func(now time.Time, ev fleet.Event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
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

// DecodeAs unmarshals raw into a new T and returns it, for use in a Decoder.
func DecodeAs[T fleet.Event](raw json.RawMessage) (fleet.Event, error) {
	var ev T
	if err := json.Unmarshal(raw, &ev); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", ev.EventName())
	}
	return ev, nil
}
