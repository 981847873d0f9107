package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxSentParts bounds the memory for the parts that targets of new versions have got. A shared part
// that is not remembered only counts as one that its target has still to process.
const maxSentParts = 10_000

// rolloutOutcomes counts the outcomes of the attempts at the targets of both versions since the
// last report.
type rolloutOutcomes struct {
	counts map[outcomeKey]*fleet.VersionOutcomes
	// sentParts has the shared parts with which a target of the new version has answered this router.
	sentParts map[sentPart]bool
}

// outcomeKey identifies the outcomes of one route and side.
type outcomeKey struct {
	route string
	isNew bool
}

// sentPart is a shared part at a target.
type sentPart struct {
	target      fleet.TargetID
	incarnation fleet.Incarnation
	part        PartID
}

func newRolloutOutcomes() rolloutOutcomes {
	return rolloutOutcomes{counts: map[outcomeKey]*fleet.VersionOutcomes{}, sentParts: map[sentPart]bool{}}
}

// of returns the counts of a call's route and of the side of its current target.
func (o *rolloutOutcomes) of(k *call, to fleet.SoftwareVersion) *fleet.VersionOutcomes {
	key := outcomeKey{k.Route.Name, k.currentVersion == to}
	if o.counts[key] == nil {
		o.counts[key] = &fleet.VersionOutcomes{Route: key.route, New: key.isNew}
	}
	return o.counts[key]
}

// countSend prepares the counting of an attempt. Attempts at a target that warms up are left out:
// it answers late, whatever its version.
func (r *Router) countSend(k *call, t *target) {
	k.rollout.counted, k.rollout.failed = 0, false
	s := r.activeRollout(k.service)
	if s == nil || r.isWarmingUp(t) {
		return
	}
	k.rollout.counted = s.newest.Number
	k.rollout.ratedFirstByte = r.ratedFirstByte(k, t, s)
}

// ratedFirstByte returns the time to the first byte that a call's target should need by its rated
// capacity. The slowness that was learnt is taken out, since it would hide that a version is slow.
// A target of the new version starts with an empty cache, so that a shared part with which it has
// not answered this router yet counts as one to process.
func (r *Router) ratedFirstByte(k *call, t *target, s *rollout) time.Duration {
	d := baseFirstByteTime + seconds((k.expectedFirstByte-baseFirstByteTime).Seconds()/(k.assumedSlowness*k.trust))
	part, ok := k.sentPart()
	if ok && s.sideOf(k.currentVersion) == newSide && k.prefillTokens < k.Prompt.Tokens && !s.outcomes.sentParts[part] {
		d += seconds(float64(k.Prompt.sharedTokens()) / r.prefillRate(t.entry.Service))
	}
	return d
}

// sentPart returns the shared part of a call at its current target; ok is false if it has none.
func (k *call) sentPart() (part sentPart, ok bool) {
	key, ok := affinityKey(&k.Call)
	return sentPart{k.current.id, k.currentIncarnation, key}, ok
}

// countedRollout returns the roll-out that counts the current attempt of a call, or nil.
func (r *Router) countedRollout(k *call) *rollout {
	if s := r.activeRollout(k.service); s != nil && s.newest.Number == k.rollout.counted {
		return s
	}
	return nil
}

// countBegin counts the time to the first byte of an answer. Errors come without the prompt having
// been processed.
func (r *Router) countBegin(k *call, failed bool) {
	k.rollout.failed = failed
	s := r.countedRollout(k)
	if s == nil || failed {
		return
	}
	s.outcomes.of(k, s.newest.To).Slowness[k.slownessBucket(r.now)]++
	if part, ok := k.sentPart(); ok && s.sideOf(k.currentVersion) == newSide && len(s.outcomes.sentParts) < maxSentParts {
		s.outcomes.sentParts[part] = true
	}
}

// countEnd counts the end of an attempt, unless the target did not run it, the
// caller left or another attempt was answered first. An
// answer that has not begun at the deadline counts as one that begins then.
func (r *Router) countEnd(k *call, outcome Outcome) {
	s := r.countedRollout(k)
	if s == nil || outcome.NotRun() || outcome == CallerGone || outcome == Superseded {
		return
	}
	o := s.outcomes.of(k, s.newest.To)
	o.Answers++
	if outcome != Answered || k.rollout.failed {
		o.Bad++
	}
	if outcome == Expired && !k.answerBegun {
		o.Slowness[k.slownessBucket(r.now)]++
	}
}

// slownessBucket returns the bucket of fleet.VersionOutcomes.Slowness for an answer that begins now.
func (k *call) slownessBucket(now time.Time) int {
	ratio := float64(now.Sub(k.sentAt)) / float64(k.rollout.ratedFirstByte)
	bucket := 0
	for limit := 0.5; bucket < fleet.SlownessBuckets-1 && ratio >= limit; limit *= 2 {
		bucket++
	}
	return bucket
}

// takeRolloutOutcomes returns what was counted since the last call, and resets it.
func (r *Router) takeRolloutOutcomes() []fleet.VersionOutcomes {
	var out []fleet.VersionOutcomes
	for service, s := range r.rollouts {
		if s.newest.State != fleet.RolloutActive {
			continue
		}
		found := len(out)
		for _, o := range s.outcomes.counts {
			out = append(out, *o)
		}
		clear(s.outcomes.counts)
		for isNew, n := range r.runningBySide(service, s) {
			if n > 0 {
				out = append(out, fleet.VersionOutcomes{New: side(isNew) == newSide, Running: n})
			}
		}
		for i := range out[found:] {
			o := &out[found+i]
			o.Service, o.Number, o.Revision = service, s.newest.Number, s.newest.Revision
		}
	}
	slices.SortFunc(out, func(a, b fleet.VersionOutcomes) int {
		newLast := 0
		if a.New != b.New {
			newLast = 1
			if b.New {
				newLast = -1
			}
		}
		return cmp.Or(cmp.Compare(a.Service, b.Service), newLast, cmp.Compare(a.Route, b.Route))
	})
	return out
}

// runningBySide counts the calls that are now at the targets of each side of a service.
func (r *Router) runningBySide(service fleet.ServiceName, s *rollout) (n [2]int) {
	for _, k := range r.calls {
		if k.service == service {
			n[s.sideOf(k.currentVersion)]++
		}
	}
	return n
}
