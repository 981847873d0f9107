package core

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fairshare"
)

const (
	// minDigestInterval is the minimum time between two digests to a router.
	minDigestInterval = 100 * time.Millisecond
	// digestIntervalPerRouter is added up over the connected routers to get the interval, if
	// that is longer. It bounds the leader's CPU use: sending a digest takes about 0.1 ms.
	digestIntervalPerRouter = 5 * time.Millisecond
	// reportMaxAge is the age after which a router's report is dropped from the digests.
	reportMaxAge = time.Second
	// suspectRetention is how long a request is kept as a suspect after its last crash of a
	// target.
	suspectRetention = 60 * time.Second
	// maxSuspects is the maximum number of suspect requests.
	maxSuspects = 4096
)

// governorConfig keeps the mean queueing delay at the engines at about a seventh of the
// time to first byte that callers expect, 600 to 1000 ms, because some targets have queues
// much longer than the mean. With these gains a queue settles within a second; see
// TestGovernorFindsCapacity.
var governorConfig = fairshare.GovernorConfig{
	TargetDelay: 120 * time.Millisecond, ActivationDelay: 200 * time.Millisecond,
	Gain: 0.5, MaxDecrease: 0.5, MaxIncrease: 0.3, Smoothing: time.Second,
}

// demandWindowParts divides Config.DemandWindow into the periods over which demand is
// measured. A customer whose demand rises tenfold gets more than its share until the rise is
// fully measured, which takes one period.
const demandWindowParts = 3

// allCustomers is the key under which totalDemand counts the demand of all customers.
const allCustomers fleet.CustomerName = ""

// loadCollector aggregates the load reports of the routers, which send them to the leader
// only.
type loadCollector struct {
	mu      sync.Mutex
	reports map[fleet.HostID]report
	// demand is the work that each customer requests, the basis of the shares.
	demand *fairshare.Window
	// totalDemand is the work that all customers request, the input of the governor.
	totalDemand *fairshare.Window
	// sentWork is the part of each customer's work that was sent to engines.
	sentWork *fairshare.Window
	governor *fairshare.Governor
	// admittedTokens is the work sent to engines since the last digest, in tokens.
	admittedTokens float64
	// nominalRate is the Capacity of the newest report that has one, in tokens a second.
	nominalRate float64
	suspects    map[fleet.ContentHash]*suspect
}

// report is the newest load report of a router.
type report struct {
	fleet.RouterLoad
	receivedAt time.Time
}

// suspect counts the target crashes attributed to one request.
type suspect struct {
	crashes   int
	lastCrash time.Time
}

func newLoadCollector(window time.Duration) *loadCollector {
	return &loadCollector{
		reports: map[fleet.HostID]report{}, demand: fairshare.NewWindow(window), totalDemand: fairshare.NewWindow(window), sentWork: fairshare.NewWindow(window),
		governor: fairshare.NewGovernor(governorConfig),
		suspects: map[fleet.ContentHash]*suspect{},
	}
}

// addReport adds the report of a router. It ignores heartbeats (Sequence 0) and reports
// that arrive out of order.
func (l *loadCollector) addReport(now time.Time, r fleet.RouterLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sequence == 0 {
		return
	}
	if r.Capacity > 0 {
		l.nominalRate = r.Capacity
	}
	if old, ok := l.reports[r.Host]; ok && r.Sequence <= old.Sequence && now.Sub(old.receivedAt) < reportMaxAge {
		return
	}
	l.reports[r.Host] = report{RouterLoad: r, receivedAt: now}
	l.admittedTokens += float64(r.Admitted)
	l.totalDemand.Add(now, allCustomers, float64(r.Asked))
	for _, d := range r.Demand {
		l.demand.Add(now, d.Customer, float64(d.Tokens))
		l.sentWork.Add(now, d.Customer, float64(d.Sent))
	}
	for _, c := range r.Suspects {
		l.addCrashes(now, c)
	}
}

// addCrashes adds the crashes of targets that a router attributes to a request.
func (l *loadCollector) addCrashes(now time.Time, c fleet.SuspectCount) {
	s := l.suspects[c.Content]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		l.suspects[c.Content] = s
	}
	s.crashes += c.Crashes
	s.lastCrash = now
}

// digestBuilder returns a function that builds the digest for one router: the loads that
// all other routers reported, the shares of the customers and the suspects.
func (l *loadCollector) digestBuilder(now time.Time) func(fleet.HostID) *fleet.LoadDigest {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[fleet.TargetID]fleet.TargetLoad{}
	byRouter := map[fleet.HostID]map[fleet.TargetID]fleet.TargetLoad{}
	for host, r := range l.reports {
		if now.Sub(r.receivedAt) > reportMaxAge {
			delete(l.reports, host)
			continue
		}
		byRouter[host] = map[fleet.TargetID]fleet.TargetLoad{}
		for _, t := range r.Targets {
			byRouter[host][t.Target] = t
			previous := total[t.Target]
			total[t.Target] = fleet.TargetLoad{Target: t.Target, Waiting: previous.Waiting + t.Waiting, Running: previous.Running + t.Running}
		}
	}
	shares := l.shares(now, total)
	suspects := l.repeatedSuspects(now)
	slowness := l.medianSlowness()
	return func(host fleet.HostID) *fleet.LoadDigest {
		d := &fleet.LoadDigest{Shares: shares, Suspects: suspects, Slowness: slowness}
		for id, sum := range total {
			ownLoad := byRouter[host][id]
			if sum.Waiting > ownLoad.Waiting || sum.Running > ownLoad.Running {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: id, Waiting: sum.Waiting - ownLoad.Waiting, Running: sum.Running - ownLoad.Running})
			}
		}
		return d
	}
}

// shares returns the customers whose demand exceeds their fair share, with the fraction
// to admit. It returns nil while all demand is within the capacity. Each call resets
// admittedTokens.
func (l *loadCollector) shares(now time.Time, targets map[fleet.TargetID]fleet.TargetLoad) []fleet.CustomerShare {
	if l.nominalRate == 0 {
		return nil
	}
	load := fairshare.Load{Demand: l.totalDemand.Rates(now)[allCustomers], Admitted: l.admittedTokens, NominalRate: l.nominalRate}
	l.admittedTokens = 0
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
	return fairshare.Balanced(rates, l.sentWork.Rates(now), total*admitted/load.Demand)
}

// medianSlowness returns the median of the routers' measurements for each service, ordered by
// service.
func (l *loadCollector) medianSlowness() []fleet.ServiceSlowness {
	measured := map[fleet.ServiceName][]float64{}
	for _, r := range l.reports {
		for _, s := range r.Slowness {
			measured[s.Service] = append(measured[s.Service], s.Slowness)
		}
	}
	var out []fleet.ServiceSlowness
	for service, values := range measured {
		slices.Sort(values)
		out = append(out, fleet.ServiceSlowness{Service: service, Slowness: values[(len(values)-1)/2]})
	}
	slices.SortFunc(out, func(a, b fleet.ServiceSlowness) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// repeatedSuspects returns the requests that crashed targets more than once, ordered by
// content hash.
func (l *loadCollector) repeatedSuspects(now time.Time) []fleet.SuspectCount {
	var out []fleet.SuspectCount
	for content, s := range l.suspects {
		if now.Sub(s.lastCrash) > suspectRetention {
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

// sendDigests periodically sends each router the loads of the others while this host is
// the leader.
func (c *Core) sendDigests() {
	for {
		routers, _ := c.hub.routerCounts()
		interval := max(minDigestInterval, time.Duration(routers)*digestIntervalPerRouter)
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
			c.hub.queueDigests(c.loads.digestBuilder(c.cfg.Clock.Now()))
		}
	}
}
