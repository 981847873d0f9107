package model

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// meter measures from the outside: service as the engines deliver it, waits as the
// routers see them. It takes nothing from the reducers.
type meter struct {
	sim           *Simulation
	services      map[fleet.ServiceName]*serviceMeter
	customers     []fleet.CustomerName
	customerIndex map[fleet.CustomerName]int
	startMonitor  startGapMonitor
}

// serviceMeter measures one service.
type serviceMeter struct {
	weights []float64
	served  []float64
	waiting []int
	// pauses counts how often a customer's backlog ended.
	backlogEnds []int
	pairs       map[[2]int]*customerPair
	// waitingNow is the number of waiting requests of all customers.
	totalWaiting              int
	usedSlots, availableSlots float64
	backlogTime               time.Duration
}

// pair remembers the difference in weighted service when two customers became backlogged.
type customerPair struct {
	initialDifference          float64
	backlogEndsA, backlogEndsB int
}

// startWatch looks for the longest time without a start while work waited.
type startGapMonitor struct {
	from, to          time.Time
	lastStart         time.Time
	longestGap        time.Duration
	startsWithinLease int
}

func newMeter(sim *Simulation) *meter {
	m := &meter{
		sim: sim, services: map[fleet.ServiceName]*serviceMeter{}, customers: sim.cfg.Trace.Fleet.CustomerNames(),
		customerIndex: map[fleet.CustomerName]int{},
	}
	for i, c := range m.customers {
		m.customerIndex[c] = i
	}
	for _, name := range sim.cfg.Trace.Fleet.ServiceNames() {
		s := &serviceMeter{pairs: map[[2]int]*customerPair{}}
		for _, c := range m.customers {
			s.weights = append(s.weights, float64(sim.cfg.Trace.Fleet.Customers[c].Weight))
		}
		s.served = make([]float64, len(m.customers))
		s.waiting = make([]int, len(m.customers))
		s.backlogEnds = make([]int, len(m.customers))
		m.services[name] = s
	}
	return m
}

// serve counts service delivered to a customer.
func (m *meter) recordService(service fleet.ServiceName, c fleet.CustomerName, amount float64) {
	m.services[service].served[m.customerIndex[c]] += amount
	m.sim.result.service(service).Delivered += amount
}

// wait counts a request that begins (n = 1) or ends (n = -1) to wait.
func (m *meter) addWaiting(service fleet.ServiceName, c fleet.CustomerName, delta int) {
	s := m.services[service]
	i := m.customerIndex[c]
	s.waiting[i] += delta
	s.totalWaiting += delta
	if s.waiting[i] == 0 {
		s.backlogEnds[i]++
	}
}

// started records that a target admitted a request.
func (m *meter) recordStart(req *request) {
	if !req.admitted {
		m.recordWait(req)
	}
	m.startMonitor.record(m.sim.queue.Now())
}

func (m *meter) recordWait(req *request) {
	wait := m.sim.queue.Now().Sub(req.arrived)
	histogram := m.sim.result.service(req.Service).WaitTimes[req.Customer]
	// Values are clamped to the histogram's range, so recording never fails.
	_ = histogram.RecordValue(min(max(wait.Microseconds(), minWaitMicros), maxWaitMicros))
}

// sample takes one sample of fairness and utilisation.
func (m *meter) sample() {
	for _, e := range m.sim.engines {
		e.Advance()
	}
	for name, s := range m.services {
		m.sampleFairness(name, s)
	}
	m.sampleUtilisation()
}

func (m *meter) sampleFairness(name fleet.ServiceName, s *serviceMeter) {
	result := m.sim.result.service(name)
	var backlogged []int
	for i, n := range s.waiting {
		if n > 0 {
			backlogged = append(backlogged, i)
		}
	}
	for x, a := range backlogged {
		for _, b := range backlogged[x+1:] {
			difference := s.served[a]/s.weights[a] - s.served[b]/s.weights[b]
			known := s.pairs[[2]int{a, b}]
			if known == nil || known.backlogEndsA != s.backlogEnds[a] || known.backlogEndsB != s.backlogEnds[b] {
				s.pairs[[2]int{a, b}] = &customerPair{initialDifference: difference, backlogEndsA: s.backlogEnds[a], backlogEndsB: s.backlogEnds[b]}
				continue
			}
			if gap := math.Abs(difference - known.initialDifference); gap > result.FairnessGap {
				result.FairnessGap, result.First, result.Second, result.FairnessGapAt = gap, m.customers[a], m.customers[b], m.sim.queue.Elapsed()
			}
		}
	}
}

// sampleUse counts the bearable slots of targets that may take work, and those in
// use, for each service with waiting work.
func (m *meter) sampleUtilisation() {
	for name, s := range m.services {
		if s.totalWaiting == 0 {
			continue
		}
		s.backlogTime += m.sim.cfg.SampleInterval
		for _, e := range m.sim.engines {
			if e.Config().Service != name || !m.sim.acceptsNewWork(e.Config().DataCentre, e.Leaving()) {
				continue
			}
			available := float64(e.Capacity())
			inUse := min(float64(e.Running()), available)
			s.usedSlots, s.availableSlots = s.usedSlots+inUse, s.availableSlots+available
		}
	}
}

// usable says whether targets of a data centre may take new work.
func (sim *Simulation) acceptsNewWork(dc fleet.DataCentreName, leaving bool) bool {
	return !leaving && !sim.config.DataCentresOut[dc]
}

// watchStarts looks for gaps between starts from now on.
func (m *meter) monitorStarts(from time.Time, d time.Duration) {
	m.startMonitor = startGapMonitor{from: from, to: from.Add(d), lastStart: from}
}

func (w *startGapMonitor) record(now time.Time) {
	if now.Before(w.from) || now.After(w.to) {
		return
	}
	w.longestGap = max(w.longestGap, now.Sub(w.lastStart))
	w.lastStart = now
	if now.Sub(w.from) < leaseDuration {
		w.startsWithinLease++
	}
}

func (m *meter) collectResults() {
	for name, s := range m.services {
		result := m.sim.result.service(name)
		result.BacklogTime = s.backlogTime
		result.Utilisation = ratio(s.usedSlots, s.availableSlots)
	}
	m.sim.result.LongestStartGap = m.startMonitor.longestGap
	m.sim.result.StartsWithoutDispatcher = m.startMonitor.startsWithinLease
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
