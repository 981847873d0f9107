package rollout_test

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rollout"
)

// Numbers of roll-outs of a case: many for the stated error rates, few for the variants.
const (
	many = 1000
	few  = 200
)

// condition limits a fault to some of the requests to the new version.
type condition func(s *site, at time.Duration, r *request) bool

func always(*site, time.Duration, *request) bool { return true }

func after(d time.Duration) condition {
	return func(_ *site, at time.Duration, _ *request) bool { return at > d }
}

// underLoad is a fault that shows from a share of the requests on.
func underLoad(share float64) condition {
	return func(s *site, _ time.Duration, r *request) bool { return s.routers[r.router].share >= share }
}

func onOneRoute(_ *site, _ time.Duration, r *request) bool { return r.route == 1 }

func fails(part float64, when condition) func(*site) {
	return func(s *site) {
		s.faults = func(s *site, at time.Duration, r *request) {
			r.bad = r.fresh && when(s, at, r) && s.rng.Float64() < part
		}
	}
}

func slow(factor float64, when condition) func(*site) {
	return func(s *site) {
		s.faults = func(s *site, at time.Duration, r *request) {
			if r.fresh && when(s, at, r) {
				r.slowness *= factor
			}
		}
	}
}

// bothFail makes requests of both versions fail from one time to another.
func bothFail(part float64, from, to time.Duration) func(*site) {
	return func(s *site) {
		s.faults = func(s *site, at time.Duration, r *request) { r.bad = at >= from && at < to && s.rng.Float64() < part }
	}
}

// bothCrash makes one of six targets of one of the versions crash again and again.
func bothCrash(meanPause time.Duration) func(*site) {
	return func(s *site) {
		for at := time.Second; at < s.duration; at += time.Duration(s.rng.Int64N(int64(2 * meanPause))) {
			s.crashes = append(s.crashes, crash{at: at, fresh: s.rng.IntN(2) == 0, part: 1.0 / 6})
		}
	}
}

// thirdCrashes makes 3 of 10 targets of both versions crash at once, twice.
func thirdCrashes(s *site) {
	at := time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	for _, at := range []time.Duration{at, at + 3*time.Second} {
		s.crashes = append(s.crashes, crash{at, true, 0.3}, crash{at, false, 0.3})
	}
}

// play plays a number of roll-outs, each with its own seed, and calls f with the result, not concurrently.
func play(seeds int64, rate float64, prepare func(*site), f func(*site)) {
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1); seed <= seeds; seed = next.Add(1) {
				s := newSite(uint64(seed), rate, 4)
				prepare(s)
				s.run()
				mu.Lock()
				f(s)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// Guards against sound versions that are reverted by chance or because targets of both versions
// crash, and against roll-outs that do not end in time.
func TestSoundVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		seeds   int64
		rate    float64
		prepare func(*site)
	}{
		{"without failures", few, 150, func(*site) {}},
		{"of which 1 in 100 answers fails, as of the old one", many, 150, bothFail(0.01, 0, time.Minute)},
		{"of which 1 in 10 answers fails, as of the old one", few, 150, bothFail(0.1, 0, time.Minute)},
		{"while 1 in 5 answers of both versions fails for 3 s", few, 150, bothFail(0.2, 5*time.Second, 8*time.Second)},
		{"whose targets are all of the slowest third", few, 150, slow(1/0.74, always)},
		{"among targets one of which crashes every 1.5 s", many, 400, bothCrash(1500 * time.Millisecond)},
		{"among targets one of which crashes every 0.75 s", few, 150, bothCrash(750 * time.Millisecond)},
		{"among many targets that crash at once", few, 150, thirdCrashes},
		{"with 10 requests a second, 1 in 10 of which fails", few, 10, bothFail(0.1, 0, time.Minute)},
	} {
		convey.Convey(fmt.Sprintf("At most 1 of 100 roll-outs of a version %s is reverted, and none takes longer than its time", c.name), t, func() {
			reverted := int64(0)
			late := time.Duration(0)
			play(c.seeds, c.rate, c.prepare, func(s *site) {
				if s.rollout.State != fleet.RolloutCompleted {
					reverted++
				}
				late = max(late, s.decided-s.duration)
			})
			convey.So(reverted, convey.ShouldBeLessThanOrEqualTo, c.seeds/100)
			convey.So(late, convey.ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

// Guards against bad versions that are completed, that get more requests than the limit, or that
// are found long after their 50th bad answer.
func TestBadVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		seeds   int64
		rate    float64
		prepare func(*site)
		// exposure is the allowed multiple of the exposure limit.
		exposure float64
	}{
		{"fails always", few, 150, fails(1, always), 0.2},
		{"fails in 1 of 2 answers", few, 150, fails(0.5, always), 0.3},
		// The limit of 410 requests is less than the 500 that it takes to find such a fault.
		{"fails in 1 of 20 answers", many, 300, fails(0.05, always), 2.3},
		{"fails in 1 of 20 answers, at 1,000 requests a second", few, 1000, fails(0.05, always), 1},
		{"answers 3 times as slowly", many, 150, slow(3, always), 0.5},
		{"answers 5 times as slowly", few, 150, slow(5, always), 0.3},
		{"fails in 1 of 2 answers after 5 s", few, 150, fails(0.5, after(5*time.Second)), 0.6},
		{"answers 4 times as slowly after 5 s", few, 150, slow(4, after(5*time.Second)), 0.6},
		{"fails in 1 of 2 answers from a fifth of the load on", few, 300, fails(0.5, underLoad(0.2)), 0.8},
		{"fails in 1 of 2 answers from half of the load on", few, 1000, fails(0.5, underLoad(0.5)), 1},
		{"answers 4 times as slowly from half of the load on", few, 1000, slow(4, underLoad(0.5)), 1},
		// A fault that shows only once all requests have moved is found after the limit.
		{"fails in 1 of 2 answers under the whole load", few, 1000, fails(0.5, underLoad(1)), 1.5},
		{"answers 4 times as slowly under the whole load", few, 1000, slow(4, underLoad(1)), 2.2},
		{"fails in 1 of 2 answers on one route", few, 1000, fails(0.5, onOneRoute), 0.3},
		{"answers 4 times as slowly on one route", few, 1000, slow(4, onOneRoute), 0.3},
	} {
		convey.Convey("99 of 100 roll-outs of a version are reverted in time that "+c.name, t, func() {
			reverted, over := int64(0), int64(0)
			var found time.Duration
			play(c.seeds, c.rate, c.prepare, func(s *site) {
				if s.rollout.State == fleet.RolloutReverted && s.decided <= s.duration {
					reverted++
				}
				if float64(s.exposed) > c.exposure*(limits.ExposureShare*s.rate*s.duration.Seconds()+float64(limits.ExposureSlack)) {
					over++
				}
				if s.fiftieth > 0 {
					found = max(found, s.decided-s.fiftieth)
				}
			})
			convey.So(reverted, convey.ShouldBeGreaterThanOrEqualTo, c.seeds*99/100)
			convey.So(over, convey.ShouldBeLessThanOrEqualTo, c.seeds/100)
			convey.So(found, convey.ShouldBeLessThanOrEqualTo, 2*time.Second)
		})
	}
}

// Guards against a limit that holds at each router and not over all, and against a router that is
// cut off and goes on to send requests to a bad version.
func TestExposureOverManyRouters(t *testing.T) {
	for _, n := range []int{1, 8, 78} {
		convey.Convey(fmt.Sprintf("With %d routers that know changes late, one of them cut off, both limits hold", n), t, func() {
			for seed := range uint64(20) {
				s := newSite(seed, 400, n)
				fails(0.3, always)(s)
				s.beforeStep = func() {
					if s.now == 2*time.Second && n > 1 {
						s.routers[0].cut = true
					}
				}
				s.run()
				convey.So(s.rollout.State, convey.ShouldEqual, fleet.RolloutReverted)
				end := s.now + 8*time.Second
				for ; s.now < end; s.now += tick {
					s.step()
				}
				convey.So(float64(s.exposed), convey.ShouldBeLessThan, 0.5*(limits.ExposureShare*float64(s.sent)+float64(limits.ExposureSlack)))
				if s.fiftieth > 0 {
					convey.So(s.lastExposed-s.fiftieth, convey.ShouldBeLessThan, rollbackTime)
				}
			}
		})
	}
}

// Guards against a new leader that decides by the counts of the former one, or never.
func TestLeaderIsReplaced(t *testing.T) {
	for at := 500 * time.Millisecond; at < 11*time.Second; at += 1500 * time.Millisecond {
		convey.Convey(fmt.Sprintf("With a leader that is lost %s after the order", at), t, func() {
			for seed := range uint64(10) {
				for _, bad := range []bool{false, true} {
					s := newSite(seed, 300, 8)
					want := fleet.RolloutCompleted
					if bad {
						fails(0.3, always)(s)
						want = fleet.RolloutReverted
					}
					s.beforeStep = func() {
						if s.now == at {
							s.control, s.commit = rollout.New(begin.Add(s.now), limits), nil
							s.leaderGoneUntil = at + 1500*time.Millisecond
						}
					}
					s.run()
					convey.So(s.rollout.State, convey.ShouldEqual, want)
					convey.So(s.decided, convey.ShouldBeLessThanOrEqualTo, s.duration+time.Second)
				}
			}
		})
	}
}

// reviews returns the changes of a Controller that gets reports of outcomes and reviews for some
// seconds of a roll-out.
func reviews(r rollout.Reviewed, seconds int, outcomes ...fleet.VersionOutcomes) []rollout.Changed {
	c := rollout.New(begin, limits)
	var out []rollout.Changed
	left := r.Left
	for now := begin; now.Before(begin.Add(time.Duration(seconds) * time.Second)); now = now.Add(reviewTime) {
		c.Reduce(now, rollout.Reported{Host: "router-1", Outcomes: outcomes})
		r.Left = left - now.Sub(begin)
		for _, e := range c.Reduce(now, r) {
			ch := e.(rollout.Changed)
			out = append(out, ch)
			r.Rollout.State, r.Rollout.Share = ch.State, ch.Share
			r.Rollout.Revision++
			for i := range outcomes {
				outcomes[i].Revision = r.Rollout.Revision
			}
		}
	}
	return out
}

func TestEnds(t *testing.T) {
	active := fleet.Rollout{Service: "drafter", To: "v2", Number: 1, Revision: 1, State: fleet.RolloutActive, Duration: 12 * time.Second}
	old := fleet.VersionOutcomes{Answers: 20, Route: "r"}
	last := func(r rollout.Reviewed, outcomes ...fleet.VersionOutcomes) rollout.Changed {
		r.Rollout, r.Left = active, active.Duration
		all := reviews(r, 13, outcomes...)
		if len(all) == 0 {
			return rollout.Changed{}
		}
		return all[len(all)-1]
	}
	convey.Convey("A version without targets gets no requests and is reverted in time", t, func() {
		ch := last(rollout.Reviewed{OldTargets: 3}, old)
		convey.So(ch.State, convey.ShouldEqual, fleet.RolloutReverted)
		convey.So(ch.Reason, convey.ShouldEqual, rollout.ReasonNoTargets)
	})
	convey.Convey("A leader that has just started at the end of the time waits for the targets to announce themselves", t, func() {
		late := rollout.Reviewed{Rollout: active, Left: time.Second, OldTargets: 3}
		convey.So(reviews(late, 3, old), convey.ShouldBeEmpty)
		convey.So(reviews(late, 5, old)[0].Reason, convey.ShouldEqual, rollout.ReasonNoTargets)
	})
	convey.Convey("A roll-out of a service that is no longer configured is reverted", t, func() {
		ch := last(rollout.Reviewed{OldTargets: 3, NewTargets: 3, Dropped: true}, old)
		convey.So(ch.Reason, convey.ShouldEqual, rollout.ReasonDropped)
	})
	convey.Convey("A bad version is not reverted while there are no old targets", t, func() {
		ch := last(rollout.Reviewed{NewTargets: 3}, fleet.VersionOutcomes{New: true, Answers: 20, Bad: 20, Route: "r"}, old)
		convey.So(ch.State, convey.ShouldEqual, fleet.RolloutCompleted)
	})
	convey.Convey("A version without requests is completed, and the figures say that they are few", t, func() {
		ch := last(rollout.Reviewed{OldTargets: 3, NewTargets: 3})
		convey.So(ch.State, convey.ShouldEqual, fleet.RolloutCompleted)
		convey.So(ch.Basis.Few, convey.ShouldBeTrue)
	})
	convey.Convey("A version that gets requests and never answers is reverted", t, func() {
		ch := last(rollout.Reviewed{OldTargets: 3, NewTargets: 3}, old, fleet.VersionOutcomes{Running: 4}, fleet.VersionOutcomes{New: true, Running: 20})
		convey.So(ch.Reason, convey.ShouldEqual, rollout.ReasonSilent)
	})
	convey.Convey("A roll-out is completed at the end of the time while old targets still run requests", t, func() {
		ch := last(rollout.Reviewed{OldTargets: 3, NewTargets: 3}, old, fleet.VersionOutcomes{Running: 4})
		convey.So(ch.Reason, convey.ShouldEqual, rollout.ReasonTimeUp)
		convey.So(ch.Basis.Running, convey.ShouldEqual, 4)
	})
	convey.Convey("A version without others gets all requests at once", t, func() {
		all := reviews(rollout.Reviewed{Rollout: active, Left: active.Duration, NewTargets: 3, Alone: true}, 5)
		convey.So(all[0].Share, convey.ShouldEqual, 1)
		convey.So(all[len(all)-1].State, convey.ShouldEqual, fleet.RolloutCompleted)
	})
	convey.Convey("A router that does not know the last step yet is waited for", t, func() {
		c := rollout.New(begin, limits)
		full := active
		full.Share, full.Revision = 1, 7
		outcomes := []fleet.VersionOutcomes{{Revision: 6, New: true, Running: 1}}
		review := func(second time.Duration) []fleet.Effect {
			now := begin.Add(second * time.Second)
			c.Reduce(now, rollout.Reported{Host: "router-1", Outcomes: outcomes})
			return c.Reduce(now, rollout.Reviewed{Rollout: full, Left: 6 * time.Second, NewTargets: 3, OldTargets: 3})
		}
		review(0)
		convey.So(review(2), convey.ShouldBeEmpty)
		outcomes[0].Revision = 7
		convey.So(review(3), convey.ShouldHaveLength, 1)
	})
	convey.Convey("A roll-out that has ended does not change", t, func() {
		ended := active
		ended.State = fleet.RolloutReverted
		convey.So(reviews(rollout.Reviewed{Rollout: ended, OldTargets: 3, NewTargets: 3}, 13, old), convey.ShouldBeEmpty)
	})
}
