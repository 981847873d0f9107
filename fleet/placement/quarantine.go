package placement

import (
	"cmp"
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
	// begun, broken, crashes, answered and answeredTargets are collected from report to report.
	begun, broken   int
	crashes         []fleet.PartCrash
	answered        map[PartID]bool
	answeredTargets map[fleet.TargetID]bool
}

func newPartsState() partsState {
	return partsState{quarantined: map[PartID]time.Time{}, answered: map[PartID]bool{}, answeredTargets: map[fleet.TargetID]bool{}}
}

// maxPartCrashes bounds the crashes in a report.
const maxPartCrashes = 1024

// sharedParts returns the parts that other requests may have too.
func (p *Prompt) sharedParts() []PromptPart { return p.Parts[:max(0, len(p.Parts)-1)] }

// addCrash records a target that crashed before it began the answer to a call.
func (s *partsState) addCrash(k *call, t *target) {
	if len(k.Prompt.Parts) > 0 {
		s.broken++
	}
	for _, p := range k.Prompt.sharedParts() {
		if len(s.crashes) < maxPartCrashes {
			s.crashes = append(s.crashes, fleet.PartCrash{Part: p.ID, Target: t.id, Incarnation: t.incarnation})
		}
	}
}

// addAnswer records that the answer to a call has begun.
func (s *partsState) addAnswer(k *call) {
	if len(k.Prompt.Parts) > 0 {
		s.begun++
	}
	if s.suspectTargets[k.current.id] {
		s.answeredTargets[k.current.id] = true
	}
	for _, p := range k.Prompt.sharedParts() {
		_, quarantined := s.quarantined[p.ID]
		if quarantined || s.suspects[p.ID] {
			s.answered[p.ID] = true
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

// applyDigest replaces suspects and quarantines by those of a digest.
func (s *partsState) applyDigest(now time.Time, d *fleet.LoadDigest) {
	s.suspects = map[PartID]bool{}
	for _, id := range d.SuspectParts {
		s.suspects[id] = true
	}
	s.suspectTargets = map[fleet.TargetID]bool{}
	for _, id := range d.SuspectTargets {
		s.suspectTargets[id] = true
	}
	s.quarantined = map[PartID]time.Time{}
	for _, q := range d.Quarantined {
		s.quarantined[q.Part] = now.Add(q.Remaining)
	}
}

// fillReport adds what was counted since the last report, and resets it.
func (s *partsState) fillReport(now time.Time, out *fleet.RouterLoad) {
	out.Begun, out.Broken, out.PartCrashes = s.begun, s.broken, s.crashes
	s.begun, s.broken, s.crashes = 0, 0, nil
	for id := range s.answered {
		out.AnsweredParts = append(out.AnsweredParts, id)
	}
	slices.Sort(out.AnsweredParts)
	clear(s.answered)
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
