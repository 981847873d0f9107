package rig

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Load sends the requests of one tenant and counts them by the second.
type Load struct {
	rig    *Rig
	Tenant string
	Key    string
	// Path is that of all requests if it doesn't end with a slash; the id of the request follows otherwise.
	Path string
	// Router picks the router of each request.
	Router func() string

	mu sync.Mutex
	// asked, got and turned count the requests that were sent, served and refused, by the second in
	// which they were sent.
	asked, got, turned map[int]int
	statuses           map[int]int
}

// NewLoad returns the load of a tenant.
func (r *Rig) NewLoad(tenant, key, path string, router func() string) *Load {
	return &Load{rig: r, Tenant: tenant, Key: key, Path: path, Router: router, asked: map[int]int{}, got: map[int]int{}, turned: map[int]int{}, statuses: map[int]int{}}
}

// Send sends one request and returns its status.
func (l *Load) Send() int {
	second := int(l.rig.Since().Seconds())
	id := NewID()
	answer := l.rig.Do(Attempt{Router: l.Router(), Method: http.MethodGet, Path: l.path(id), ID: id, Key: l.Key, Wait: 3 * time.Second})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[second]++
	l.statuses[answer.Status]++
	if answer.Status == http.StatusOK && answer.Err == nil {
		l.got[second]++
	} else {
		l.turned[second]++
	}
	return answer.Status
}

func (l *Load) path(id string) string {
	if strings.HasSuffix(l.Path, "/") {
		return l.Path + id
	}
	return l.Path
}

// Run sends requests at a steady rate for a time.
func (l *Load) Run(gap, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for next := time.Now(); next.Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		wg.Go(func() { l.Send() })
	}
	wg.Wait()
}

// Statuses returns the number of requests by status.
func (l *Load) Statuses() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses
}

// CountSince returns the numbers of requests that were sent from a second on, and of those that were served.
func (l *Load) CountSince(from int) (asked, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for second, n := range l.asked {
		if second >= from {
			asked, served = asked+n, served+l.got[second]
		}
	}
	return asked, served
}

// UnfairSince returns the number of spans of six seconds from a second on in which, as the rule FAIR
// has it, this tenant has in each second a request that is refused, and gets less than half of what it
// asked or the other tenant got, whichever is less, second by second, less three requests.
func (l *Load) UnfairSince(from int, best *Load) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	best.mu.Lock()
	defer best.mu.Unlock()
	last := 0
	for second := range l.asked {
		last = max(last, second)
	}
	spans := 0
	for begin := from; begin+5 < last; begin++ {
		owed, got, turned := 0, 0, true
		for second := begin; second < begin+6; second++ {
			owed += min(l.asked[second], best.got[second])
			got += l.got[second]
			turned = turned && l.turned[second] > 0
		}
		if turned && 2*got < owed-3 {
			spans++
		}
	}
	return spans
}
