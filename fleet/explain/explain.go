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

// NewDecisionLog returns an empty log for at most capacity decisions.
func NewDecisionLog(capacity int) *DecisionLog {
	return &DecisionLog{ring: make([]fleet.Decision, 0, capacity)}
}

// Add appends a decision. If the log is full, it replaces the oldest one.
func (r *DecisionLog) Add(d fleet.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.oldest] = d
	r.oldest = (r.oldest + 1) % len(r.ring)
}

// ForRequest returns the decisions about one request, oldest first.
func (r *DecisionLog) ForRequest(id fleet.RequestID) []fleet.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []fleet.Decision{}
	for i := range r.ring {
		d := r.ring[(r.oldest+i)%len(r.ring)]
		if d.Request == id {
			found = append(found, d)
		}
	}
	return found
}
