// Package pace learns the pace of each target from the reports of all routers. It has no network
// and reads no clock.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// retention is the time constant with which answers lose weight. A target that is 2.5 times as
	// slow for 600 ms changes its pace by less than 3 % then.
	retention = 20 * time.Second
	// maxReportWeight bounds the answers that one report counts for a target, so that no router
	// outweighs the others.
	maxReportWeight = 8
	// minWeight is the weight from which on a pace is known, lostWeight that below which it no
	// longer is. Single answers differ from the mean by up to a factor of 2.5.
	minWeight, lostWeight = 8.0, 2.0
	// minDeviation is the smallest deviation from 1 that is listed.
	minDeviation = 0.1
	// standardErrors is the number of standard errors by which a pace differs with confidence.
	// Queues that routers can't foresee make single answers of equal targets differ by a factor of 2.
	standardErrors = 3.0
	// minSpread is the least standard deviation of the logarithm of single answers.
	minSpread = 0.2
	// listInterval is the time between two lists. A list of 140 targets has 8 KB, too much for each
	// digest. A router uses a list for 5 s and so may miss one.
	listInterval = 2 * time.Second
	// ageUnit rounds the age of a pace, so that it is short on the wire.
	ageUnit = time.Second
	// firstListAfter is the time from the first report in which a new leader sends no list, as it
	// knows too little. Routers keep that of the former leader.
	firstListAfter = 3 * time.Second
	// maxListed bounds a list.
	maxListed = 300
	// maxTargets bounds the memory.
	maxTargets = 4096
)

// state is what is known of one target.
type state struct {
	incarnation fleet.Incarnation
	// logSum is the weighted sum of the logarithms, weight the decayed number of the answers.
	logSum, weight float64
	// squareSum is the weighted sum of the squares of the logarithms.
	squareSum float64
	at        time.Time
	known     bool
}

// Collector collects the answers of all routers. It is not safe for concurrent use.
type Collector struct {
	targets map[fleet.TargetID]*state
	// startedAt is the time of the first report, listedAt that of the last list.
	startedAt, listedAt time.Time
}

// New returns an empty Collector, as a new leader starts with.
func New() *Collector { return &Collector{targets: map[fleet.TargetID]*state{}} }

// AddReport adds the answers that a router reported.
func (c *Collector) AddReport(now time.Time, r *fleet.RouterLoad) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	for _, s := range r.Paces {
		c.add(now, s)
	}
}

func (c *Collector) add(now time.Time, s fleet.PaceSamples) {
	t := c.targets[s.Target]
	switch {
	case s.Answers < 1, t != nil && s.Incarnation < t.incarnation, t == nil && len(c.targets) >= maxTargets:
		return
	case t == nil || s.Incarnation > t.incarnation:
		t = &state{incarnation: s.Incarnation, at: now}
		c.targets[s.Target] = t
	}
	t.decay(now)
	t.at = now
	weight := float64(min(s.Answers, maxReportWeight))
	mean := s.LogSum / float64(s.Answers)
	mean = min(max(mean, -fleet.MaxPaceSample), fleet.MaxPaceSample)
	t.logSum += weight * mean
	t.squareSum += weight * mean * mean
	t.weight += weight
}

// decay reduces the weight of the answers so far.
func (t *state) decay(now time.Time) {
	f := math.Exp(-float64(max(0, now.Sub(t.at))) / float64(retention))
	t.logSum *= f
	t.squareSum *= f
	t.weight *= f
}

// List returns the targets whose pace differs from 1 with confidence, those that differ most first,
// if a list is due. known is false if none is due, or too little is known yet.
func (c *Collector) List(now time.Time) (list []fleet.TargetPace, known bool) {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) < firstListAfter || now.Sub(c.listedAt) < listInterval {
		return nil, false
	}
	c.listedAt = now
	for id, t := range c.targets {
		age := now.Sub(t.at)
		weight := t.weight * math.Exp(-float64(age)/float64(retention))
		switch {
		case weight < lostWeight && age > retention:
			delete(c.targets, id)
			continue
		case weight < lostWeight:
			t.known = false
		case weight >= minWeight:
			t.known = true
		}
		if !t.known {
			continue
		}
		log := t.logSum / t.weight
		if math.Abs(math.Expm1(log)) > minDeviation && math.Abs(log) > t.uncertainty(weight) {
			list = append(list, fleet.TargetPace{Target: id, Incarnation: t.incarnation, Pace: rounded(log), Age: age.Truncate(ageUnit)})
		}
	}
	slices.SortFunc(list, func(a, b fleet.TargetPace) int {
		return cmp.Or(cmp.Compare(deviation(b), deviation(a)), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxListed)], true
}

// uncertainty returns the deviation of the mean logarithm that chance explains, given the weight of
// the answers now.
func (t *state) uncertainty(weight float64) float64 {
	mean := t.logSum / t.weight
	deviation := math.Sqrt(max(0, t.squareSum/t.weight-mean*mean))
	return standardErrors * max(deviation, minSpread) / math.Sqrt(weight)
}

// rounded returns the pace with two digits after the point, which is enough and short on the wire.
func rounded(log float64) float64 {
	const digits = 100
	return min(max(math.Round(math.Exp(log)*digits)/digits, 1/fleet.MaxPace), fleet.MaxPace)
}

func deviation(p fleet.TargetPace) float64 { return math.Abs(math.Log(p.Pace)) }
