// Package virtual provides virtual time: a queue of functions that are run in the order of
// their scheduled times, without waiting.
package virtual

import (
	"container/heap"
	"time"
)

// Start is the initial time of every queue.
var Start = time.Date(2026, time.June, 1, 0, 0, 0, 0, time.UTC)

// Queue is a clock and the functions scheduled on it. Functions with the same time run in
// the order in which they were scheduled. A Queue is not safe for concurrent use.
type Queue struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

// NewQueue returns an empty queue whose time is Start.
func NewQueue() *Queue { return &Queue{now: Start} }

// Now returns the current virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Elapsed returns the virtual time since Start.
func (q *Queue) Elapsed() time.Duration { return q.now.Sub(Start) }

// After schedules f after the duration d; a negative d counts as 0.
func (q *Queue) After(d time.Duration, f func()) { q.At(q.now.Add(max(d, 0)), f) }

// At schedules f at the time t, or now if t has passed.
func (q *Queue) At(t time.Time, f func()) {
	if t.Before(q.now) {
		t = q.now
	}
	q.sequence++
	heap.Push(&q.events, event{at: t, sequence: q.sequence, run: f})
}

// Every schedules f repeatedly at the interval d, for the first time after d.
func (q *Queue) Every(d time.Duration, f func()) {
	q.After(d, func() {
		f()
		q.Every(d, f)
	})
}

// RunUntil runs all functions scheduled up to t, those that they schedule included, and
// sets the time to t.
func (q *Queue) RunUntil(t time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(t) {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
	q.now = t
}

// event is a scheduled function.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap of events by time, then by sequence.
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
