package model

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// meter measures from the outside: service as the engines deliver it, waits as the
// routers see them. It takes nothing from the reducers.
type meter struct {
	f        *Fleet
	services map[fleet.ServiceName]*serviceMeter
	names    []fleet.CustomerName
	index    map[fleet.CustomerName]int
	starts   startWatch
}

// serviceMeter measures one service.
type serviceMeter struct {
	weights []float64
	served  []float64
	waiting []int
	// pauses counts how often a customer's backlog ended.
	pauses []int
	pairs  map[[2]int]*pair
	// waitingNow is the number of waiting requests of all customers.
	waitingNow int
	used, able float64
	waitTime   time.Duration
}

// pair remembers the difference in weighted service when two customers became backlogged.
type pair struct {
	base           float64
	pausesA, pause int
}

// startWatch looks for the longest time without a start while work waited.
type startWatch struct {
	from, to time.Time
	last     time.Time
	gap      time.Duration
	starts   int
}

func newMeter(f *Fleet) *meter {
	m := &meter{
		f: f, services: map[fleet.ServiceName]*serviceMeter{}, names: f.cfg.Trace.Fleet.CustomerNames(),
		index: map[fleet.CustomerName]int{},
	}
	for i, c := range m.names {
		m.index[c] = i
	}
	for _, name := range f.cfg.Trace.Fleet.ServiceNames() {
		s := &serviceMeter{pairs: map[[2]int]*pair{}}
		for _, c := range m.names {
			s.weights = append(s.weights, float64(f.cfg.Trace.Fleet.Customers[c].Weight))
		}
		s.served = make([]float64, len(m.names))
		s.waiting = make([]int, len(m.names))
		s.pauses = make([]int, len(m.names))
		m.services[name] = s
	}
	return m
}

// serve counts service delivered to a customer.
func (m *meter) serve(service fleet.ServiceName, c fleet.CustomerName, amount float64) {
	m.services[service].served[m.index[c]] += amount
	m.f.result.service(service).Delivered += amount
}

// wait counts a request that begins (n = 1) or ends (n = -1) to wait.
func (m *meter) wait(service fleet.ServiceName, c fleet.CustomerName, n int) {
	s := m.services[service]
	i := m.index[c]
	s.waiting[i] += n
	s.waitingNow += n
	if s.waiting[i] == 0 {
		s.pauses[i]++
	}
}

// started records that a target admitted a request.
func (m *meter) started(req *request) {
	if !req.served {
		m.recordWait(req)
	}
	m.starts.start(m.f.queue.Now())
}

func (m *meter) recordWait(req *request) {
	wait := m.f.queue.Now().Sub(req.arrived)
	h := m.f.result.service(req.Service).Waits[req.Customer]
	// Values are clamped to the histogram's range, so recording never fails.
	_ = h.RecordValue(min(max(wait.Microseconds(), minWait), maxWait))
}

// sample takes one sample of fairness and utilisation.
func (m *meter) sample() {
	for _, e := range m.f.engines {
		e.Advance()
	}
	for name, s := range m.services {
		m.sampleGap(name, s)
	}
	m.sampleUse()
}

func (m *meter) sampleGap(name fleet.ServiceName, s *serviceMeter) {
	r := m.f.result.service(name)
	var backlogged []int
	for i, n := range s.waiting {
		if n > 0 {
			backlogged = append(backlogged, i)
		}
	}
	for x, a := range backlogged {
		for _, b := range backlogged[x+1:] {
			diff := s.served[a]/s.weights[a] - s.served[b]/s.weights[b]
			p := s.pairs[[2]int{a, b}]
			if p == nil || p.pausesA != s.pauses[a] || p.pause != s.pauses[b] {
				s.pairs[[2]int{a, b}] = &pair{base: diff, pausesA: s.pauses[a], pause: s.pauses[b]}
				continue
			}
			if gap := math.Abs(diff - p.base); gap > r.Gap {
				r.Gap, r.First, r.Second, r.GapAt = gap, m.names[a], m.names[b], m.f.queue.Elapsed()
			}
		}
	}
}

// sampleUse counts the bearable slots of targets that may take work, and those in
// use, for each service with waiting work.
func (m *meter) sampleUse() {
	for name, s := range m.services {
		if s.waitingNow == 0 {
			continue
		}
		s.waitTime += m.f.cfg.Sample
		for _, e := range m.f.engines {
			if e.Config().Service != name || !m.f.usable(e.Config().DataCentre, e.Leaving()) {
				continue
			}
			able := float64(e.Bearable())
			used := min(float64(e.Running()), able)
			s.used, s.able = s.used+used, s.able+able
		}
	}
}

// usable says whether targets of a data centre may take new work.
func (f *Fleet) usable(dc fleet.DataCentreName, leaving bool) bool {
	return !leaving && !f.config.DataCentresOut[dc]
}

// watchStarts looks for gaps between starts from now on.
func (m *meter) watchStarts(from time.Time, d time.Duration) {
	m.starts = startWatch{from: from, to: from.Add(d), last: from}
}

func (w *startWatch) start(now time.Time) {
	if now.Before(w.from) || now.After(w.to) {
		return
	}
	w.gap = max(w.gap, now.Sub(w.last))
	w.last = now
	if now.Sub(w.from) < leaseDuration {
		w.starts++
	}
}

func (m *meter) finish() {
	for name, s := range m.services {
		r := m.f.result.service(name)
		r.WaitingTime = s.waitTime
		r.Utilisation = ratio(s.used, s.able)
	}
	m.f.result.TakeOverGap = m.starts.gap
	m.f.result.StartsWithoutDispatcher = m.starts.starts
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
