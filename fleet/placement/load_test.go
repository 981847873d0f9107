package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// readRate is what an engine of the simulation reads, in tokens a second.
const readRate = 30_000

// engines simulates engines that read one prompt after another, and keep parts for good.
type engines struct {
	free map[fleet.TargetID]time.Time
	kept map[fleet.TargetID]map[placement.PartID]bool
	// reread is the number of tokens of shared parts read by another engine before.
	reread int
	seen   map[placement.PartID]bool
}

// run returns when the answer to a request begins.
func (e *engines) run(now time.Time, id fleet.TargetID, p placement.Prompt) time.Time {
	if e.kept[id] == nil {
		e.kept[id] = map[placement.PartID]bool{}
	}
	key, read := p.Parts[0], p.Parts[1].Tokens
	if !e.kept[id][key.ID] {
		e.kept[id][key.ID] = true
		read += key.Tokens
		if e.seen[key.ID] {
			e.reread += key.Tokens
		}
		e.seen[key.ID] = true
	}
	begin := e.free[id]
	if begin.Before(now) {
		begin = now
	}
	e.free[id] = begin.Add(time.Duration(float64(read) / readRate * float64(time.Second)))
	return e.free[id].Add(30 * time.Millisecond)
}

// event is something that happens at a moment of a simulation.
type event struct {
	at time.Time
	n  int
	do func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// load is a pattern of requests a second, and what came of it.
type load struct {
	targets int
	// rate is the requests a second, own their tokens, keys the shared parts.
	rate float64
	own  int
	keys int
	// shared is the length of a shared part in tokens.
	shared int
	// hot is the share of requests about the first part.
	hot float64
	// warmUp is left out of the counts: the engines keep nothing at first.
	warmUp time.Duration

	inTime, late, refused int
	reread                int
}

// play runs 20 s of a load over four routers, which hear of each other every 100 ms.
func (l *load) play(t *testing.T) {
	const routers = 4
	e := &engines{free: map[fleet.TargetID]time.Time{}, kept: map[fleet.TargetID]map[placement.PartID]bool{}, seen: map[placement.PartID]bool{}}
	rng := rand.New(rand.NewPCG(7, 7))
	var fixtures []*fixture
	for i := range routers {
		fixtures = append(fixtures, newFixture(t, hosts(routers)[i], routers, several(plans, l.targets)...))
	}
	var todo agenda
	n := 0
	at := func(when time.Time, do func()) {
		n++
		heap.Push(&todo, event{at: when, n: n, do: do})
	}
	end := start.Add(20 * time.Second)
	var exchange func(now time.Time)
	exchange = func(now time.Time) {
		loads := make([]map[fleet.TargetID]fleet.TargetLoad, routers)
		for i, f := range fixtures {
			f.now = now
			loads[i] = map[fleet.TargetID]fleet.TargetLoad{}
			r := f.do(placement.ReportDue{}).(placement.Report)
			for _, tl := range r.Targets {
				loads[i][tl.Target] = tl
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
			var d fleet.LoadDigest
			for _, tl := range sum {
				d.Targets = append(d.Targets, tl)
			}
			f.do(placement.DigestReceived{LoadDigest: d})
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
		key := placement.PartID(1 + rng.IntN(l.keys))
		if rng.Float64() < l.hot {
			key = 1
		}
		p := prompt(key, int(float64(l.own)*(0.25+1.5*rng.Float64())))
		p.Tokens += l.shared - p.Parts[0].Tokens
		p.Parts[0].Tokens = l.shared
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
				f.do(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
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
	l.reread = e.reread
}

func (l *load) total() int { return l.inTime + l.late + l.refused }

func (l *load) String() string {
	return fmt.Sprintf("%d in time, %d late, %d refused, %d tokens read again", l.inTime, l.late, l.refused, l.reread)
}

// Four tenths of what nine engines read, with as many shared parts of the mean length
// that the first deployment has.
func TestCalmLoad(t *testing.T) {
	convey.Convey("A calm load is served in time, nearly without reading shared parts again", t, func() {
		l := &load{targets: 9, rate: 0.4 * 9 * readRate / 3000, own: 3000, keys: 180, shared: 3500, warmUp: 4 * time.Second}
		l.play(t)
		// The stated aims of a calm day: 0.93 served, 0.76 of the worth.
		convey.So(float64(l.inTime+l.late)/float64(l.total()), convey.ShouldBeGreaterThan, 0.93)
		convey.So(float64(l.inTime)/float64(l.total()), convey.ShouldBeGreaterThan, 0.76)
		convey.So(float64(l.reread), convey.ShouldBeLessThan, 180*3500)
	})
}

// Twice what the engines read: queues would grow for all of the time that it lasts.
func TestBurstOverCapacity(t *testing.T) {
	convey.Convey("With twice the load that the engines bear, most of those admitted are in time", t, func() {
		l := &load{targets: 9, rate: 2 * 9 * readRate / 3000, own: 3000, keys: 180, shared: 3500}
		l.play(t)
		convey.So(float64(l.inTime)/float64(l.inTime+l.late), convey.ShouldBeGreaterThan, 0.7)
		// Half of the load is what the engines bear at the most.
		convey.So(float64(l.inTime)/float64(l.total()), convey.ShouldBeGreaterThan, 0.25)
	})
}

// A third of all requests is about one part, three times what one engine reads.
func TestHotPart(t *testing.T) {
	convey.Convey("A part that is asked for more than one engine bears gets more owners", t, func() {
		l := &load{targets: 9, rate: 0.4 * 9 * readRate / 3000, own: 3000, keys: 180, shared: 3500, hot: 0.33, warmUp: 4 * time.Second}
		l.play(t)
		convey.So(float64(l.inTime+l.late)/float64(l.total()), convey.ShouldBeGreaterThan, 0.9)
	})
}

// One customer asks for far more than its share.
func TestCustomerOverItsShare(t *testing.T) {
	convey.Convey("A customer over its share gets the part that the digest tells, others all", t, func() {
		f := newFixture(t, "router-0", 1, several(plans, 9)...)
		f.do(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "large", Admitted: 0.25}}}})
		sent := map[fleet.CustomerName]int{}
		for i := range 400 {
			f.now = f.now.Add(20 * time.Millisecond)
			if i%20 == 0 {
				f.do(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "large", Admitted: 0.25}}}})
			}
			c := f.call("/plan/1", prompt(placement.PartID(i%60), 500))
			c.Customer = []fleet.CustomerName{"large", "small"}[i%2]
			if s, ok := f.do(placement.CallArrived{Call: c}).(placement.Send); ok {
				sent[c.Customer]++
				f.do(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt})
				f.end(s, placement.Answered)
			}
		}
		convey.So(sent["small"], convey.ShouldEqual, 200)
		convey.So(sent["large"], convey.ShouldBeBetween, 40, 60)
	})
}
