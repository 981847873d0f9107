package model

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// meter measures service as the engines deliver it and waits as the routers see them. It
// uses no data of the reducers that are compared.
type meter struct {
	sim           *Simulation
	services      map[fleet.ServiceName]*serviceMeter
	customers     []fleet.CustomerName
	customerIndex map[fleet.CustomerName]int
	startMonitor  startGapMonitor
}

// serviceMeter holds the measurements of one service. Slices have one element for each
// customer.
type serviceMeter struct {
	weights []float64
	served  []float64
	waiting []int
	// backlogEnds counts how often the backlog of a customer ended.
	backlogEnds []int
	pairs       map[[2]int]*customerPair
	// totalWaiting is the number of waiting requests of all customers.
	totalWaiting int
	// usedSlots and availableSlots are sums over all samples.
	usedSlots, availableSlots float64
	backlogTime               time.Duration
}

// customerPair holds the difference in weighted service of two customers, and their
// backlogEnds, at the first sample at which both were backlogged.
type customerPair struct {
	initialDifference          float64
	backlogEndsA, backlogEndsB int
}

// startGapMonitor measures the longest time without the start of a request in a period.
type startGapMonitor struct {
	from, to   time.Time
	lastStart  time.Time
	longestGap time.Duration
	// startsWithinLease counts the starts less than leaseDuration after from.
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

// recordService adds service that was delivered to a customer, in cost.
func (m *meter) recordService(service fleet.ServiceName, c fleet.CustomerName, amount float64) {
	m.services[service].served[m.customerIndex[c]] += amount
	m.sim.result.service(service).Delivered += amount
}

// addWaiting changes the number of waiting requests of a customer by delta, 1 or -1.
func (m *meter) addWaiting(service fleet.ServiceName, c fleet.CustomerName, delta int) {
	s := m.services[service]
	i := m.customerIndex[c]
	s.waiting[i] += delta
	s.totalWaiting += delta
	if s.waiting[i] == 0 {
		s.backlogEnds[i]++
	}
}

// recordStart records that a target admitted a request. A retry adds no wait.
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

// sampleFairness updates the fairness gap of a service. For each pair of backlogged
// customers the difference in weighted service is compared with that at the start of their
// common backlog.
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

// sampleUtilisation adds the capacity of the targets that accept new work, and the slots in
// use, for each service with waiting requests. Slots beyond the capacity do not count.
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

// acceptsNewWork reports whether a target in a data centre may get new work.
func (sim *Simulation) acceptsNewWork(dc fleet.DataCentreName, leaving bool) bool {
	return !leaving && !sim.config.DataCentresOut[dc]
}

// monitorStarts measures the gaps between starts for a duration.
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
