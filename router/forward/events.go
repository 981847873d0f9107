package forward

import (
	"bytes"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// eventScanner splits a stream into whole events and remembers the id of the last one.

type eventScanner struct {
	partial []byte
	// last is the id of the last event that was returned; empty when it had none.
	lastID string
}

// restart begins the stream of another attempt.
func (s *eventScanner) reset() { s.partial = nil }

// add takes the next part of a stream and returns the events that are whole now.
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

// rest returns what follows the last whole event at the end of a stream.
func (s *eventScanner) flush() []byte {
	out := s.partial
	s.partial = nil
	return out
}

// remember notes the last id among whole events.
func (s *eventScanner) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}
