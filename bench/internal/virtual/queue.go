// Package virtual runs functions in the order of a virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// Start is the moment at which every queue begins.
var Start = time.Date(2026, time.June, 1, 0, 0, 0, 0, time.UTC)

// Queue holds functions that wait for their moment. It is not safe for
// concurrent use. Functions of the same moment run in the order of their scheduling.
type Queue struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

// NewQueue makes a queue that stands at Start.
func NewQueue() *Queue { return &Queue{now: Start} }

// Now returns the current virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Elapsed returns the virtual time since Start.
func (q *Queue) Elapsed() time.Duration { return q.now.Sub(Start) }

// After runs f once d has passed.
func (q *Queue) After(d time.Duration, f func()) { q.At(q.now.Add(max(d, 0)), f) }

// At runs f at the moment t, or next when t has passed.
func (q *Queue) At(t time.Time, f func()) {
	if t.Before(q.now) {
		t = q.now
	}
	q.sequence++
	heap.Push(&q.events, event{at: t, sequence: q.sequence, run: f})
}

// Every runs f at each multiple of d, first after d.
func (q *Queue) Every(d time.Duration, f func()) {
	q.After(d, func() {
		f()
		q.Every(d, f)
	})
}

// RunUntil runs everything that is due up to the moment t.
func (q *Queue) RunUntil(t time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(t) {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
	q.now = t
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
