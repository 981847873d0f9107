package core

import (
	"expvar"
	"log/slog"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fairshare"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// governorConfig keeps the mean queueing delay at the engines far below the time to first byte that
// callers expect, because some targets have queues much longer than the mean. Where routers refuse
// work before that delay is reached, the refusals act in its place. With these gains a queue settles
// within a second; see TestGovernorFindsCapacity, and TestSharesActAtAnyGoal for several goals.
var governorConfig = fairshare.GovernorConfig{
	TargetDelay: 120 * time.Millisecond, ActivationDelay: 200 * time.Millisecond,
	Gain: 0.5, MaxDecrease: 0.5, MaxIncrease: 0.3, Smoothing: time.Second,
}

// shares returns the customers whose demand exceeds their fair share, with the fraction to admit, and
// those whose requests are not refused as late: light ones, and those that get much less than their
// share. While all demand is within the capacity, there are only light ones. Each call resets
// admittedTokens and refusedTokens.
func (l *loadCollector) shares(now time.Time, targets map[fleet.TargetID]fleet.TargetLoad) (shares []fleet.CustomerShare, spared []fleet.CustomerName) {
	rates := l.demand.Rates(now)
	spared = fairshare.Light(rates)
	if l.nominalRate == 0 {
		return nil, spared
	}
	load := fairshare.Load{Demand: l.totalDemand.Rates(now)[allCustomers], Admitted: l.admittedTokens, Refused: l.refusedTokens, NominalRate: l.nominalRate}
	l.admittedTokens, l.refusedTokens = 0, 0
	for _, t := range targets {
		load.Waiting += float64(t.Waiting)
	}
	admitted := l.governor.Update(now, load)
	underserved := 0
	if admitted > 0 && load.Demand > 0 {
		total := 0.0
		for _, rate := range rates {
			total += rate
		}
		capacity, sent := total*admitted/load.Demand, l.sentWork.Rates(now)
		shares = fairshare.Balanced(rates, sent, capacity)
		for _, c := range fairshare.Underserved(rates, sent, capacity) {
			underserved++
			if i, found := slices.BinarySearch(spared, c); !found {
				spared = slices.Insert(spared, i, c)
			}
		}
	}
	l.shareLog.update(now, shareState{Load: load, admitted: admitted, served: l.governor.ServedRate(), shares: shares, underserved: underserved})
	return shares, spared
}

// shareLogInterval is the time between two lines of a shareLog about the same state.
const shareLogInterval = time.Second

// shareDecisions counts the changes and the logged states of the customers' shares.
var shareDecisions = expvar.NewMap("ShareDecisions")

// shareState is a decision about the customers' shares and what it rests on. Rates are in tokens
// a second, counted as in fleet.RouterLoad.Asked.
type shareState struct {
	fairshare.Load
	// admitted is the rate that is admitted; 0 if there is no limit.
	admitted float64
	served   float64
	shares   []fleet.CustomerShare
	// underserved is the number of customers that get much less than their share.
	underserved int
}

// shareLog logs the decisions about the customers' shares: when a limit begins or ends, and once in
// shareLogInterval while there is one or routers refuse work as late.
type shareLog struct {
	log      *slog.Logger
	limiting bool
	loggedAt time.Time
	// refused is the work refused since the last line, in tokens.
	refused float64
}

func (s *shareLog) update(now time.Time, state shareState) {
	s.refused += state.Refused
	limiting := state.admitted > 0
	changed := limiting != s.limiting
	elapsed := now.Sub(s.loggedAt)
	if !changed && (elapsed < shareLogInterval || !limiting && s.refused == 0) {
		return
	}
	s.limiting = limiting
	if changed {
		shareDecisions.Add(map[bool]string{true: "LimitBegun", false: "LimitEnded"}[limiting], 1)
	}
	if !limiting && s.refused > 0 {
		shareDecisions.Add("RefusedWithoutLimit", 1)
	}
	least := 1.0
	for _, c := range state.shares {
		least = min(least, c.Admitted)
	}
	s.log.Info(logevent.SharesDecided, "limiting", limiting, "demandPerS", int(state.Demand), "servedPerS", int(state.served), "admittedPerS", int(state.admitted),
		"refusedLateTokens", int(s.refused), "waitingTokens", int(state.Waiting), "delayMs", int(1000*state.Waiting/state.NominalRate),
		"limitedCustomers", len(state.shares), "leastShare", least, "underservedCustomers", state.underserved)
	s.loggedAt, s.refused = now, 0
}
