package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxDigestInterval bounds the interval of digests that is assumed after some were lost.
const maxDigestInterval = 2 * time.Second

// rememberedReports is the number of reports whose loads are kept until a digest includes them.
const rememberedReports = 32

// TargetCounts returns the number of targets in each state, according to this router. The
// keys are Gone, Leaving, DataCentreOut, Paused, Limited, Failing, Cold and Serving.
func (r *Router) TargetCounts(now time.Time) map[string]int {
	out := map[string]int{}
	for _, t := range r.targets {
		switch {
		case t.entry == nil:
			out["Gone"]++
		case !t.isServing():
			out["Leaving"]++
		case r.dataCentresOut[t.entry.DataCentre]:
			out["DataCentreOut"]++
		case now.Before(t.pausedUntil) || !t.returns.accepts(now):
			out["Paused"]++
		case t.limit.rate(now) > 0:
			out["Limited"]++
		case t.failureRate > maxFailureRate:
			out["Failing"]++
		case now.Before(t.entry.ColdUntil) || t.maybeRestarted:
			out["Cold"]++
		default:
			out["Serving"]++
		}
	}
	return out
}

// digestState is the state of the load digest.
type digestState struct {
	// at is when the newest digest was received, interval the time since the one before.
	at       time.Time
	interval time.Duration
}

// reportState collects what this router reports besides the load of its targets.
type reportState struct {
	sequence       fleet.Sequence
	demand         map[fleet.CustomerName]fleet.CustomerDemand
	askedTokens    int
	admittedTokens int
	lateTokens     int
	calls          int
	// partWork is the work requested for each shared part.
	partWork map[PartID]int
	suspects map[fleet.ContentHash]int
	// ownLoads has the loads of the last reports, by their sequence.
	ownLoads map[fleet.Sequence][]fleet.TargetLoad
	// fleetCrashes counts the crashes that the whole fleet reported for a content.
	fleetCrashes map[fleet.ContentHash]int
}

func newReportState() reportState {
	return reportState{
		demand: map[fleet.CustomerName]fleet.CustomerDemand{}, partWork: map[PartID]int{},
		suspects: map[fleet.ContentHash]int{}, fleetCrashes: map[fleet.ContentHash]int{},
		ownLoads: map[fleet.Sequence][]fleet.TargetLoad{},
	}
}

// workTokens returns the work that a call causes at an engine, in tokens: each prompt token
// that is not shared counts once, each token to generate twice.
func workTokens(c *Call) int {
	return max(c.Prompt.Tokens-c.Prompt.sharedTokens(), 0) + 2*c.Prompt.expectedOutput()
}

// shareTokens returns the tokens that a call counts towards its customer's share: each prompt
// token counts once, each token to generate twice.
func shareTokens(c *Call) int { return c.Prompt.Tokens + 2*c.Prompt.expectedOutput() }

// addArrival counts the demand of a new call.
func (s *reportState) addArrival(k *call) {
	s.calls++
	if k.Customer != "" && k.Prompt.Tokens > 0 {
		s.addDemand(k.Customer, shareTokens(&k.Call), 0)
		s.askedTokens += workTokens(&k.Call)
	}
	if key, ok := affinityKey(&k.Call); ok {
		s.partWork[key] += workTokens(&k.Call)
	}
}

// addSent counts a call that is sent to an engine.
func (s *reportState) addSent(k *call) {
	if k.Prompt.Tokens == 0 {
		return
	}
	s.admittedTokens += workTokens(&k.Call)
	if k.Customer != "" {
		s.addDemand(k.Customer, 0, shareTokens(&k.Call))
	}
}

// addLate counts a call that is refused because its answer would be late.
func (s *reportState) addLate(k *call) { s.lateTokens += workTokens(&k.Call) }

func (s *reportState) addDemand(c fleet.CustomerName, asked, sent int) {
	d := s.demand[c]
	s.demand[c] = fleet.CustomerDemand{Customer: c, Tokens: d.Tokens + asked, Sent: d.Sent + sent}
}

// addCrash counts a target that failed while it was running a call.
func (s *reportState) addCrash(k *call) {
	if k.Content != "" {
		s.suspects[k.Content]++
	}
}

func (s *reportState) crashCount(c fleet.ContentHash) int {
	return max(s.fleetCrashes[c], s.suspects[c])
}

// makeReport returns the load of this router and resets what is counted from report to report.
func (r *Router) makeReport() fleet.RouterLoad {
	s := &r.report
	s.sequence++
	out := fleet.RouterLoad{Host: r.cfg.Self, Sequence: s.sequence, Asked: s.askedTokens, Admitted: s.admittedTokens, RefusedLate: s.lateTokens}
	s.askedTokens, s.admittedTokens, s.lateTokens = 0, 0, 0
	out.Slowness = r.measuredSlowness()
	out.Calls, out.Limits = s.calls, r.statedLimits()
	s.calls = 0
	out.Rollouts, out.Paces = r.takeRolloutOutcomes(), r.takePaceSamples()
	r.parts.fillReport(r.now, &out)
	if r.config != nil {
		out.Capacity = r.config.TokensPerSecond
	}
	for _, t := range r.targets {
		if t.running > 0 {
			out.Targets = append(out.Targets, fleet.TargetLoad{Target: t.id, Waiting: t.queuedTokens(r.now), Running: t.running})
		}
	}
	slices.SortFunc(out.Targets, func(a, b fleet.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	s.ownLoads[s.sequence] = out.Targets
	delete(s.ownLoads, s.sequence-rememberedReports)
	for _, d := range s.demand {
		out.Demand = append(out.Demand, d)
	}
	slices.SortFunc(out.Demand, func(a, b fleet.CustomerDemand) int { return cmp.Compare(a.Customer, b.Customer) })
	for c, n := range s.suspects {
		out.Suspects = append(out.Suspects, fleet.SuspectCount{Content: c, Crashes: n})
	}
	for c, n := range s.fleetCrashes {
		out.KnownSuspects = append(out.KnownSuspects, fleet.SuspectCount{Content: c, Crashes: n})
	}
	for _, counts := range [][]fleet.SuspectCount{out.Suspects, out.KnownSuspects} {
		slices.SortFunc(counts, func(a, b fleet.SuspectCount) int { return cmp.Compare(a.Content, b.Content) })
	}
	for part, tokens := range s.partWork {
		out.Parts = append(out.Parts, fleet.PartWork{Part: part, Tokens: tokens})
	}
	slices.SortFunc(out.Parts, func(a, b fleet.PartWork) int { return cmp.Compare(a.Part, b.Part) })
	s.demand, s.partWork = map[fleet.CustomerName]fleet.CustomerDemand{}, map[PartID]int{}
	s.suspects = map[fleet.ContentHash]int{}
	return out
}

// applyDigest replaces the load, crashes and shares that the routers reported. The load that
// this router itself reported is subtracted.
func (r *Router) applyDigest(d *DigestReceived) {
	r.digest.interval = min(r.digestAge(), maxDigestInterval)
	r.digest.at = r.now
	for _, t := range r.targets {
		t.othersLoad = fleet.TargetLoad{}
	}
	for _, l := range d.Targets {
		if t := r.targets[l.Target]; t != nil {
			t.othersLoad = l
		}
	}
	for _, own := range r.report.ownLoads[d.Sequence] {
		if t := r.targets[own.Target]; t != nil {
			t.othersLoad.Waiting = max(0, t.othersLoad.Waiting-own.Waiting)
			t.othersLoad.Running = max(0, t.othersLoad.Running-own.Running)
		}
	}
	r.hotParts = make(map[PartID]float64, len(d.HotParts))
	for _, h := range d.HotParts {
		r.hotParts[h.Part] = h.TokensPerSecond
	}
	if !d.Partial {
		r.report.fleetCrashes = map[fleet.ContentHash]int{}
	}
	for _, s := range d.Suspects {
		r.report.fleetCrashes[s.Content] = max(r.report.fleetCrashes[s.Content], s.Crashes)
	}
	r.admission.setShares(d.Shares)
	r.admission.light = make(map[fleet.CustomerName]bool, len(d.Light))
	for _, c := range d.Light {
		r.admission.light[c] = true
	}
	r.applyFleetSlowness(d.Slowness)
	r.parts.applyDigest(r.now, &d.LoadDigest)
	r.applyLimits(d)
	r.applyPaces(&d.LoadDigest)
}

// digestAge returns the age of the newest digest, or shareValidity if there is none.
func (r *Router) digestAge() time.Duration {
	if r.digest.at.IsZero() {
		return shareValidity
	}
	return r.now.Sub(r.digest.at)
}

// reportAge returns the mean age of the loads that the other routers reported. They are half an
// interval old when the digest is made.
func (r *Router) reportAge() time.Duration { return r.digestAge() + r.digest.interval/2 }
