package overload

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// CustomerShares counts the requests in flight of each customer. The zero value is ready for use.
type CustomerShares struct {
	mu       sync.Mutex
	inFlight map[fleet.CustomerName]int
	total    int
}

// Begin counts a request. The returned function must be called at its end.
func (s *CustomerShares) Begin(c fleet.CustomerName) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = map[fleet.CustomerName]int{}
	}
	s.inFlight[c]++
	s.total++
	return func() { s.end(c) }
}

func (s *CustomerShares) end(c fleet.CustomerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.inFlight[c]--; s.inFlight[c] == 0 {
		delete(s.inFlight, c)
	}
}

// IsBelowEven reports whether a customer has fewer requests in flight than each would have if all
// had the same number.
func (s *CustomerShares) IsBelowEven(c fleet.CustomerName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	customers := len(s.inFlight)
	if s.inFlight[c] == 0 {
		customers++
	}
	return s.inFlight[c]*customers < s.total
}
