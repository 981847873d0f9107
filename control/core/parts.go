package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quarantine"
)

// partTrackers tracks the parts of prompts that crash targets, each way by itself: an answer that
// begins clears a part of crashes before the answer, but not of crashes right after its beginning.
type partTrackers struct {
	// waiting tracks crashes before the answer begins, starting those before it is sustained.
	waiting, starting *quarantine.Tracker
}

func newPartTrackers() partTrackers {
	return partTrackers{waiting: quarantine.New(), starting: quarantine.New()}
}

// add adds what a router reports.
func (p *partTrackers) add(now time.Time, r *fleet.RouterLoad) {
	addOutcomes(p.waiting, now, &r.PartOutcomes, r.AnsweredTargets)
	addOutcomes(p.starting, now, &r.BegunOutcomes, r.AnsweredTargets)
}

func addOutcomes(t *quarantine.Tracker, now time.Time, o *fleet.PartOutcomes, answeredTargets []fleet.TargetID) {
	t.AddOutcomes(now, o.Begun, o.Broken)
	for _, c := range o.PartCrashes {
		t.AddCrash(now, c)
	}
	for _, id := range answeredTargets {
		t.AddTargetAnswer(now, id)
	}
	for _, id := range o.AnsweredParts {
		t.AddAnswer(id)
	}
}

// adopt takes over quarantines of the former leader. Which way the parts crash targets is not
// known, so that only a sustained answer ends all of a quarantine.
func (p *partTrackers) adopt(now time.Time, quarantined []fleet.QuarantinedPart) {
	for _, q := range quarantined {
		p.waiting.Adopt(now, q)
		p.starting.Adopt(now, q)
	}
}

// update begins and ends quarantines, and returns what is to be told to the routers.
func (p *partTrackers) update(now time.Time) quarantine.Suspects {
	a, b := p.waiting.Update(now), p.starting.Update(now)
	return quarantine.Suspects{
		Parts:       union(a.Parts, b.Parts),
		Targets:     union(a.Targets, b.Targets),
		Quarantined: mergeQuarantines(a.Quarantined, b.Quarantined),
		Begun:       union(a.Begun, b.Begun),
		Ended:       union(a.Ended, b.Ended),
	}
}

// union returns the elements of both slices in order, each once.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// mergeQuarantines returns the quarantines of both slices ordered by part, the longer one of each
// part.
func mergeQuarantines(a, b []fleet.QuarantinedPart) []fleet.QuarantinedPart {
	out := slices.Concat(a, b)
	slices.SortFunc(out, func(a, b fleet.QuarantinedPart) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(b.Remaining, a.Remaining))
	})
	return slices.CompactFunc(out, func(a, b fleet.QuarantinedPart) bool { return a.Part == b.Part })
}
