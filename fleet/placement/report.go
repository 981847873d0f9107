package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// digestValidity is the age from which the others' load is not relied on.
const digestValidity = 2 * time.Second

// TargetCounts returns the number of targets by what this router believes of them.
func (r *Router) TargetCounts(now time.Time) map[string]int {
	out := map[string]int{}
	for _, t := range r.targets {
		switch {
		case t.entry == nil:
			out["Gone"]++
		case t.entry.State != fleet.TargetServing:
			out["Leaving"]++
		case r.out[t.entry.DataCentre]:
			out["DataCentreOut"]++
		case now.Before(t.pausedUntil):
			out["Paused"]++
		case t.failures > badFailureRate:
			out["Failing"]++
		case now.Before(t.entry.ColdUntil) || t.doubted:
			out["Cold"]++
		default:
			out["Serving"]++
		}
	}
	return out
}

// digestState is what the other routers reported.
type digestState struct {
	at time.Time
}

// reportState is what this router reports besides the load of its targets.
type reportState struct {
	sequence fleet.Sequence
	demand   map[fleet.CustomerName]fleet.CustomerDemand
	asked    int
	admitted int
	suspects map[fleet.ContentHash]int
	// known is the number of crashes of the whole fleet.
	known map[fleet.ContentHash]int
}

func newReportState() reportState {
	return reportState{
		demand:   map[fleet.CustomerName]fleet.CustomerDemand{},
		suspects: map[fleet.ContentHash]int{}, known: map[fleet.ContentHash]int{},
	}
}

// tokensOf returns what a call asks of the engines: each token that is its own to read
// counts once, each token to be generated twice.
func tokensOf(c *Call) int {
	return max(c.Prompt.Tokens-c.Prompt.sharedTokens(), 0) + 2*c.Prompt.expectedOutput()
}

// shareTokens returns what a call counts for in its customer's share: all tokens of its
// prompt once, and each token to be generated twice.
func shareTokens(c *Call) int { return c.Prompt.Tokens + 2*c.Prompt.expectedOutput() }

func (s *reportState) demanded(k *call) {
	if k.Customer != "" && k.Prompt.Tokens > 0 {
		s.addDemand(k.Customer, shareTokens(&k.Call), 0)
		s.asked += tokensOf(&k.Call)
	}
}

// sent notes that a call goes to an engine.
func (s *reportState) sent(k *call) {
	if k.Prompt.Tokens == 0 {
		return
	}
	s.admitted += tokensOf(&k.Call)
	if k.Customer != "" {
		s.addDemand(k.Customer, 0, shareTokens(&k.Call))
	}
}

func (s *reportState) addDemand(c fleet.CustomerName, asked, sent int) {
	d := s.demand[c]
	s.demand[c] = fleet.CustomerDemand{Customer: c, Tokens: d.Tokens + asked, Sent: d.Sent + sent}
}

// crashed notes that a target broke off while it ran a call.
func (s *reportState) crashed(k *call) {
	if k.Content != "" {
		s.suspects[k.Content]++
	}
}

func (s *reportState) crashes(c fleet.ContentHash) int { return max(s.known[c], s.suspects[c]) }

// makeReport returns the load of this router and forgets what need not be told again.
func (r *Router) makeReport() fleet.RouterLoad {
	s := &r.report
	s.sequence++
	out := fleet.RouterLoad{Host: r.cfg.Self, Sequence: s.sequence, Asked: s.asked, Admitted: s.admitted}
	s.asked, s.admitted = 0, 0
	if r.config != nil {
		out.Capacity = r.config.TokensPerSecond
	}
	for _, t := range r.targets {
		if t.running > 0 {
			out.Targets = append(out.Targets, fleet.TargetLoad{Target: t.id, Waiting: t.waiting(r.now), Running: t.running})
		}
	}
	slices.SortFunc(out.Targets, func(a, b fleet.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	for _, d := range s.demand {
		out.Demand = append(out.Demand, d)
	}
	slices.SortFunc(out.Demand, func(a, b fleet.CustomerDemand) int { return cmp.Compare(a.Customer, b.Customer) })
	for c, n := range s.suspects {
		out.Suspects = append(out.Suspects, fleet.SuspectCount{Content: c, Crashes: n})
	}
	slices.SortFunc(out.Suspects, func(a, b fleet.SuspectCount) int { return cmp.Compare(a.Content, b.Content) })
	s.demand = map[fleet.CustomerName]fleet.CustomerDemand{}
	s.suspects = map[fleet.ContentHash]int{}
	return out
}

// hearDigest takes what the other routers reported.
func (r *Router) hearDigest(d *fleet.LoadDigest) {
	r.digest.at = r.now
	for _, t := range r.targets {
		t.others = fleet.TargetLoad{}
	}
	for _, l := range d.Targets {
		if t := r.targets[l.Target]; t != nil {
			t.others = l
		}
	}
	r.report.known = map[fleet.ContentHash]int{}
	for _, s := range d.Suspects {
		r.report.known[s.Content] = s.Crashes
	}
	r.admit.setShares(d.Shares)
}

func (r *Router) digestAge() time.Duration {
	if r.digest.at.IsZero() {
		return digestValidity
	}
	return r.now.Sub(r.digest.at)
}
