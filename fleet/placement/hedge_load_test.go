package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

const (
	// hedgeWindow is RetryLimits.Window of the fixtures.
	hedgeWindow = 10 * time.Second
	readGoal    = 150 * time.Millisecond
	// plainSlots is the number of slots of a target.
	plainSlots = 6
)

// plainSite simulates a plain service behind several routers. Each target runs as many requests at a
// time as it has slots, and queues the others.
type plainSite struct {
	routers, targets int
	ratio            float64
	// reads and files are the numbers of requests a second that may be repeated and that may not.
	reads, files float64
	// serviceTime is the time that a target takes for the first attempt of a request, or another one.
	serviceTime func(target fleet.TargetID, now time.Duration, first bool) time.Duration
	// failures is the fraction of the first attempts of reads that fail after their time.
	failures float64
	// sees returns the routers that a router sees; nil means all.
	sees func(router int) []fleet.HostID
	// length is the simulated time.
	length time.Duration
	seed   uint64
	// begin is called at the start; nil for nothing.
	begin func()

	rng      *rand.Rand
	now      time.Time
	todo     eventQueue
	sequence int
	fixtures []*fixture
	states   map[fleet.TargetID]*plainTarget

	asked, hedged []time.Time
	// times has the time to the answer of each read.
	times   []time.Duration
	refused map[placement.HedgeObstacle]int
}

type plainTarget struct {
	running int
	queue   []*plainAttempt
}

type plainAttempt struct {
	request      *plainRequest
	send         placement.Send
	begun, ended bool
}

type plainRequest struct {
	f        *fixture
	path     string
	askedAt  time.Time
	attempts []*plainAttempt
}

func (s *plainSite) at(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.todo, event{at: s.now.Add(d), sequence: s.sequence, do: do})
}

func (s *plainSite) play(t *testing.T) {
	s.rng, s.now, s.states = rand.New(rand.NewPCG(7, s.seed)), start, map[fleet.TargetID]*plainTarget{}
	s.refused = map[placement.HedgeObstacle]int{}
	for i := range s.routers {
		targets := announcements(deskService, s.targets)
		for j := range targets {
			// As if the routers were in all data centres.
			targets[j].DataCentre = announcement(deskService, (i+j)%len(targets)).DataCentre
		}
		f := newConfiguredFixture(t, hosts(s.routers)[i], s.routers, func(c *placement.Config) {
			c.ExtraRequestRatio, c.Retries.Extra = s.ratio, 182
		}, targets...)
		route, _ := f.config.Match("h", "/read/")
		route.Goal = readGoal
		if s.sees != nil {
			f.apply(placement.PeersChanged{Routers: s.sees(i)})
		}
		s.fixtures = append(s.fixtures, f)
	}
	for _, a := range announcements(deskService, s.targets) {
		s.states[a.Target] = &plainTarget{}
	}
	s.at(0, s.exchange)
	s.arrive("/read/", s.reads)
	s.arrive("/file/", s.files)
	if s.begin != nil {
		s.begin()
	}
	for len(s.todo) > 0 {
		e := heap.Pop(&s.todo).(event)
		s.now = e.at
		e.do()
	}
}

// exchange passes on the load that the routers report.
func (s *plainSite) exchange() {
	sum, digests := map[fleet.TargetID]int{}, make([]placement.DigestReceived, len(s.fixtures))
	for i, f := range s.fixtures {
		f.now = s.now
		r := f.apply(placement.ReportDue{}).(placement.Report)
		digests[i].Sequence = r.Sequence
		for _, l := range r.Targets {
			sum[l.Target] += l.Running
		}
	}
	for i, f := range s.fixtures {
		for id, n := range sum {
			digests[i].Targets = append(digests[i].Targets, fleet.TargetLoad{Target: id, Running: n})
		}
		f.apply(digests[i])
	}
	if s.now.Sub(start) < s.length {
		s.at(max(100, time.Duration(s.routers))*time.Millisecond, s.exchange)
	}
}

func (s *plainSite) arrive(path string, perSecond float64) {
	if perSecond == 0 {
		return
	}
	s.at(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		q := &plainRequest{f: s.fixtures[s.rng.IntN(len(s.fixtures))], path: path, askedAt: s.now}
		s.asked = append(s.asked, s.now)
		q.f.now = s.now
		c := q.f.call(path, placement.Prompt{})
		// Request IDs of different routers are unrelated.
		c.Request = fleet.RequestID(fmt.Sprint("r-", len(s.asked)))
		s.handle(q, q.f.apply(placement.CallArrived{Call: c}))
		if s.now.Sub(start) < s.length {
			s.arrive(path, perSecond)
		}
	})
}

func (s *plainSite) handle(q *plainRequest, e fleet.Effect) {
	switch e := e.(type) {
	case placement.Send:
		a := &plainAttempt{request: q, send: e}
		q.attempts = append(q.attempts, a)
		if e.Basis.Hedge.Of > 0 {
			s.hedged = append(s.hedged, s.now)
		}
		if e.ExtraAfter > 0 {
			s.at(e.ExtraAfter, func() {
				q.f.now = s.now
				s.handle(q, q.f.apply(placement.ExtraDue{Call: e.Call, Attempt: e.Attempt}))
			})
		}
		target := s.states[e.Target]
		target.queue = append(target.queue, a)
		s.serveNext(target)
	case placement.ExtraRefused:
		s.refused[e.Obstacle]++
	case placement.GiveUp:
		s.times = append(s.times, time.Hour)
	}
}

// serveNext begins queued requests while slots are free.
func (s *plainSite) serveNext(t *plainTarget) {
	for t.running < plainSlots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		a.begun = true
		s.at(s.serviceTime(a.send.Target, s.now.Sub(start), a.send.Attempt == 1), func() { s.answer(a) })
	}
}

// leave ends an attempt at its target.
func (s *plainSite) leave(a *plainAttempt) {
	t := s.states[a.send.Target]
	a.ended = true
	if a.begun {
		t.running--
	} else {
		t.queue = slices.DeleteFunc(t.queue, func(other *plainAttempt) bool { return other == a })
	}
	s.serveNext(t)
}

func (s *plainSite) answer(a *plainAttempt) {
	q := a.request
	if a.ended {
		return
	}
	s.leave(a)
	q.f.now = s.now
	if q.path == "/read/" && a.send.Attempt == 1 && s.rng.Float64() < s.failures {
		q.f.apply(placement.AnswerBegun{Call: a.send.Call, Attempt: a.send.Attempt, Failed: true})
		s.handle(q, q.f.end(a.send, placement.FailedAnswer))
		return
	}
	q.f.apply(placement.AnswerBegun{Call: a.send.Call, Attempt: a.send.Attempt})
	for _, other := range q.attempts {
		if !other.ended {
			s.leave(other)
			q.f.end(other.send, placement.Superseded)
		}
	}
	q.f.end(a.send, placement.Answered)
	if q.path == "/read/" {
		s.times = append(s.times, s.now.Sub(q.askedAt))
	}
}

// within returns the number of ordered times in a window.
func within(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}

// mostUsed returns the largest part of the limit that was used in any window that begins or ends with a
// hedged request.
func (s *plainSite) mostUsed() float64 {
	most := 0.0
	for _, at := range s.hedged {
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - hedgeWindow)} {
			to := from.Add(hedgeWindow)
			if asked := within(s.asked, from, to); asked > 0 && to.Before(start.Add(s.length)) {
				most = max(most, float64(within(s.hedged, from, to))/(s.ratio*float64(asked)))
			}
		}
	}
	return most
}

// late returns the fraction of the reads that are answered after their goal, or not at all.
func (s *plainSite) late() float64 {
	n := 0
	for _, t := range s.times {
		if t > readGoal {
			n++
		}
	}
	return float64(n) / float64(len(s.times))
}

// examSite is the plain service of the exam platform: one of its targets after the other is 2.5 times
// as slow for 600 ms, 15 in 100 of the time of each, and 1 in 7 of the first attempts of reads fails.
func examSite(ratio float64, seed uint64) *plainSite {
	slowUntil := map[fleet.TargetID]time.Duration{}
	rng := rand.New(rand.NewPCG(3, seed))
	next := map[fleet.TargetID]time.Duration{}
	return &plainSite{
		routers: 71, targets: 3, ratio: ratio, seed: seed, reads: 79, files: 197, failures: 1.0 / 7, length: 60 * time.Second,
		serviceTime: func(id fleet.TargetID, now time.Duration, _ bool) time.Duration {
			for now >= next[id] {
				slowUntil[id] = next[id] + 600*time.Millisecond
				next[id] += 600*time.Millisecond + time.Duration(rng.ExpFloat64()*3.4*float64(time.Second))
			}
			if now < slowUntil[id] {
				return 75 * time.Millisecond
			}
			return 30 * time.Millisecond
		},
	}
}

// TestHedgesOfThePlainService plays the plain service of the exam platform behind 71 routers, each of which
// sees one read a second. Reads at a target that was slow for 600 ms were answered late.
func TestHedgesOfThePlainService(t *testing.T) {
	convey.Convey("A fifth of the late answers is avoided within the limit", t, func() {
		late := map[float64]float64{}
		for _, ratio := range []float64{0, 0.05} {
			for seed := range uint64(3) {
				s := examSite(ratio, seed)
				s.length = 45 * time.Second
				s.play(t)
				late[ratio] += s.late()
				convey.So(s.mostUsed(), convey.ShouldBeLessThanOrEqualTo, 1)
			}
		}
		convey.So(late[0.05], convey.ShouldBeLessThan, 0.8*late[0])
	})
	convey.Convey("Most late answers of one slow target of many are avoided", t, func() {
		late := map[float64]float64{}
		for _, ratio := range []float64{0, 0.05} {
			s := examSite(ratio, 1)
			s.routers, s.targets, s.failures, s.length = 8, 12, 0, 30*time.Second
			s.serviceTime = func(id fleet.TargetID, _ time.Duration, _ bool) time.Duration {
				if id == "desk-5" {
					return 400 * time.Millisecond
				}
				return 30 * time.Millisecond
			}
			s.play(t)
			late[ratio] = s.late()
		}
		convey.So(late[0.05], convey.ShouldBeLessThan, 0.5*late[0])
	})
}

// demandingSite is a service of which 15 in 100 first attempts are slow, at any target: more than the
// limit permits to hedge.
func demandingSite(routers int) *plainSite {
	s := &plainSite{routers: routers, targets: 12, ratio: 0.05, reads: 500, length: 25 * time.Second}
	s.serviceTime = func(_ fleet.TargetID, _ time.Duration, first bool) time.Duration {
		if first && s.rng.Float64() < 0.15 {
			return 400 * time.Millisecond
		}
		return 30 * time.Millisecond
	}
	return s
}

// TestHedgeLimitOverAllRouters guards against routers that together send more hedged requests than the
// limit, and against a limit that is lost in the rounding of many small parts.
func TestHedgeLimitOverAllRouters(t *testing.T) {
	convey.Convey("Routers stay within a small limit from the first request on", t, func() {
		// With this seed, a request is slow within the first 200 ms.
		s := examSite(0.01, 4)
		s.length = 20 * time.Second
		s.play(t)
		convey.So(s.hedged, convey.ShouldNotBeEmpty)
		convey.So(s.mostUsed(), convey.ShouldBeLessThanOrEqualTo, 1)
	})
	for _, c := range []struct{ routers, cutOff int }{{1, 0}, {71, 30}, {300, 0}} {
		convey.Convey(fmt.Sprintf("Routers stay within the limit and use much of it: %+v", c), t, func() {
			s := demandingSite(c.routers)
			if c.cutOff > 0 {
				s.sees = func(i int) []fleet.HostID {
					if i < c.cutOff {
						return hosts(c.routers)[i : i+1]
					}
					return hosts(c.routers)[c.cutOff:]
				}
			}
			s.play(t)
			convey.So(s.mostUsed(), convey.ShouldBeLessThanOrEqualTo, 1)
			convey.So(float64(len(s.hedged)), convey.ShouldBeGreaterThan, 0.4*s.ratio*float64(len(s.asked)))
			if c.routers == 1 {
				// The rate falls before the limit is met.
				convey.So(s.refused[placement.HedgeThinned], convey.ShouldBeGreaterThan, 10*s.refused[placement.HedgeExtraRatio])
			}
		})
	}
}

// TestHedgesUnderOverload guards against hedged requests that add to an overload.
func TestHedgesUnderOverload(t *testing.T) {
	const from, length = 20 * time.Second, 30 * time.Second
	for name, overload := range map[string]func(*plainSite){
		"all targets are slow": func(s *plainSite) {
			usual := s.serviceTime
			s.serviceTime = func(id fleet.TargetID, now time.Duration, first bool) time.Duration {
				if now > from {
					return 3 * usual(id, now, first)
				}
				return usual(id, now, first)
			}
		},
		"a crowd asks for more than the targets can serve": func(s *plainSite) {
			s.begin = func() { s.at(from, func() { s.arrive("/read/", 4*s.reads) }) }
		},
	} {
		convey.Convey("Hardly any request is hedged while "+name, t, func() {
			s := examSite(0.05, 1)
			s.routers, s.length = 8, length
			overload(s)
			s.play(t)
			// A second passes before the overload is noticed.
			const lateReads, hedged = 100, 5
			convey.So(s.late()*float64(len(s.times)), convey.ShouldBeGreaterThan, lateReads)
			convey.So(within(s.hedged, start.Add(from+time.Second), start.Add(length)), convey.ShouldBeLessThan, hedged)
		})
	}
}
