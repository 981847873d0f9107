package core

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fairshare"
)

const (
	// minDigestInterval is the shortest time between two digests.
	minDigestInterval = 100 * time.Millisecond
	// digestPerRouter is added to the interval for each router, so that the cost of the
	// leader stays bounded: a digest takes about 0.1 ms of processor time to send.
	digestPerRouter = 5 * time.Millisecond
	// reportValidity is the age after which the load of a router is left out.
	reportValidity = time.Second
	// suspectValidity is how long crashes of targets are held against a request.
	suspectValidity = 60 * time.Second
	// maxSuspects bounds the requests that are remembered for crashes.
	maxSuspects = 4096
)

// governing keeps the mean delay at the engines at about a seventh of the time to the
// first byte that callers hope for, which is 600 to 1000 ms: single targets wait much
// longer than the mean. The gains settle a queue in a second (TestGovernorFindsCapacity).
var governing = fairshare.GovernorConfig{
	TargetDelay: 120 * time.Millisecond, ActivationDelay: 200 * time.Millisecond,
	Gain: 0.5, MaxDecrease: 0.5, MaxIncrease: 0.3, Smoothing: time.Second,
}

// demandParts is how many spans of demand make the window over which shares are to be
// kept. A customer whose demand rises tenfold counts in full after one span, and takes
// more than its share until then.
const demandParts = 3

// allCustomers is the name under which the work of all customers is summed.
const allCustomers fleet.CustomerName = ""

// loads collects the reports of routers at the leader.
type loads struct {
	mu      sync.Mutex
	reports map[fleet.HostID]report
	// demand is what each customer asks for, by which shares are divided; asked is the
	// work of all of them, by which it is found how much fits.
	demand *fairshare.Window
	asked  *fairshare.Window
	// sent is what of each customer's work went to engines.
	sent     *fairshare.Window
	governor *fairshare.Governor
	// admitted is what was sent to engines since the last digest, in tokens.
	admitted float64
	// capacity is that of the newest report that tells it, in tokens a second.
	capacity float64
	suspects map[fleet.ContentHash]*suspect
}

type report struct {
	fleet.RouterLoad
	at time.Time
}

type suspect struct {
	crashes int
	at      time.Time
}

func newLoads(window time.Duration) *loads {
	return &loads{
		reports: map[fleet.HostID]report{}, demand: fairshare.NewWindow(window), asked: fairshare.NewWindow(window), sent: fairshare.NewWindow(window),
		governor: fairshare.NewGovernor(governing),
		suspects: map[fleet.ContentHash]*suspect{},
	}
}

// take takes the report of a router.
func (l *loads) take(now time.Time, r fleet.RouterLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sequence == 0 {
		return
	}
	if r.Capacity > 0 {
		l.capacity = r.Capacity
	}
	if old, ok := l.reports[r.Host]; ok && r.Sequence <= old.Sequence && now.Sub(old.at) < reportValidity {
		return
	}
	l.reports[r.Host] = report{RouterLoad: r, at: now}
	l.admitted += float64(r.Admitted)
	l.asked.Add(now, allCustomers, float64(r.Asked))
	for _, d := range r.Demand {
		l.demand.Add(now, d.Customer, float64(d.Tokens))
		l.sent.Add(now, d.Customer, float64(d.Sent))
	}
	for _, c := range r.Suspects {
		l.suspect(now, c)
	}
}

func (l *loads) suspect(now time.Time, c fleet.SuspectCount) {
	s := l.suspects[c.Content]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		l.suspects[c.Content] = s
	}
	s.crashes += c.Crashes
	s.at = now
}

// digests returns a function that makes the digest for each router.
func (l *loads) digests(now time.Time) func(fleet.HostID) *fleet.LoadDigest {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[fleet.TargetID]fleet.TargetLoad{}
	own := map[fleet.HostID]map[fleet.TargetID]fleet.TargetLoad{}
	for host, r := range l.reports {
		if now.Sub(r.at) > reportValidity {
			delete(l.reports, host)
			continue
		}
		own[host] = map[fleet.TargetID]fleet.TargetLoad{}
		for _, t := range r.Targets {
			own[host][t.Target] = t
			sum := total[t.Target]
			total[t.Target] = fleet.TargetLoad{Target: t.Target, Waiting: sum.Waiting + t.Waiting, Running: sum.Running + t.Running}
		}
	}
	shares := l.shares(now, total)
	suspects := l.crashed(now)
	return func(host fleet.HostID) *fleet.LoadDigest {
		d := &fleet.LoadDigest{Shares: shares, Suspects: suspects}
		for id, sum := range total {
			mine := own[host][id]
			if sum.Waiting > mine.Waiting || sum.Running > mine.Running {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: id, Waiting: sum.Waiting - mine.Waiting, Running: sum.Running - mine.Running})
			}
		}
		return d
	}
}

// shares returns the customers that ask for more than fits, with the part that does.
func (l *loads) shares(now time.Time, targets map[fleet.TargetID]fleet.TargetLoad) []fleet.CustomerShare {
	if l.capacity == 0 {
		return nil
	}
	load := fairshare.Load{Demand: l.asked.Rates(now)[allCustomers], Admitted: l.admitted, NominalRate: l.capacity}
	l.admitted = 0
	for _, t := range targets {
		load.Waiting += float64(t.Waiting)
	}
	admitted := l.governor.Update(now, load)
	if admitted == 0 || load.Demand == 0 {
		return nil
	}
	rates := l.demand.Rates(now)
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	return fairshare.Balanced(rates, l.sent.Rates(now), total*admitted/load.Demand)
}

// crashed returns the requests that took down more than one target.
func (l *loads) crashed(now time.Time) []fleet.SuspectCount {
	var out []fleet.SuspectCount
	for content, s := range l.suspects {
		if now.Sub(s.at) > suspectValidity {
			delete(l.suspects, content)
			continue
		}
		if s.crashes > 1 {
			out = append(out, fleet.SuspectCount{Content: content, Crashes: s.crashes})
		}
	}
	slices.SortFunc(out, func(a, b fleet.SuspectCount) int {
		if a.Content < b.Content {
			return -1
		}
		return 1
	})
	return out
}

// sendDigests tells the routers of each other's loads while this host leads.
func (c *Core) sendDigests() {
	for {
		now, _ := c.hub.reached()
		interval := max(minDigestInterval, time.Duration(now)*digestPerRouter)
		timer := time.NewTimer(interval)
		select {
		case <-c.stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		c.mu.Lock()
		leads := c.leader == c.host
		c.mu.Unlock()
		if leads {
			c.hub.digestDue(c.loads.digests(c.cfg.Clock.Now()))
		}
	}
}
