// Package explain keeps the bounded record of a process's decisions, by which
// operators learn why a request waited, was refused or was retried.
package explain

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// DefaultCapacity is the number of decisions that a process keeps.
const DefaultCapacity = 16384

// Record keeps the newest decisions. It is safe for concurrent use.
type DecisionLog struct {
	mu   sync.Mutex
	ring []fleet.Decision
	next int
}

// NewRecord makes a record that keeps capacity decisions.
func NewDecisionLog(capacity int) *DecisionLog {
	return &DecisionLog{ring: make([]fleet.Decision, 0, capacity)}
}

// Add appends a decision; the oldest is dropped when the record is full.
func (r *DecisionLog) Add(d fleet.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
}

// Of returns the decisions about one request, oldest first.
func (r *DecisionLog) ForRequest(id fleet.RequestID) []fleet.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []fleet.Decision{}
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.Request == id {
			found = append(found, d)
		}
	}
	return found
}
