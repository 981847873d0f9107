package routing

import (
	"container/heap"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// attemptEndGrace is how long a running attempt may take to report its end after the deadline. The
// report says whether the request may have run.
const attemptEndGrace = 20 * time.Millisecond

// timer is the time at which a request has to be handled by timerDue.
type timer struct {
	at      time.Time
	request fleet.RequestID
}

// timerHeap orders timers by time, then by request. Timers of requests that have ended or got a
// later timer are ignored when they are due.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].request < h[j].request
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h *timerHeap) add(at time.Time, id fleet.RequestID) {
	heap.Push(h, timer{at: at, request: id})
}

// popDue removes and returns the earliest timer that is due at now.
func (h *timerHeap) popDue(now time.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(h).(timer), true
}

// tick handles the requests whose timers are due.
func (r *Router) tick(now time.Time) {
	r.tickRequested = false
	for {
		t, ok := r.timers.popDue(now)
		if !ok {
			break
		}
		q := r.requests[t.request]
		if q != nil && !q.wakeAt.IsZero() && !q.wakeAt.After(now) {
			r.timerDue(now, q)
		}
	}
	if len(r.timers) > 4*len(r.requests)+compactionSlack {
		r.rebuildTimers()
	}
	r.refuseWithoutDispatcher(now)
}

// rebuildTimers drops the timers of requests that have ended or have changed their timer.
func (r *Router) rebuildTimers() {
	r.timers = r.timers[:0]
	for _, q := range r.requests {
		if !q.wakeAt.IsZero() {
			r.timers = append(r.timers, timer{at: q.wakeAt, request: q.Request})
		}
	}
	heap.Init(&r.timers)
}

// timerDue handles the timer of a request by its state.
func (r *Router) timerDue(now time.Time, q *request) {
	switch {
	case q.state == stateRecording:
		r.answerDone(now, q)
	case !now.Before(q.deadline):
		r.deadlineReached(now, q)
	case q.state == stateQueued:
		r.fail(now, q, fleet.ReasonQueueTimeout, retryAfterQueue, "no target was free within %s", q.queueUntil.Sub(q.accepted))
	case q.state == stateBackingOff:
		r.enqueue(now, q)
	}
}

// deadlineReached ends a request whose deadline has passed. If it waits for another attempt, the
// failure of the last one is the reason.
func (r *Router) deadlineReached(now time.Time, q *request) {
	waiting := q.state == stateQueued || q.state == stateBackingOff
	if last := q.lastFailure; waiting && last.reason != "" {
		r.fail(now, q, last.reason, last.retryAfter, "the target failed and no other was free before the deadline: %s", last.detail)
		return
	}
	if q.attempt != nil {
		q.mayHaveRun = true
		r.release(q, fleet.OutcomeUnknown)
	}
	r.fail(now, q, fleet.ReasonDeadline, 0, "the deadline passed after %s", now.Sub(q.accepted))
}
