package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

const (
	// hedgeUsableShare is the fraction of the limit on hedged requests that is used. The rest is a
	// margin, as for retryUsableShare, and for the rounding of the routers' parts.
	hedgeUsableShare = 0.8
	// hedgeRetryShare is the fraction of the retry budget that hedged requests may use up. The rest is
	// for attempts that failed.
	hedgeRetryShare = 0.5
	// hedgeFullRateShare is the fraction of a router's part of the limit up to which every slow attempt
	// may be hedged. From there on the rate falls, to 0 at the limit.
	hedgeFullRateShare = 0.5
	// hedgeLoadValidity is the age of the digest from which on the targets' free slots count as unknown.
	// It covers the loss of one digest, of which a router without requests gets one a second.
	hedgeLoadValidity = 2 * time.Second
)

// ExtraDue reports that an attempt has had no answer for Send.ExtraAfter. The effect is a Send of a
// hedged attempt, to be run beside the first one, or an ExtraRefused.
type ExtraDue struct {
	Call CallID
	// Attempt is as in Send.
	Attempt int
}

// EventName implements fleet.Event.
func (ExtraDue) EventName() string { return "ExtraDue" }

// HedgeObstacle is the reason why a slow attempt is not hedged.
type HedgeObstacle string

// The reasons why a slow attempt is not hedged.
const (
	// HedgeExtraRatio means that the router's part of Config.ExtraRequestRatio is used up.
	HedgeExtraRatio HedgeObstacle = "ExtraRatio"
	// HedgeThinned means that the rate is reduced before that part is used up.
	HedgeThinned HedgeObstacle = "Thinned"
	// HedgeRetryBudget means that the rest of the retry budget is kept for attempts that fail.
	HedgeRetryBudget HedgeObstacle = "RetryBudget"
	// HedgeDeadline means that too little time is left.
	HedgeDeadline HedgeObstacle = "Deadline"
	// HedgeQuarantined means that the request crashed targets.
	HedgeQuarantined HedgeObstacle = "Quarantined"
	// HedgeFewHealthy means that no more than half of the targets are healthy.
	HedgeFewHealthy HedgeObstacle = "FewHealthy"
	// HedgeMedianRisen means that the whole service is slower than usual.
	HedgeMedianRisen HedgeObstacle = "MedianRisen"
	// HedgeLoadUnknown means that the targets' load is not known.
	HedgeLoadUnknown HedgeObstacle = "LoadUnknown"
	// HedgeNoFreeSlot means that no other target has a free slot.
	HedgeNoFreeSlot HedgeObstacle = "NoFreeSlot"
	// HedgeNotFaster means that the first attempt will probably end sooner than another one.
	HedgeNotFaster HedgeObstacle = "NotFaster"
)

// ExtraRefused is the effect of not hedging a slow attempt. It is only logged and counted.
type ExtraRefused struct {
	Call     CallID
	Attempt  int
	Obstacle HedgeObstacle
	Hedge    HedgeBasis
}

// EffectName implements fleet.Effect.
func (ExtraRefused) EffectName() string { return "ExtraRefused" }

// HedgeBasis is the data that the decision on a hedged attempt was based on.
type HedgeBasis struct {
	// Of is the number of the slow attempt; 0 if the attempt is not a hedged one.
	Of int
	// Slow is the time after which the slow attempt counted as such. Its age is that at the decision.
	Slow SlowTime
	// Waited is the time that the slow attempt had had no answer, Remaining the one that it was
	// expected to take from then on.
	Waited, Remaining time.Duration
	// Left is the number of hedged requests of the service, RetriesLeft the number of its retries,
	// that this router may still send in the present window, before this one.
	Left, RetriesLeft float64
}

// hedging is the part of a call that is due to two attempts at once.
type hedging struct {
	// attempt is the number of the attempt whose state this is.
	attempt int
	// slow is the time after which it is hedged.
	slow SlowTime
	// earlier is the call with the slow attempt beside which the newest one was sent, while both are
	// open. Of the two, the one with the newest attempt has the valid counts.
	earlier *call
	// decided is true if an attempt that ended earlier has decided the call.
	decided bool
}

// slowTimeOf returns the time after which an attempt that is sent now counts as slow, or 0 if it must not
// be hedged. Requests with a prompt are not hedged, since the prompt would be processed twice.
func (r *Router) slowTimeOf(k *call) SlowTime {
	if r.cfg.ExtraRequestRatio <= 0 || k.earlier != nil || k.attempts >= k.Route.Attempts || k.sends >= maxSends ||
		!k.Route.Repeatable() || k.Route.Kind == deployment.KindStream || k.Prompt.Tokens > 0 {
		return SlowTime{}
	}
	return r.firstBytes.slowTime(r.now, k)
}

// addFirstByteTime records the time from the write of a call to the first byte of its answer.
func (r *Router) addFirstByteTime(k *call) {
	if r.cfg.ExtraRequestRatio > 0 && k.Prompt.Tokens == 0 {
		r.firstBytes.add(r.now, k, r.now.Sub(k.sentAt))
	}
}

// addUnansweredTime records the time of an attempt that was ended without an answer because another
// one was answered first, or at its deadline. Without the times of slow attempts that lost, the
// quantile would sink, and ever more attempts would count as slow. The time of an attempt that was
// not slow yet tells nothing.
func (r *Router) addUnansweredTime(k *call, o Outcome) {
	isCut := o == Superseded || o == Expired
	if isCut && !k.answerBegun && r.now.Sub(k.sentAt) >= r.firstBytes.slowTime(r.now, k).After {
		r.addFirstByteTime(k)
	}
}

// extraDue sends a hedged attempt beside one that is slow, if that is permitted.
func (r *Router) extraDue(ev ExtraDue) {
	k := r.calls[ev.Call]
	if k == nil || k.attempt != ev.Attempt || k.earlier != nil || k.decided || k.answerBegun ||
		k.slow.After == 0 || r.now.Sub(k.sentAt) < k.slow.After {
		return
	}
	waited := r.now.Sub(k.sentAt)
	h := HedgeBasis{Of: k.attempt, Slow: k.slow, Waited: waited, Remaining: r.firstBytes.remaining(r.now, k, waited)}
	h.Slow.Age += waited
	// An attempt is hedged once at most.
	k.slow = SlowTime{}
	// The hedged attempt is a copy of the call with a target of its own. It takes over the counts.
	extra := *k
	extra.earlier, extra.triedTargets = k, slices.Clone(k.triedTargets)
	t, basis, obstacle := r.chooseForHedge(&extra, h.Remaining)
	if obstacle == "" {
		obstacle = r.tryHedge(&extra, &h)
	}
	if obstacle != "" {
		r.emit(ExtraRefused{Call: ev.Call, Attempt: ev.Attempt, Obstacle: obstacle, Hedge: h})
		return
	}
	basis.Hedge = h
	r.send(&extra, t, basis)
}

// chooseForHedge picks a target for a hedged attempt: one that has a free slot and will probably answer
// sooner than the slow attempt, unless the service is short of targets or overloaded.
func (r *Router) chooseForHedge(k *call, remaining time.Duration) (*target, Basis, HedgeObstacle) {
	suitable := r.suitable(k)
	healthy := r.healthy(suitable)
	switch {
	case k.Deadline.Sub(r.now) < minRetryTime:
		return nil, Basis{}, HedgeDeadline
	case r.isQuarantined(&k.Call):
		return nil, Basis{}, HedgeQuarantined
	case 2*len(healthy) <= len(suitable):
		return nil, Basis{}, HedgeFewHealthy
	case r.firstBytes.hasRisen(r.now, k.service):
		return nil, Basis{}, HedgeMedianRisen
	case r.digestAge() > hedgeLoadValidity:
		return nil, Basis{}, HedgeLoadUnknown
	}
	free := slices.DeleteFunc(healthy, func(t *target) bool { return k.isTried(t.id) || r.isCold(t) || !t.hasFreeSlot() })
	if len(free) == 0 {
		return nil, Basis{}, HedgeNoFreeSlot
	}
	typical := r.firstBytes.typical(r.now, k)
	faster := slices.DeleteFunc(free, func(t *target) bool { return t.plainTime(r.now, typical) >= remaining })
	if len(faster) == 0 {
		return nil, Basis{}, HedgeNotFaster
	}
	t, basis := r.chooseLeastLoaded(k, pickTwo(k, faster))
	basis.ExpectedFirstByte = t.plainTime(r.now, typical)
	return t, basis, ""
}

// hasFreeSlot reports whether a target runs fewer requests than it has slots, by the load that all
// routers reported.
func (t *target) hasFreeSlot() bool { return t.running+t.othersLoad.Running < int(t.entry.Slots) }

// plainTime returns the expected time to the first byte of a call without a prompt which takes a
// typical time at a healthy target. A target that lets another call wait for longer is slow.
func (t *target) plainTime(now time.Time, typical time.Duration) time.Duration {
	return max(typical, t.longestWait(now))
}

// openAttempt returns the state of an attempt that has not ended, or nil.
func (r *Router) openAttempt(id CallID, attempt int) *call {
	for k := r.calls[id]; k != nil; k = k.earlier {
		if k.attempt == attempt {
			return k
		}
	}
	return nil
}

// closeAttempt removes an attempt that has ended from its call. It returns the call if the outcome
// decides how the call goes on, and nil if another attempt is still open or has decided it.
func (r *Router) closeAttempt(k *call, o Outcome) *call {
	newest := r.calls[k.ID]
	if o.NotRun() {
		newest.attempts--
	}
	open := newest.earlier
	if open == nil {
		if newest.decided {
			r.finish(newest)
			return nil
		}
		return newest
	}
	if open == k {
		open = newest
	}
	open.attempts, open.sends, open.triedTargets = newest.attempts, newest.sends, newest.triedTargets
	open.earlier, open.decided = nil, o.endsCall()
	r.calls[k.ID] = open
	return nil
}

// endsCall reports whether an attempt with this outcome leaves nothing to do for another attempt.
func (o Outcome) endsCall() bool {
	return o == Answered || o == Truncated || o == CallerGone || o == Expired
}

// tryHedge counts a hedged attempt in the budgets of its service, unless one of them is used up.
func (r *Router) tryHedge(k *call, h *HedgeBasis) HedgeObstacle {
	b := r.budget(k.service)
	i := b.advance(r.now)
	hedges := b.sum(b.hedges[:])
	allowed := hedgeUsableShare*r.cfg.ExtraRequestRatio*b.requestRate() + b.coveredShare()*r.hedgeRounding(k.service)
	h.Left = max(allowed-hedges, 0)
	h.RetriesLeft = max(b.allowedRetries(r.retryShare())-b.sum(b.retries[:]), 0)
	switch {
	case hedges+1 > allowed:
		return HedgeExtraRatio
	case hashFraction("hedge "+string(k.Request)) > h.Left/(allowed*(1-hedgeFullRateShare)):
		return HedgeThinned
	case h.RetriesLeft-1 < (1-hedgeRetryShare)*b.allowedRetries(r.retryShare()):
		return HedgeRetryBudget
	}
	b.hedges[i]++
	b.retries[i]++
	return ""
}

// requestRate returns the number of requests in the window, or twice that in its newer half if that is
// less: when the load falls, the limit falls with it.
func (b *retryBudget) requestRate() float64 {
	newer := 0
	for i := range int64(budgetWindowParts / 2) {
		newer += b.requests[(b.newest+budgetWindowParts-i)%budgetWindowParts]
	}
	return min(b.sum(b.requests[:]), 2*float64(newer))
}

// coveredShare returns the fraction of the window since its oldest request.
func (b *retryBudget) coveredShare() float64 {
	for i := int64(budgetWindowParts - 1); i > 0; i-- {
		if b.requests[(b.newest+budgetWindowParts-i)%budgetWindowParts] > 0 {
			return float64(i+1) / budgetWindowParts
		}
	}
	return 0
}

// hedgeRounding returns what is added to this router's part of the limit on hedged requests, which is
// often below one, before it is rounded down. The additions of n routers are 0, 1/n, 2/n and so on, in
// an order that differs between services. The rounded parts then add up to no more than the limit if the
// routers have equal numbers of requests, and about to it otherwise. They count only for the part of the
// window that has requests: when the first requests come, the limit of the fleet is below one too.
func (r *Router) hedgeRounding(service fleet.ServiceName) float64 {
	n := r.peers.count()
	return float64(min(r.routerRank(fleet.TargetID(service)), n-1)) / float64(n)
}

// hashFraction returns a hash as a number from 0 to 1.
func hashFraction(s string) float64 { return float64(hashOf(s)>>11) / (1 << 53) }
