// Package explain stores the latest decisions of a process, so that operators can find out
// why a request waited, was refused or was retried.
package explain

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// DefaultCapacity is the number of decisions that a process stores.
const DefaultCapacity = 16384

// DecisionLog stores the newest decisions. It is safe for concurrent use.
type DecisionLog struct {
	mu   sync.Mutex
	ring []fleet.Decision
	// oldest is the index in ring of the oldest decision.
	oldest int
}

// NewDecisionLog returns an empty log for at most capacity decisions. capacity must be
// positive.
func NewDecisionLog(capacity int) *DecisionLog {
	return &DecisionLog{ring: make([]fleet.Decision, 0, capacity)}
}

// Add appends a decision. If the log is full, it replaces the oldest one.
func (l *DecisionLog) Add(d fleet.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.oldest] = d
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// ForRequest returns the decisions about one request, oldest first.
func (l *DecisionLog) ForRequest(id fleet.RequestID) []fleet.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []fleet.Decision{}
	for i := range l.ring {
		d := l.ring[(l.oldest+i)%len(l.ring)]
		if d.Request == id {
			found = append(found, d)
		}
	}
	return found
}
