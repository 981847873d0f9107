package core

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rollout"
)

// leaderSim is a leader of two roll-outs; the version of the second one is bad.
type leaderSim struct {
	leader   rolloutLeader
	now      time.Time
	rollouts []fleet.Rollout
}

func newLeaderSim() *leaderSim {
	s := &leaderSim{now: time.Unix(1_700_000_000, 0)}
	s.leader.limits = rollout.Limits{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}
	for i, name := range []fleet.ServiceName{"drafter", "permit-desk"} {
		s.rollouts = append(s.rollouts, fleet.Rollout{
			Service: name, To: "v2", Number: fleet.RolloutNumber(i + 1), Revision: 2, State: fleet.RolloutActive, Share: 0.04, Duration: time.Minute,
		})
	}
	return s
}

// run reviews both roll-outs for some seconds and returns the states that the leader decided on.
func (s *leaderSim) run(term fleet.Term, seconds int) map[fleet.ServiceName]fleet.RolloutState {
	out := map[fleet.ServiceName]fleet.RolloutState{}
	for i := range seconds * 10 {
		for _, r := range s.rollouts {
			ev := rollout.Reviewed{Rollout: r, Left: 50 * time.Second, NewTargets: 3, OldTargets: 3}
			if d := s.leader.review(s.now, term, &ev); d != nil {
				out[r.Service] = d.State
				s.leader.proposed(term, r.Number)
			}
		}
		s.now = s.now.Add(reviewInterval)
		load := fleet.RouterLoad{Host: "router-1", Sequence: fleet.Sequence(i + 1)}
		for _, r := range s.rollouts {
			bad := 0
			if r.Service == "permit-desk" {
				bad = 2
			}
			load.Rollouts = append(load.Rollouts,
				fleet.VersionOutcomes{Service: r.Service, Number: r.Number, Revision: 2, Route: "r", New: true, Answers: 4, Bad: bad},
				fleet.VersionOutcomes{Service: r.Service, Number: r.Number, Revision: 2, Route: "r", Answers: 96})
		}
		s.leader.addReport(s.now, &load)
	}
	return out
}

// Guards against roll-outs that are judged by each other's counts, and by those of an earlier term.
func TestRolloutLeader(t *testing.T) {
	convey.Convey("Of two roll-outs at the same time, the one of the bad version is reverted", t, func() {
		s := newLeaderSim()
		decided := s.run(1, 3)
		convey.So(decided["permit-desk"], convey.ShouldEqual, fleet.RolloutReverted)
		convey.So(decided["drafter"], convey.ShouldNotEqual, fleet.RolloutReverted)
		convey.Convey("but not by counts of an earlier term", func() {
			convey.So(s.run(2, 0), convey.ShouldBeEmpty)
			ev := rollout.Reviewed{Rollout: s.rollouts[1], Left: 50 * time.Second, NewTargets: 3, OldTargets: 3}
			convey.So(s.leader.review(s.now, 2, &ev), convey.ShouldBeNil)
		})
		convey.Convey("nor while a change is on its way", func() {
			ev := rollout.Reviewed{Rollout: s.rollouts[1], Left: 50 * time.Second, NewTargets: 3, OldTargets: 3}
			convey.So(s.leader.review(s.now, 1, &ev), convey.ShouldNotBeNil)
			convey.So(s.leader.review(s.now, 1, &ev), convey.ShouldBeNil)
		})
		convey.Convey("and forgotten once they are not active", func() {
			s.leader.forget(map[fleet.RolloutNumber]bool{1: true})
			convey.So(s.leader.led, convey.ShouldHaveLength, 1)
		})
	})
}
