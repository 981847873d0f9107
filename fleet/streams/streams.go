// Package streams stores the origins of streams that callers may still resume.
package streams

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// retention is how long an origin is stored. It is longer than callers' deadlines, after
	// which they do not resume a stream.
	retention = 2 * time.Minute
	// maxOrigins bounds the origins stored; the oldest ones are dropped first.
	maxOrigins = 1 << 17
)

// Store holds origins of streams. It reads no clock and is not safe for concurrent use.
type Store struct {
	origins map[fleet.RequestID]fleet.StreamOrigin
	// order has the streams in the order in which they were stored.
	order []stored
}

// stored is a stream and when its origin was stored.
type stored struct {
	stream fleet.RequestID
	at     time.Time
}

// New returns an empty Store.
func New() *Store { return &Store{origins: map[fleet.RequestID]fleet.StreamOrigin{}} }

// Add stores an origin. The first origin of a stream is kept: a stream begins only once.
func (s *Store) Add(now time.Time, o fleet.StreamOrigin) {
	s.expire(now)
	if _, ok := s.origins[o.Stream]; ok {
		return
	}
	if len(s.order) == maxOrigins {
		s.dropOldest()
	}
	s.origins[o.Stream] = o
	s.order = append(s.order, stored{o.Stream, now})
}

// Find returns the origin of a stream; ok is false if it is not stored.
func (s *Store) Find(now time.Time, stream fleet.RequestID) (o fleet.StreamOrigin, ok bool) {
	s.expire(now)
	o, ok = s.origins[stream]
	return o, ok
}

// All returns all origins, the oldest first.
func (s *Store) All(now time.Time) []fleet.StreamOrigin {
	s.expire(now)
	out := make([]fleet.StreamOrigin, 0, len(s.order))
	for _, e := range s.order {
		out = append(out, s.origins[e.stream])
	}
	return out
}

// expire drops the origins that are older than retention.
func (s *Store) expire(now time.Time) {
	for len(s.order) > 0 && now.Sub(s.order[0].at) > retention {
		s.dropOldest()
	}
}

func (s *Store) dropOldest() {
	delete(s.origins, s.order[0].stream)
	s.order[0] = stored{}
	s.order = s.order[1:]
}
