package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// limitSpan is the span in which requests to limited targets are counted.
const limitSpan = 4 * time.Second

// recoveryTime is the time after which a fleet has to work as before, once a disruption is over.
const recoveryTime = 12 * time.Second

// mostWithin returns the largest number of times in a span that begins at or after from.
func mostWithin(times []time.Time, from time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) > span {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// playLimits plays targets that state a limit below what they got before, callers that mostly use a
// few of the routers, and a change of the leader. It returns the part of the limits that was used.
func (s *patternSim) playLimits() float64 {
	crowded := max(3, len(s.routers)/10)
	crowd := source{customer: "crowd", router: func() int { return s.rng.IntN(crowded) }, part: s.anyPart}
	load := 0.6 * s.capacity
	s.at(0, func() { s.arrive(load*0.3, source{customer: "spread", router: s.anyRouter(0), part: s.anyPart}) })
	s.at(0, func() { s.arrive(load*0.7, crowd) })
	s.run(6 * time.Second)
	s.limits = map[fleet.TargetID]fleet.RequestRate{}
	targets := s.parts / partsPerTarget
	for i := range targets * 2 / 3 {
		s.limits[fleet.TargetID(simTarget(i))] = fleet.RequestRate(load / float64(targets) * (0.2 + 0.1*float64(i%5)))
	}
	limitedAt := s.now
	s.run(12 * time.Second)
	s.collector = newLoadCollector(4*time.Second, slog.New(slog.DiscardHandler))
	s.run(12 * time.Second)
	used, allowed := 0.0, 0.0
	for id, limit := range s.limits {
		// All routers have learnt of the limits after a second.
		convey.So(mostWithin(s.sends[id], limitedAt.Add(time.Second), limitSpan), convey.ShouldBeLessThanOrEqualTo, int(1.5*float64(limit)*limitSpan.Seconds())+5)
		used += float64(len(s.sends[id]))
		allowed += float64(limit) * s.now.Sub(limitedAt).Seconds()
	}
	return used / allowed
}

// TestTargetsThatStateALimit guards against targets that get more from all routers together than
// the limit that they state, against limits of which idle routers hold a part that others could
// use, and against limits that outlast their end.
func TestTargetsThatStateALimit(t *testing.T) {
	for _, size := range []struct{ routers, targets int }{{8, 18}, {73, 60}} {
		convey.Convey(fmt.Sprintf("Limits hold over all routers: %v", size), t, func() {
			equal := newPatternSim(t, size.routers, size.targets)
			equal.equalShares = true
			s := newPatternSim(t, size.routers, size.targets)
			usedEqually, used := equal.playLimits(), s.playLimits()
			t.Logf("%v: %.2f of the limits used, %.2f with equal shares", size, used, usedEqually)
			convey.So(used, convey.ShouldBeGreaterThan, usedEqually)
			s.limits = nil
			s.run(recoveryTime)
			s.results = map[fleet.CustomerName]*patternResult{}
			s.run(6 * time.Second)
			for _, r := range s.results {
				convey.So(float64(r.refused), convey.ShouldBeLessThan, 0.05*float64(r.asked))
			}
		})
	}
	convey.Convey("Limits below one request for each router hold", t, func() {
		newPatternSim(t, 290, 60).playLimits()
	})
}
