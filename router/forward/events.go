package forward

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds an event of a stream. The bytes of an event are collected until it is
// whole.
const maxEventBytes = 256 << 10

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// eventScanner splits a stream of server-sent events into whole events and records the
// last event id.
type eventScanner struct {
	partial []byte
	// begun reports whether the current attempt has completed an event.
	begun bool
	// lastID is the last event id among the events returned so far; empty if there was
	// none.
	lastID string
}

// reset prepares for the stream of another attempt. It keeps lastID.
func (s *eventScanner) reset() { s.partial, s.begun = nil, false }

// add takes the next part of a stream and returns the events that it completes. It fails if
// an event exceeds maxEventBytes.
func (s *eventScanner) add(p []byte) ([]byte, error) {
	// The end of an event may begin in the part before.
	searched := max(0, len(s.partial)-len(eventEnd)+1)
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial[searched:], eventEnd)
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return nil, errors.Errorf("event of the stream has more than %d bytes", maxEventBytes)
		}
		return nil, nil
	}
	end += searched
	end += len(eventEnd)
	events := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	s.begun = true
	s.recordLastID(events)
	return events, nil
}

// end returns what follows the last whole event at the end of a stream. It fails if that is
// a part of another event, or if the stream was not framed and had no event: such a stream ends
// like one whose target failed before the first event.
func (s *eventScanner) end(framed bool) ([]byte, error) {
	rest := s.partial
	s.partial = nil
	if len(bytes.TrimSpace(rest)) > 0 {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "inside an event")
	}
	if !framed && !s.begun {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "before an event")
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
