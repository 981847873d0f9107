package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// scenario is a random sequence of calls and of what else happens at one router, by its seed.
type scenario struct {
	*fixture
	rng     *rand.Rand
	running []placement.Send
	trace   []string
}

// firstDesk is the index of the first plain target, whose address differs from those of the engines.
const firstDesk = 100

func newScenario(t *testing.T, seed uint64) *scenario {
	targets := mixedVersions(9, 5)
	for i := range 4 {
		targets = append(targets, announcement(deskService, firstDesk+i))
	}
	return &scenario{fixture: newFixture(t, "router-0", 3, targets...), rng: rand.New(rand.NewPCG(seed, seed))}
}

// reduce applies an event and traces its effects.
func (s *scenario) reduce(ev fleet.Event) {
	for _, e := range s.Reduce(s.now, ev) {
		if _, ok := e.(placement.RolloutApplied); ok {
			continue
		}
		s.trace = append(s.trace, fmt.Sprintf("%T %+v", e, e))
		if sent, ok := e.(placement.Send); ok {
			s.running = append(s.running, sent)
		}
	}
}

// maxAtOneTarget bounds the attempts at a target. The router adds up their tokens as fractions in no
// fixed order, which gives the same sum in each run only for two.
const maxAtOneTarget = 2

// busiest returns the number of attempts at the target that has most.
func (s *scenario) busiest() int {
	most, running := 0, map[fleet.TargetID]int{}
	for _, sent := range s.running {
		running[sent.Target]++
		most = max(most, running[sent.Target])
	}
	return most
}

// step applies one random event of a router under load.
func (s *scenario) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	switch n := s.rng.IntN(100); {
	case s.busiest() >= maxAtOneTarget:
		s.advance(s.rng.IntN(len(s.running)))
	case n < 45:
		path := []string{"/plan/1", "/summary/1", "/file/1", "/read/1"}[s.rng.IntN(4)]
		p := placement.Prompt{}
		if path == "/plan/1" || path == "/summary/1" {
			p = prompt(placement.PartID(1+s.rng.IntN(20)), 200+s.rng.IntN(3000))
		}
		c := s.call(path, p)
		if path == "/summary/1" && s.rng.IntN(4) == 0 {
			c.Resuming, c.Origin = true, &fleet.StreamOrigin{Service: drafterService, Version: []fleet.SoftwareVersion{"v1", "v2"}[s.rng.IntN(2)]}
		}
		s.reduce(placement.CallArrived{Call: c})
	case n < 90 && len(s.running) > 0:
		s.advance(s.rng.IntN(len(s.running)))
	case n < 92:
		s.reduce(placement.Tick{})
	case n < 94:
		s.reduce(placement.ReportDue{})
	case n < 96:
		s.reduce(placement.DigestReceived{LoadDigest: fleet.LoadDigest{
			Targets: []fleet.TargetLoad{{Target: fleet.TargetID(fmt.Sprint("drafter-", s.rng.IntN(9))), Waiting: s.rng.IntN(20_000), Running: s.rng.IntN(20)}},
			Light:   []fleet.CustomerName{"majori"}[:s.rng.IntN(2)], HotParts: []fleet.HotPart{{Part: 1, TokensPerSecond: 50_000 * s.rng.Float64()}},
			Slowness: []fleet.ServiceSlowness{{Service: drafterService, Slowness: 0.5 + s.rng.Float64()}},
		}})
	case n < 98:
		a := []fleet.AgedAnnouncement{mixedVersions(9, 5)[s.rng.IntN(9)], announcement(deskService, firstDesk+s.rng.IntN(4))}[s.rng.IntN(2)]
		a.Incarnation, a.ColdFor = fleet.Incarnation(1+len(s.trace)), time.Second
		s.reduce(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{a}}})
	default:
		s.reduce(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{"a", "b", "c"}[:s.rng.IntN(2)]})
	}
}

// advance takes a running attempt one step further.
func (s *scenario) advance(i int) {
	sent := s.running[i]
	switch s.rng.IntN(4) {
	case 0:
		s.reduce(placement.SendDue{Call: sent.Call, Attempt: sent.Attempt})
	case 1:
		s.reduce(placement.AnswerBegun{Call: sent.Call, Attempt: sent.Attempt, Stream: s.rng.IntN(2) == 0, Failed: s.rng.IntN(8) == 0})
	default:
		outcomes := []placement.Outcome{
			placement.Answered, placement.Answered, placement.Answered, placement.Answered, placement.Unreached, placement.Withdrawn, placement.Declined,
			placement.Broken, placement.FailedAnswer, placement.Truncated, placement.CallerGone, placement.Expired,
		}
		s.running = append(s.running[:i], s.running[i+1:]...)
		s.reduce(placement.AttemptEnded{Call: sent.Call, Attempt: sent.Attempt, Outcome: outcomes[s.rng.IntN(len(outcomes))]})
	}
}

// TestPlacementWithoutRollout guards against a roll-out that changes the placement of other calls.
func TestPlacementWithoutRollout(t *testing.T) {
	const seeds, steps = 5, 5000
	named := map[string][]fleet.Rollout{
		"roll-outs of other services": {
			{Service: "mail", To: "v2", Number: 1, Revision: 1, State: fleet.RolloutActive, Share: 0.5},
			{Service: "chat", To: "v2", Number: 2, Revision: 9, State: fleet.RolloutCompleted, Share: 1},
		},
		"a reverted roll-out whose targets are gone": {
			{Service: drafterService, To: "v3", Number: 3, Revision: 4, State: fleet.RolloutReverted},
		},
	}
	for name, rollouts := range named {
		convey.Convey("A router that knows of "+name+" acts like one that knows of none", t, func() {
			for seed := uint64(1); seed <= seeds; seed++ {
				without, with := newScenario(t, seed), newScenario(t, seed)
				for i := range steps {
					if i%100 == 0 {
						with.apply(placement.RolloutsNoticed{Control: controlHost(0), Confirmed: true, Rollouts: rollouts})
					}
					without.step()
					with.step()
				}
				convey.So(len(without.trace), convey.ShouldBeGreaterThan, steps/4)
				convey.So(with.trace, convey.ShouldResemble, without.trace)
			}
		})
	}
}
