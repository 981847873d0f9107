package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/partrate"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// prefillRate is the prefill rate of a simulated engine, in prompt tokens a second.
const prefillRate = 30_000

// engines simulates engines that process one prompt after another and never evict a part
// from their prefix caches.
type engines struct {
	// freeAt is when each engine has processed all its prompts.
	freeAt map[fleet.TargetID]time.Time
	cached map[fleet.TargetID]map[placement.PartID]bool
	// reprocessed is the number of tokens of shared parts that were processed although another
	// engine had them cached.
	reprocessed int
	// processed has the parts that some engine has cached.
	processed map[placement.PartID]bool
}

// run adds a request to an engine and returns when its answer begins.
func (e *engines) run(now time.Time, id fleet.TargetID, p placement.Prompt) time.Time {
	if e.cached[id] == nil {
		e.cached[id] = map[placement.PartID]bool{}
	}
	key, read := p.Parts[0], p.Parts[1].Tokens
	if !e.cached[id][key.ID] {
		e.cached[id][key.ID] = true
		read += key.Tokens
		if e.processed[key.ID] {
			e.reprocessed += key.Tokens
		}
		e.processed[key.ID] = true
	}
	begin := e.freeAt[id]
	if begin.Before(now) {
		begin = now
	}
	e.freeAt[id] = begin.Add(time.Duration(float64(read) / prefillRate * float64(time.Second)))
	return e.freeAt[id].Add(30 * time.Millisecond)
}

// event is a function to call at a time of the simulation.
type event struct {
	at time.Time
	// sequence is the order of events at the same time.
	sequence int
	do       func()
}

// eventQueue is the heap of the pending events.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// load is a simulated load and its results.
type load struct {
	targets int
	// rate is the number of requests a second.
	rate float64
	// ownTokens is the mean number of prompt tokens that a request does not share.
	ownTokens int
	// parts is the number of shared parts.
	parts int
	// partTokens is the length of a shared part in tokens.
	partTokens int
	// hotShare is the fraction of requests that use the first part in any case.
	hotShare float64
	// warmUp is the time at the start whose requests are not counted, since the engines'
	// caches are empty.
	warmUp time.Duration

	// inTime, late and refused count requests.
	inTime, late, refused int
	// reprocessed is as in engines.
	reprocessed int
}

// simulate runs 20 s of simulated load over four routers, which exchange reports every 100 ms.
func (l *load) simulate(t *testing.T) {
	const routers = 4
	e := &engines{freeAt: map[fleet.TargetID]time.Time{}, cached: map[fleet.TargetID]map[placement.PartID]bool{}, processed: map[placement.PartID]bool{}}
	rng := rand.New(rand.NewPCG(7, 7))
	var fixtures []*fixture
	for i := range routers {
		fixtures = append(fixtures, newFixture(t, hosts(routers)[i], routers, announcements(drafterService, l.targets)...))
	}
	var todo eventQueue
	n := 0
	at := func(when time.Time, do func()) {
		n++
		heap.Push(&todo, event{at: when, sequence: n, do: do})
	}
	end := start.Add(20 * time.Second)
	rates := partrate.New()
	var exchange func(now time.Time)
	exchange = func(now time.Time) {
		loads := make([]map[fleet.TargetID]fleet.TargetLoad, routers)
		for i, f := range fixtures {
			f.now = now
			loads[i] = map[fleet.TargetID]fleet.TargetLoad{}
			r := f.apply(placement.ReportDue{}).(placement.Report)
			for _, tl := range r.Targets {
				loads[i][tl.Target] = tl
			}
			for _, w := range r.Parts {
				rates.Add(now, w)
			}
		}
		for i, f := range fixtures {
			sum := map[fleet.TargetID]fleet.TargetLoad{}
			for j := range fixtures {
				for id, tl := range loads[j] {
					if j != i {
						s := sum[id]
						sum[id] = fleet.TargetLoad{Target: id, Waiting: s.Waiting + tl.Waiting, Running: s.Running + tl.Running}
					}
				}
			}
			d := fleet.LoadDigest{HotParts: rates.Hot(now, prefillRate/2)}
			for _, tl := range sum {
				d.Targets = append(d.Targets, tl)
			}
			f.apply(placement.DigestReceived{LoadDigest: d})
		}
		if now.Before(end) {
			at(now.Add(100*time.Millisecond), func() { exchange(now.Add(100 * time.Millisecond)) })
		}
	}
	at(start, func() { exchange(start) })
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		f := fixtures[rng.IntN(routers)]
		f.now = now
		key := placement.PartID(1 + rng.IntN(l.parts))
		if rng.Float64() < l.hotShare {
			key = 1
		}
		p := prompt(key, int(float64(l.ownTokens)*(0.25+1.5*rng.Float64())))
		p.Tokens += l.partTokens - p.Parts[0].Tokens
		p.Parts[0].Tokens = l.partTokens
		if s, ok := f.ask("/plan/1", p).(placement.Send); ok {
			begin := e.run(now, s.Target, p)
			switch {
			case now.Sub(start) < l.warmUp:
			case begin.Sub(now) <= 800*time.Millisecond:
				l.inTime++
			default:
				l.late++
			}
			at(begin, func() {
				f.now = begin
				f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
				f.end(s, placement.Answered)
			})
		} else if now.Sub(start) >= l.warmUp {
			l.refused++
		}
		next := now.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		if next.Before(end) {
			at(next, func() { arrive(next) })
		}
	}
	at(start, func() { arrive(start) })
	for len(todo) > 0 {
		heap.Pop(&todo).(event).do()
	}
	l.reprocessed = e.reprocessed
}

func (l *load) total() int { return l.inTime + l.late + l.refused }

func (l *load) String() string {
	return fmt.Sprintf("%d in time, %d late, %d refused, %d tokens processed again", l.inTime, l.late, l.refused, l.reprocessed)
}

// TestCalmLoad runs nine engines at 0.4 of their capacity, with the number and mean length
// of shared parts of the first deployment.
func TestCalmLoad(t *testing.T) {
	convey.Convey("A moderate load is served in time, and few shared parts are processed by several engines", t, func() {
		l := &load{targets: 9, rate: 0.4 * 9 * prefillRate / 3000, ownTokens: 3000, parts: 180, partTokens: 3500, warmUp: 4 * time.Second}
		l.simulate(t)
		// Goals for normal load: 0.93 of the requests served, 0.76 in time.
		convey.So(float64(l.inTime+l.late)/float64(l.total()), convey.ShouldBeGreaterThan, 0.93)
		convey.So(float64(l.inTime)/float64(l.total()), convey.ShouldBeGreaterThan, 0.76)
		convey.So(float64(l.reprocessed), convey.ShouldBeLessThan, 180*3500)
	})
}

// TestBurstOverCapacity runs the engines at twice their capacity. Without load shedding the
// queues would grow during the whole run.
func TestBurstOverCapacity(t *testing.T) {
	convey.Convey("At twice the capacity of the engines, most admitted requests are in time", t, func() {
		l := &load{targets: 9, rate: 2 * 9 * prefillRate / 3000, ownTokens: 3000, parts: 180, partTokens: 3500}
		l.simulate(t)
		convey.So(float64(l.inTime)/float64(l.inTime+l.late), convey.ShouldBeGreaterThan, 0.7)
		// The engines can serve at most half of the load.
		convey.So(float64(l.inTime)/float64(l.total()), convey.ShouldBeGreaterThan, 0.25)
	})
}

// TestHotPart has a third of all requests use one shared part: three times the load that one
// engine can serve.
func TestHotPart(t *testing.T) {
	convey.Convey("A shared part with more load than one engine can serve gets more owners", t, func() {
		l := &load{targets: 9, rate: 0.4 * 9 * prefillRate / 3000, ownTokens: 3000, parts: 180, partTokens: 3500, hotShare: 0.33, warmUp: 4 * time.Second}
		l.simulate(t)
		convey.So(float64(l.inTime+l.late)/float64(l.total()), convey.ShouldBeGreaterThan, 0.9)
	})
}

// TestCustomerOverItsShare has one customer exceed its fair share by far.
func TestCustomerOverItsShare(t *testing.T) {
	convey.Convey("A customer over its share is limited to the fraction in the digest; others are not limited", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 9)...)
		f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "large", Admitted: 0.25}}}})
		sent := map[fleet.CustomerName]int{}
		for i := range 400 {
			f.now = f.now.Add(20 * time.Millisecond)
			if i%20 == 0 {
				f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "large", Admitted: 0.25}}}})
			}
			c := f.call("/plan/1", prompt(placement.PartID(i%60), 500))
			c.Customer = []fleet.CustomerName{"large", "small"}[i%2]
			if s, ok := f.apply(placement.CallArrived{Call: c}).(placement.Send); ok {
				sent[c.Customer]++
				f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
				f.end(s, placement.Answered)
			}
		}
		convey.So(sent["small"], convey.ShouldEqual, 200)
		convey.So(sent["large"], convey.ShouldBeBetween, 40, 60)
	})
}
