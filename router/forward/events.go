package forward

import (
	"bytes"
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

// flush returns the bytes after the last whole event, at the end of a stream.
func (s *eventScanner) flush() []byte {
	out := s.partial
	s.partial = nil
	return out
}

// recordLastID stores the last id found in whole events.
func (s *eventScanner) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}
