// Package quarantine finds parts of prompts that crash the targets which answer requests with
// them, from what all routers see. The requests with such a part differ in all else, so that
// none of them alone shows the cause.
//
// A crash breaks all requests at a target, and the parts of all those in the same phase, before
// their answers begin or right after, are possible causes. The deadly part is the one with which no
// request gets through the phase: the others are cleared by the first request that does anywhere,
// which is called its answer below. A target that goes on to answer has not crashed, but reset a
// connection.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// minCrashes is the least number of crashes from which a part is quarantined.
	minCrashes = 3
	// maxChance bounds the probability that a sound part meets the crashes by chance. Up to
	// enoughCrashes, it bounds the probability for all parts together.
	maxChance = 3e-3
	// enoughCrashes is the number of crashes after which more targets must not be lost, however
	// many parts there are.
	enoughCrashes = 4
	// outcomeMemory is the time constant of the share of requests that crashes break.
	outcomeMemory = 5 * time.Second
	// suspectCrashes is the number of crashes from which routers are told to report answers.
	suspectCrashes = 2
	// roundTime is the time in which crashes count as one, since they may have a common cause
	// other than the part. Routers report within it.
	roundTime = 500 * time.Millisecond
	// confirmTime is the age from which a crash counts towards a quarantine. It covers a
	// digest, an answer of the target or of a request with the part, and a report.
	confirmTime = 1200 * time.Millisecond
	// refuteTime is the age up to which an answer of a target refutes its crash. Later, the
	// target may have restarted.
	refuteTime = 2 * confirmTime
	// suspectRetention is how long a suspect is kept after its last crash.
	suspectRetention = time.Minute
	// quarantineTime is how long requests with a part are refused after its last crash.
	quarantineTime = 5 * time.Minute
	// maxParts bounds the parts that are tracked.
	maxParts = 4096
)

// targetStart identifies one start of a target.
type targetStart struct {
	target      fleet.TargetID
	incarnation fleet.Incarnation
}

// part is the state of a part that may crash targets.
type part struct {
	// crashes holds when targets crashed, one a round, since the last answer.
	crashes   map[targetStart]time.Time
	lastCrash time.Time
	// until is the end of the quarantine; zero if there is none.
	until time.Time
}

// Tracker tracks the parts of one fleet, by the requests in one phase.
type Tracker struct {
	parts map[fleet.PartID]*part
	// begun and broken count the requests that got through the phase, and those that broke in it,
	// with exponential decay; as of decayedAt.
	begun, broken float64
	decayedAt     time.Time
	// announced has the quarantined parts of the last Update.
	announced map[fleet.PartID]bool
}

// Suspects is what a Tracker tells the routers.
type Suspects struct {
	// Parts and Targets are those of which routers report answers.
	Parts   []fleet.PartID
	Targets []fleet.TargetID
	// Quarantined are the parts of which requests are refused.
	Quarantined []fleet.QuarantinedPart
	// Begun and Ended are the changes of Quarantined since the last Update.
	Begun, Ended []fleet.PartID
}

// New returns a Tracker without any suspects.
func New() *Tracker { return &Tracker{parts: map[fleet.PartID]*part{}} }

// AddCrash records that a target crashed while a request with a part was in the phase.
func (t *Tracker) AddCrash(now time.Time, c fleet.PartCrash) {
	p := t.parts[c.Part]
	if p == nil {
		if len(t.parts) >= maxParts {
			return
		}
		p = &part{crashes: map[targetStart]time.Time{}}
		t.parts[c.Part] = p
	}
	if !p.until.IsZero() {
		p.until = now.Add(quarantineTime)
	}
	start := targetStart{c.Target, c.Incarnation}
	if _, known := p.crashes[start]; known || now.Sub(p.lastCrash) < roundTime {
		return
	}
	p.crashes[start], p.lastCrash = now, now
}

// AddOutcomes records how many requests got through the phase, and how many broke in it.
func (t *Tracker) AddOutcomes(now time.Time, begun, broken int) {
	keep := math.Exp(-float64(now.Sub(t.decayedAt)) / float64(outcomeMemory))
	t.begun = t.begun*keep + float64(begun)
	t.broken = t.broken*keep + float64(broken)
	t.decayedAt = now
}

// requiredCrashes returns the number of crashes from which a part is quarantined: where
// crashes break many requests, a sound part meets several of them in a row.
func (t *Tracker) requiredCrashes() int {
	if t.broken == 0 {
		return minCrashes
	}
	share := t.broken / (t.begun + t.broken)
	if share >= 1 {
		return math.MaxInt
	}
	crashesFor := func(chance float64) int { return int(math.Ceil(math.Log(chance) / math.Log(share))) }
	// Each part that met a crash is another chance.
	ofAny := crashesFor(maxChance / float64(max(1, len(t.parts))))
	return max(minCrashes, crashesFor(maxChance), min(ofAny, enoughCrashes))
}

// AddAnswer records that a request with a part got through the phase, which clears the part.
func (t *Tracker) AddAnswer(id fleet.PartID) { delete(t.parts, id) }

// AddTargetAnswer records that a target of Suspects.Targets has begun an answer, so that it
// has not crashed.
func (t *Tracker) AddTargetAnswer(now time.Time, id fleet.TargetID) {
	for _, p := range t.parts {
		for start, at := range p.crashes {
			if start.target == id && now.Sub(at) < refuteTime {
				delete(p.crashes, start)
			}
		}
	}
}

// Adopt takes over a quarantine that another tracker began.
func (t *Tracker) Adopt(now time.Time, q fleet.QuarantinedPart) {
	if t.parts[q.Part] == nil && len(t.parts) < maxParts {
		t.parts[q.Part] = &part{crashes: map[targetStart]time.Time{}, lastCrash: now, until: now.Add(q.Remaining)}
	}
}

// Update begins and ends quarantines, and returns what is to be told to the routers.
func (t *Tracker) Update(now time.Time) Suspects {
	var out Suspects
	targets := map[fleet.TargetID]bool{}
	required := t.requiredCrashes()
	for id, p := range t.parts {
		if p.until.IsZero() && p.confirmed(now) >= required {
			p.until = p.lastCrash.Add(quarantineTime)
		}
		switch {
		case p.until.IsZero() && now.Sub(p.lastCrash) > suspectRetention, !p.until.IsZero() && !now.Before(p.until):
			delete(t.parts, id)
		case !p.until.IsZero():
			out.Quarantined = append(out.Quarantined, fleet.QuarantinedPart{Part: id, Remaining: p.until.Sub(now)})
		case len(p.crashes) >= suspectCrashes:
			out.Parts = append(out.Parts, id)
			for start, at := range p.crashes {
				targets[start.target] = targets[start.target] || now.Sub(at) < confirmTime
			}
		}
	}
	for id, recent := range targets {
		if recent {
			out.Targets = append(out.Targets, id)
		}
	}
	slices.Sort(out.Parts)
	slices.Sort(out.Targets)
	slices.SortFunc(out.Quarantined, func(a, b fleet.QuarantinedPart) int { return cmp.Compare(a.Part, b.Part) })
	t.addChanges(&out)
	return out
}

// addChanges fills in what has changed since the last Update.
func (t *Tracker) addChanges(out *Suspects) {
	current := map[fleet.PartID]bool{}
	for _, q := range out.Quarantined {
		current[q.Part] = true
		if !t.announced[q.Part] {
			out.Begun = append(out.Begun, q.Part)
		}
	}
	for id := range t.announced {
		if !current[id] {
			out.Ended = append(out.Ended, id)
		}
	}
	slices.Sort(out.Ended)
	t.announced = current
}

// confirmed returns the number of crashes that are old enough to count.
func (p *part) confirmed(now time.Time) int {
	n := 0
	for _, at := range p.crashes {
		if now.Sub(at) >= confirmTime {
			n++
		}
	}
	return n
}
