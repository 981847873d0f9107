package forward

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// eventScanner splits a stream of server-sent events into whole events and records the
// last event id.
type eventScanner struct {
	partial []byte
	// lastID is the last event id among the events returned so far; empty if there was
	// none.
	lastID string
}

// reset prepares for the stream of another attempt. It keeps lastID.
func (s *eventScanner) reset() { s.partial = nil }

// add takes the next part of a stream and returns the events that it completes.
func (s *eventScanner) add(p []byte) []byte {
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	s.recordLastID(events)
	return events
}

// end returns what follows the last whole event at the end of a stream. It fails if that is
// a part of another event.
func (s *eventScanner) end() ([]byte, error) {
	rest := s.partial
	s.partial = nil
	if len(bytes.TrimSpace(rest)) > 0 {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "inside an event")
	}
	return rest, nil
}

// recordLastID stores the last id found in whole events.
func (s *eventScanner) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}
