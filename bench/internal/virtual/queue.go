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
	now   time.Time
	items items
	order uint64
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
	q.order++
	heap.Push(&q.items, item{at: t, order: q.order, run: f})
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
	for len(q.items) > 0 && !q.items[0].at.After(t) {
		next := heap.Pop(&q.items).(item)
		q.now = next.at
		next.run()
	}
	q.now = t
}

type item struct {
	at    time.Time
	order uint64
	run   func()
}

type items []item

func (h items) Len() int { return len(h) }

func (h items) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *items) Push(x any) { *h = append(*h, x.(item)) }

// Pop implements heap.Interface.
func (h *items) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item{}
	*h = old[:len(old)-1]
	return last
}
