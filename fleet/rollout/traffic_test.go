package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rollout"
)

const (
	tick           = 10 * time.Millisecond
	reviewTime     = 100 * time.Millisecond
	commitTime     = 40 * time.Millisecond
	maxNoticeTime  = 150 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	rollbackTime   = 5 * time.Second
	// routes is the number of routes of the service, which are equally frequent.
	routes = 3
)

var limits = rollout.Limits{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: rollbackTime}

var begin = time.Unix(1_700_000_000, 0)

// request is a request at a target.
type request struct {
	router, route int
	fresh         bool
	// expected is the time to the first byte by which slowness is measured.
	expected time.Duration
	bad      bool
	slowness float64
}

// site is a service with its routers and the leader that decides on a roll-out of it.
type site struct {
	rng *rand.Rand
	// rate is the number of requests a second.
	rate     float64
	duration time.Duration
	routers  []simRouter
	// faults changes the outcome of a request of either version. at is the time since the order.
	faults func(s *site, at time.Duration, r *request)
	// crashes has the times at which the targets of a version that run a part of its requests crash.
	crashes []crash
	// beforeStep, if set, is called in each step.
	beforeStep func()

	now     time.Duration
	rollout fleet.Rollout
	control *rollout.Controller
	// commit is a decision on its way to the log.
	commit   *rollout.Changed
	commitAt time.Duration
	ends     [][]request
	outcomes []fleet.VersionOutcomes
	// sent, exposed and bad count all requests, those to the new version and their bad answers.
	sent, exposed, bad int
	// fiftieth is the time of the 50th bad answer, lastExposed of the last request, decided of the end.
	fiftieth, lastExposed, decided time.Duration
	reason                         rollout.Reason
	leaderGoneUntil                time.Duration
}

type crash struct {
	at    time.Duration
	fresh bool
	part  float64
}

type simRouter struct {
	host  fleet.HostID
	share float64
	// next is the roll-out that the router will know at nextAt.
	next     fleet.Rollout
	nextAt   time.Duration
	revision uint64
	running  [2]int
	cells    [routes][2]fleet.VersionOutcomes
	cut      bool
	noticeAt time.Duration
}

func newSite(seed uint64, rate float64, routers int) *site {
	s := &site{
		rng: rand.New(rand.NewPCG(seed, 7)), rate: rate, duration: 12 * time.Second,
		ends: make([][]request, 1600),
	}
	s.rollout = fleet.Rollout{Service: "drafter", To: "v2", Number: 1, Revision: 1, State: fleet.RolloutActive, Duration: s.duration}
	for range routers {
		s.routers = append(s.routers, simRouter{host: fleet.HostID(fmt.Sprint("router-", len(s.routers)))})
	}
	s.control = rollout.New(begin, limits)
	return s
}

// run plays the roll-out until its end, or until twice its time has passed.
func (s *site) run() *site {
	for s.now = 0; s.now < 2*s.duration && s.rollout.State == fleet.RolloutActive; s.now += tick {
		s.step()
	}
	return s
}

func (s *site) step() {
	if s.beforeStep != nil {
		s.beforeStep()
	}
	for i := range s.routers {
		s.routers[i].learn(s.now)
	}
	s.crash()
	i := int(s.now/tick) % len(s.ends)
	for k := range s.ends[i] {
		s.end(&s.ends[i][k])
	}
	s.ends[i] = s.ends[i][:0]
	if s.now < s.duration {
		for range poisson(s.rng, s.rate*tick.Seconds()) {
			s.send()
		}
	}
	s.lead()
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}

func (s *site) send() {
	r := request{router: s.rng.IntN(len(s.routers)), route: s.rng.IntN(routes), slowness: math.Exp(s.rng.NormFloat64() * 0.5)}
	q := &s.routers[r.router]
	r.fresh = s.rng.Float64() < q.share
	r.expected = time.Duration(50+50*r.route) * time.Millisecond
	if s.faults != nil {
		s.faults(s, s.now, &r)
	}
	s.sent++
	if r.fresh {
		s.exposed++
		s.lastExposed = s.now
	}
	q.running[side(r.fresh)]++
	took := time.Duration(float64(r.expected)*r.slowness) + time.Duration(s.rng.Float64()*float64(r.expected)*4)
	end := int((s.now + min(took, 15*time.Second)) / tick)
	if end <= int(s.now/tick) {
		end++
	}
	s.ends[end%len(s.ends)] = append(s.ends[end%len(s.ends)], r)
}

func side(fresh bool) int {
	if fresh {
		return 1
	}
	return 0
}

func (s *site) end(r *request) {
	q := &s.routers[r.router]
	q.running[side(r.fresh)]--
	o := &q.cells[r.route][side(r.fresh)]
	o.Answers++
	if r.bad {
		o.Bad++
	} else {
		o.Slowness[min(max(0, int(math.Floor(math.Log2(r.slowness)))+1), fleet.SlownessBuckets-1)]++
	}
	if r.fresh && (r.bad || r.slowness > 2.5) {
		if s.bad++; s.bad == 50 {
			s.fiftieth = s.now
		}
	}
}

// crash ends a part of the running requests of a version.
func (s *site) crash() {
	for _, c := range s.crashes {
		if s.now/tick != c.at/tick {
			continue
		}
		for i, list := range s.ends {
			s.ends[i] = slices.DeleteFunc(list, func(r request) bool {
				if r.fresh != c.fresh || s.rng.Float64() >= c.part {
					return false
				}
				r.bad = true
				s.end(&r)
				return true
			})
		}
	}
}

// learn applies the router's rules: a cut-off router keeps its share for half of the rollback time.
func (q *simRouter) learn(now time.Duration) {
	if q.cut {
		if now-q.noticeAt > rollbackTime/2 {
			q.share = 0
		}
		return
	}
	if q.nextAt <= now && q.next.Revision > q.revision {
		q.share, q.revision = q.next.Share, q.next.Revision
	}
	q.noticeAt = now
}

// lead delivers reports, reviews the roll-out and commits decisions.
func (s *site) lead() {
	now := begin.Add(s.now)
	for i := range s.routers {
		q := &s.routers[i]
		if (s.now/tick+time.Duration(i))%(reportInterval/tick) == 0 && !q.cut && s.now >= s.leaderGoneUntil {
			s.control.Reduce(now, rollout.Reported{Host: q.host, Outcomes: s.take(q)})
		}
	}
	if s.commit != nil && s.now >= s.commitAt {
		s.apply()
	}
	if s.now%reviewTime != 0 || s.commit != nil || s.now < s.leaderGoneUntil {
		return
	}
	s.rollout.Left = s.duration - s.now
	for _, e := range s.control.Reduce(now, rollout.Reviewed{Rollout: s.rollout, Left: s.rollout.Left, NewTargets: 6, OldTargets: 6}) {
		ch := e.(rollout.Changed)
		s.commit, s.commitAt = &ch, s.now+commitTime
	}
}

// take returns a router's report, which is valid until the next call.
func (s *site) take(q *simRouter) []fleet.VersionOutcomes {
	out, r := s.outcomes[:0], &s.rollout
	for route := range q.cells {
		for i, o := range &q.cells[route] {
			if o.Answers > 0 {
				o.Service, o.Number, o.Revision, o.Route, o.New = r.Service, r.Number, q.revision, routeNames[route], i == 1
				out = append(out, o)
			}
		}
	}
	for i, n := range q.running {
		if n > 0 {
			out = append(out, fleet.VersionOutcomes{Service: r.Service, Number: r.Number, Revision: q.revision, New: i == 1, Running: n})
		}
	}
	q.cells = [routes][2]fleet.VersionOutcomes{}
	s.outcomes = out
	return out
}

var routeNames = [routes]string{"essay-mark", "feedback-draft", "proctor-flag"}

func (s *site) apply() {
	s.rollout.Revision++
	s.rollout.State, s.rollout.Share = s.commit.State, s.commit.Share
	if s.rollout.State != fleet.RolloutActive {
		s.decided, s.reason = s.now, s.commit.Reason
	}
	s.commit = nil
	for i := range s.routers {
		q := &s.routers[i]
		q.next, q.nextAt = s.rollout, s.now+time.Duration(s.rng.Int64N(int64(maxNoticeTime)))
	}
}
