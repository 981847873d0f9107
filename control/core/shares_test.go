package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// secondResult is what a customer asked for and got in a second, in prompt tokens. Requests count as
// got where they are sent.
type secondResult struct {
	asked, got float64
	// waited is true if a request was refused or answered late in this second.
	waited bool
}

// second returns the present second of a customer.
func (s *patternSim) second(c fleet.CustomerName) *secondResult {
	if s.seconds == nil {
		s.seconds = map[int]map[fleet.CustomerName]*secondResult{}
	}
	n := int(s.now.Unix())
	if s.seconds[n] == nil {
		s.seconds[n] = map[fleet.CustomerName]*secondResult{}
	}
	if s.seconds[n][c] == nil {
		s.seconds[n][c] = &secondResult{}
	}
	return s.seconds[n][c]
}

// fairSpan is the span over which customers are compared.
const fairSpan = 6

// leastFairShare returns the least part that a customer which waited in each second of fairSpan got
// of what it asked for or of what the best served customer got, whichever is less, second by second.
func (s *patternSim) leastFairShare(from int, customers []fleet.CustomerName) (least float64, customer fleet.CustomerName) {
	got := map[fleet.CustomerName]float64{}
	for n := from; n < from+fairSpan; n++ {
		for c, r := range s.seconds[n] {
			got[c] += r.got
		}
	}
	best := slices.MaxFunc(customers, func(a, b fleet.CustomerName) int { return int(got[a] - got[b]) })
	least = 1
	for _, c := range customers {
		owed, waited := 0.0, true
		for n := from; n < from+fairSpan; n++ {
			r := s.seconds[n][c]
			if r == nil || !r.waited {
				waited = false
				break
			}
			owed += min(r.asked, s.seconds[n][best].got)
		}
		if waited && owed > 0 && got[c]/owed < least {
			least, customer = got[c]/owed, c
		}
	}
	return least, customer
}

// hastyCustomer is the customer whose requests are for patternSim.hastyRoute, if there is one.
const hastyCustomer = 9

// playCompetition plays twelve customers that ask for half of the capacity together, of which the
// last four suddenly ask for 0.2, 0.3, 0.4 and 1 times the capacity more; two seconds later a fifth of
// the targets is five times as slow. It returns the second of the rise and the customers.
func (s *patternSim) playCompetition(targets int) (rise int, customers []fleet.CustomerName) {
	s.returns = 1
	from := func(i int) source {
		out := source{customer: fleet.CustomerName(fmt.Sprint("customer-", i)), router: s.anyRouter(0), part: s.anyPart}
		if i == hastyCustomer {
			out.route = s.hastyRoute
		}
		return out
	}
	for i := range 12 {
		customers = append(customers, from(i).customer)
		s.at(0, func() { s.arrive(s.capacity/24, from(i)) })
	}
	s.run(8 * time.Second)
	rise = int(s.now.Unix())
	for i, more := range []float64{0.2, 0.3, 0.4, 1} {
		s.at(0, func() { s.arrive(more*s.capacity, from(8+i)) })
	}
	s.run(2 * time.Second)
	for i := range targets / 5 {
		s.slowdown[fleet.TargetID(simTarget(i))] = 5
	}
	s.run((fairSpan - 2) * time.Second)
	return rise, customers
}

// Guards against customers of which one gets less than half of what it asks for while another gets
// several times as much: routers that refuse what would be late keep the queues so short that the
// leader does not limit customers to their shares (issue 60, FAIR).
func TestSharesActAtAnyGoal(t *testing.T) {
	for _, goal := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond} {
		for _, size := range []struct{ routers, targets int }{{8, 24}, {71, 60}} {
			convey.Convey(fmt.Sprintf("Each customer that waits gets half of its share: goal %v, %v", goal, size), t, func() {
				s := newPatternSim(t, size.routers, size.targets)
				s.route.Goal = goal
				s.promptScale = 0.25
				s.capacity /= s.promptScale
				rise, customers := s.playCompetition(size.targets)
				least, customer := s.leastFairShare(rise, customers)
				t.Logf("goal %v, %v: %s gets %.2f of its share", goal, size, customer, least)
				convey.So(least, convey.ShouldBeGreaterThan, 0.5)
			})
		}
	}
}

// Guards against a customer that gets less than half of its share because its routes have shorter
// goals than those of others, so that routers refuse more of its requests (issue 60, FAIR).
func TestSharesOfRoutesWithShortGoals(t *testing.T) {
	for _, goals := range [][2]time.Duration{
		{150 * time.Millisecond, 800 * time.Millisecond}, {300 * time.Millisecond, 800 * time.Millisecond}, {500 * time.Millisecond, 2500 * time.Millisecond},
	} {
		for _, size := range []struct{ routers, targets int }{{8, 24}, {71, 60}} {
			convey.Convey(fmt.Sprintf("Each customer that waits gets half of its share: goal %v beside %v, %v", goals[0], goals[1], size), t, func() {
				s := newPatternSim(t, size.routers, size.targets)
				hasty := *s.route
				hasty.Name, hasty.Goal = "hasty", goals[0]
				s.hastyRoute, s.route.Goal = &hasty, goals[1]
				s.promptScale = 0.25
				s.capacity /= s.promptScale
				rise, customers := s.playCompetition(size.targets)
				least, customer := s.leastFairShare(rise, customers)
				t.Logf("goal %v beside %v, %v: %s gets %.2f of its share", goals[0], goals[1], size, customer, least)
				convey.So(least, convey.ShouldBeGreaterThan, 0.5)
			})
		}
	}
}

// Guards against customers that are refused without regard to their shares while it is the limits that
// targets state which bind, not their queues.
func TestSharesWhileTargetsStateLimits(t *testing.T) {
	for _, size := range []struct{ routers, targets int }{{8, 24}, {71, 60}} {
		convey.Convey(fmt.Sprintf("Each customer that waits gets half of its share: %v", size), t, func() {
			s := newPatternSim(t, size.routers, size.targets)
			s.limits = map[fleet.TargetID]fleet.RequestRate{}
			for i := range size.targets {
				s.limits[fleet.TargetID(simTarget(i))] = fleet.RequestRate(0.7 * s.capacity / float64(size.targets))
			}
			rise, customers := s.playCompetition(size.targets)
			least, customer := s.leastFairShare(rise, customers)
			t.Logf("%v: %s gets %.2f of its share", size, customer, least)
			convey.So(least, convey.ShouldBeGreaterThan, 0.5)
		})
	}
}
