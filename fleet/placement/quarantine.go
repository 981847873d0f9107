package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// partsState holds the parts of prompts that may crash targets, according to the newest digest,
// and what is to be reported of them.
type partsState struct {
	// suspects are the parts of which answers are to be reported.
	suspects map[PartID]bool
	// suspectTargets are the targets of which answers are to be reported.
	suspectTargets map[fleet.TargetID]bool
	// quarantined holds the ends of the quarantines.
	quarantined map[PartID]time.Time
	// waiting, starting and answeredTargets are collected from report to report: the outcomes
	// of calls until their answers begin, and from then on until they are sustained.
	waiting, starting outcomeCounter
	answeredTargets   map[fleet.TargetID]bool
}

func newPartsState() partsState {
	return partsState{
		quarantined: map[PartID]time.Time{}, answeredTargets: map[fleet.TargetID]bool{},
		waiting: outcomeCounter{answered: map[PartID]bool{}}, starting: outcomeCounter{answered: map[PartID]bool{}},
	}
}

// outcomeCounter counts the outcomes of calls in one phase.
type outcomeCounter struct {
	// passed counts the calls that got through the phase, broken those that broke in it.
	passed, broken int
	crashes        []fleet.PartCrash
	answered       map[PartID]bool
}

// maxPartCrashes bounds the crashes in a report.
const maxPartCrashes = 1024

// addCrash records that a target crashed while a call to it was in the phase.
func (c *outcomeCounter) addCrash(k *call, t *target) {
	if len(k.Prompt.Parts) > 0 {
		c.broken++
	}
	for _, p := range k.Prompt.sharedParts() {
		if len(c.crashes) < maxPartCrashes {
			c.crashes = append(c.crashes, fleet.PartCrash{Part: p.ID, Target: t.id, Incarnation: t.incarnation})
		}
	}
}

// take returns what was counted since the last call, and resets it.
func (c *outcomeCounter) take() fleet.PartOutcomes {
	out := fleet.PartOutcomes{Begun: c.passed, Broken: c.broken, PartCrashes: c.crashes, AnsweredParts: slices.Sorted(maps.Keys(c.answered))}
	c.passed, c.broken, c.crashes = 0, 0, nil
	clear(c.answered)
	return out
}

// sharedParts returns the parts that other requests may have too.
func (p *Prompt) sharedParts() []PromptPart { return p.Parts[:max(0, len(p.Parts)-1)] }

// addCrash records a target that crashed before the answer to a call was sustained.
func (s *partsState) addCrash(k *call, t *target) {
	// An answer that began before the crash does not refute it.
	delete(s.answeredTargets, t.id)
	if k.answerBegun {
		s.starting.addCrash(k, t)
		return
	}
	s.waiting.addCrash(k, t)
}

// addBegin records that the answer to a call has begun.
func (s *partsState) addBegin(k *call) {
	if s.suspectTargets[k.current.id] {
		s.answeredTargets[k.current.id] = true
	}
	s.addPassed(&s.waiting, k)
}

// addSustained records that the answer to a call is sustained.
func (s *partsState) addSustained(k *call) { s.addPassed(&s.starting, k) }

// addPassed records that a call got through a phase.
func (s *partsState) addPassed(c *outcomeCounter, k *call) {
	if len(k.Prompt.Parts) > 0 {
		c.passed++
	}
	for _, p := range k.Prompt.sharedParts() {
		_, quarantined := s.quarantined[p.ID]
		if quarantined || s.suspects[p.ID] {
			c.answered[p.ID] = true
		}
	}
}

// isQuarantined reports whether a prompt has a quarantined part.
func (s *partsState) isQuarantined(now time.Time, p *Prompt) bool {
	for _, part := range p.sharedParts() {
		if until, ok := s.quarantined[part.ID]; ok && now.Before(until) {
			return true
		}
	}
	return false
}

// applyDigest replaces suspects and quarantines by those of a digest. A partial one adds
// quarantines.
func (s *partsState) applyDigest(now time.Time, d *fleet.LoadDigest) {
	s.suspects = map[PartID]bool{}
	for _, id := range d.SuspectParts {
		s.suspects[id] = true
	}
	s.suspectTargets = map[fleet.TargetID]bool{}
	for _, id := range d.SuspectTargets {
		s.suspectTargets[id] = true
	}
	if !d.Partial {
		s.quarantined = map[PartID]time.Time{}
	}
	for _, q := range d.Quarantined {
		s.quarantined[q.Part] = now.Add(q.Remaining)
	}
}

// fillReport adds what was counted since the last report, and resets it.
func (s *partsState) fillReport(now time.Time, out *fleet.RouterLoad) {
	out.PartOutcomes, out.BegunOutcomes = s.waiting.take(), s.starting.take()
	for id := range s.answeredTargets {
		out.AnsweredTargets = append(out.AnsweredTargets, id)
	}
	slices.Sort(out.AnsweredTargets)
	clear(s.answeredTargets)
	for id, until := range s.quarantined {
		if now.Before(until) {
			out.Quarantined = append(out.Quarantined, fleet.QuarantinedPart{Part: id, Remaining: until.Sub(now)})
		}
	}
	slices.SortFunc(out.Quarantined, func(a, b fleet.QuarantinedPart) int { return cmp.Compare(a.Part, b.Part) })
}
