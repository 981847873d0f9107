package rollout

import (
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// sliceTime is the time whose answers count as one observation. The requests that a crash
	// of a target breaks are reported within about two slices, so that a crash counts as two
	// observations, however many requests it breaks.
	sliceTime = 100 * time.Millisecond
	// referenceSlices is the number of slices over which the old version is measured for the
	// comparison with an observation of the new one.
	referenceSlices = 10
	// minReference is the number of answers of the old version below which its earlier answers
	// are added.
	minReference = 30
	// recentSlices is the number of slices of the second score, by which a fault that begins
	// late is found as early as one at the beginning.
	recentSlices = 30
	// maxRoutes bounds the routes that are judged by themselves.
	maxRoutes = 64
)

const (
	// failureFactor is the multiple of the old version's rate of failures above which a version
	// is worse, so that two versions of the same quality move apart by chance only.
	failureFactor = 1.5
	// slownessMargin is the same for the time to the first byte, in powers of 2. The targets of
	// a version may all be of the slowest third, at 0.7 of the rated pace, which makes 0.43.
	slownessMargin = 0.8
	// failingShare is the fraction of bad answers of which failingSlices slices in a row, with
	// minFailing answers each, revert a version at once. Crashed targets break requests in
	// fewer slices.
	failingShare  = 0.2
	failingSlices = 4
	minFailing    = 5
)

// The versions as indexes.
const (
	oldVersion = iota
	newVersion
	versions
)

// cell counts the answers of one version on one route.
type cell struct {
	answers, bad int
	// timed is the number of answers with a time to the first byte, levels the sum of their
	// buckets.
	timed, levels int
}

func (c *cell) add(o *cell) {
	c.answers += o.answers
	c.bad += o.bad
	c.timed += o.timed
	c.levels += o.levels
}

func (c *cell) tally() Tally {
	t := Tally{Answers: c.answers, Bad: c.bad}
	if c.timed > 0 {
		t.Level = float64(c.levels) / float64(c.timed)
	}
	return t
}

// cellOf returns the counts of a report.
func cellOf(o *fleet.VersionOutcomes) cell {
	c := cell{answers: o.Answers, bad: o.Bad}
	for i, n := range o.Slowness {
		c.timed += n
		c.levels += i * n
	}
	return c
}

// slice has the answers of one sliceTime by route.
type slice map[string]*[versions]cell

func (s slice) add(route string, version int, c *cell) {
	cells := s[route]
	if cells == nil {
		cells = &[versions]cell{}
		s[route] = cells
	}
	cells[version].add(c)
}

// signal is a kind of fault.
type signal int

const (
	failures signal = iota
	slowness
	signals
)

// evidence has the scores of one route, or of all.
type evidence [signals]score

// score is a self-normalised sum: the sum of observations divided by the root of the sum of
// their squares. The mean of an observation is at most 0 for a sound version. A single observation
// has a score of at most 1, whatever its size, and k equal ones have the root of k. For symmetric
// independent observations, the probability of a score of z is at most exp(-z*z/2).
type score struct {
	sum, squares float64
	recent       [recentSlices]float64
	next         int
}

func (s *score) add(u float64) {
	s.sum += u
	s.squares += u * u
	s.recent[s.next] = u
	s.next = (s.next + 1) % recentSlices
}

// total returns the score over all observations.
func (s *score) total() float64 { return normalised(s.sum, s.squares) }

// value returns the largest one of the scores over all observations and over the recent ones, as
// many of them as give the largest score.
func (s *score) value() float64 {
	largest := s.total()
	sum, squares := 0.0, 0.0
	for i := range recentSlices {
		u := s.recent[(s.next-1-i+recentSlices)%recentSlices]
		sum += u
		squares += u * u
		largest = max(largest, normalised(sum, squares))
	}
	return largest
}

func normalised(sum, squares float64) float64 {
	if squares == 0 {
		return 0
	}
	return sum / math.Sqrt(squares)
}

// judge compares the answers of the two versions.
type judge struct {
	start time.Time
	// window has the newest slices; the open one is at index open%referenceSlices.
	window [referenceSlices]slice
	open   int
	// history has the answers of the old version by route, totals those of both versions.
	history map[string]*cell
	totals  [versions]cell
	// all has the scores over all routes, routes those of each.
	all    evidence
	routes map[string]*evidence
	// failing is the number of slices in a row in which a large part of the answers was bad.
	failing int
}

func newJudge(now time.Time) *judge {
	j := &judge{start: now, history: map[string]*cell{}, routes: map[string]*evidence{}}
	for i := range j.window {
		j.window[i] = slice{}
	}
	return j
}

// add counts the outcomes of a report that has just arrived.
func (j *judge) add(now time.Time, o *fleet.VersionOutcomes) {
	j.advance(now)
	if o.Answers == 0 {
		return
	}
	c, version := cellOf(o), oldVersion
	if o.New {
		version = newVersion
	}
	j.window[j.open%referenceSlices].add(o.Route, version, &c)
	j.totals[version].add(&c)
	if version == oldVersion {
		h := j.history[o.Route]
		if h == nil {
			h = &cell{}
			j.history[o.Route] = h
		}
		h.add(&c)
	}
}

// advance closes the slices that have ended.
func (j *judge) advance(now time.Time) {
	for until := int(now.Sub(j.start) / sliceTime); j.open < until; {
		j.close()
		j.open++
		j.window[j.open%referenceSlices] = slice{}
	}
}

// close adds the observations of the open slice to the scores.
func (j *judge) close() {
	var all [signals]float64
	var sum cell
	reference := 0.0
	for route, cells := range j.window[j.open%referenceSlices] {
		c := &cells[newVersion]
		if c.answers == 0 {
			continue
		}
		r := j.reference(route)
		u := r.observe(c)
		sum.add(c)
		reference += r.failures * float64(c.answers)
		e := j.routes[route]
		if e == nil && len(j.routes) < maxRoutes {
			e = &evidence{}
			j.routes[route] = e
		}
		for s := range signals {
			all[s] += u[s]
			if e != nil {
				e[s].add(u[s])
			}
		}
	}
	if sum.answers == 0 {
		return
	}
	for s := range signals {
		j.all[s].add(all[s])
	}
	j.countFailing(&sum, reference)
}

// countFailing updates failing. reference is the number of bad answers that the old version would
// have had. A slice with few answers leaves it as it is.
func (j *judge) countFailing(c *cell, reference float64) {
	switch {
	case c.answers < minFailing:
	case float64(c.bad) >= failingShare*float64(c.answers)+failureFactor*reference:
		j.failing++
	default:
		j.failing = 0
	}
}

// reference is the old version on a route, as it is expected of the new one.
type reference struct {
	// failures is the fraction of bad answers, level the mean bucket of the time to the first
	// byte.
	failures, level float64
	// weight is the part of the information that the reference allows for, from 0 to 1.
	weight, levelWeight float64
}

// reference returns the old version's answers on a route in the window, with its earlier
// ones if they are few.
func (j *judge) reference(route string) reference {
	var w [versions]cell
	for _, s := range j.window {
		if cells := s[route]; cells != nil {
			w[oldVersion].add(&cells[oldVersion])
			w[newVersion].add(&cells[newVersion])
		}
	}
	h := j.history[route]
	if h == nil {
		return reference{}
	}
	old, fresh := &w[oldVersion], &w[newVersion]
	var r reference
	rate, n := blend(old.bad, old.answers, h.bad, h.answers, fresh.answers)
	// Half an answer more allows for faults of the old version that it has not shown yet.
	r.failures = (rate*n + 0.5) / (n + 1)
	r.weight = n / (n + float64(fresh.answers))
	level, n := blend(old.levels, old.timed, h.levels, h.timed, fresh.timed)
	if h.timed > 0 {
		// The old version gets faster while its requests move away.
		r.level = max(level, float64(h.levels)/float64(h.timed))
		r.levelWeight = n / (n + float64(fresh.timed))
	}
	return r
}

// blend returns the mean of sum over n, and the number of values that it rests on. Where they are few
// compared with the others that they are compared with, earlier values make up for them.
func blend(sum, n, earlierSum, earlier, others int) (mean, count float64) {
	missing := 0
	if n < max(minReference, others/4) {
		missing = min(max(minReference, 2*others)-n, earlier)
	}
	count = float64(n + missing)
	if count == 0 {
		return 0, 0
	}
	total := float64(sum)
	if missing > 0 {
		total += float64(missing) * float64(earlierSum) / float64(earlier)
	}
	return total / count, count
}

// observe returns by how much the new version was worse in a slice than allowed.
func (r *reference) observe(c *cell) [signals]float64 {
	var u [signals]float64
	u[failures] = (float64(c.bad) - failureFactor*r.failures*float64(c.answers)) * r.weight
	if c.timed > 0 {
		u[slowness] = (float64(c.levels) - (r.level+slownessMargin)*float64(c.timed)) * r.levelWeight
	}
	return u
}

// worst returns the largest score of a signal, over all routes or on the one named. A score on one
// route counts less by routeDiscount, since there are several routes.
func (j *judge) worst(s signal) (value float64, route string) {
	value = j.all[s].value()
	for name, e := range j.routes {
		if v := e[s].value() - routeDiscount; v > value || v == value && name < route {
			value, route = v, name
		}
	}
	return value, route
}
