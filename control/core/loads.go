package core

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fairshare"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/pace"
	"github.com/fuchsiashed/fuchsiashed/fleet/partrate"
	"github.com/fuchsiashed/fuchsiashed/fleet/quarantine"
	"github.com/fuchsiashed/fuchsiashed/fleet/ratelimit"
)

const (
	// minReportMaxAge is the minimum age after which a router's report is dropped from the
	// digests.
	minReportMaxAge = time.Second
	// hotTargetShare is the fraction of one target's capacity from which on a part is hot.
	hotTargetShare = 0.5
	// missedReports is the number of reports that a router may miss before its last one is
	// dropped.
	missedReports = 3
	// suspectRetention is how long a request is kept as a suspect after its last crash of a
	// target.
	suspectRetention = 60 * time.Second
	// adoptionTime is how long a new leader adopts quarantines from reports. All routers
	// report within it.
	adoptionTime = 3 * time.Second
	// maxSuspects is the maximum number of suspect requests.
	maxSuspects = 4096
)

// demandWindowParts divides Config.DemandWindow into the periods over which demand is
// measured. A customer whose demand rises tenfold gets more than its share until the rise is
// fully measured, which takes one period.
const demandWindowParts = 3

// allCustomers is the key under which totalDemand counts the demand of all customers.
const allCustomers fleet.CustomerName = ""

// loadCollector aggregates the load reports of the routers, which send them to the leader
// only.
type loadCollector struct {
	log *slog.Logger

	mu      sync.Mutex
	reports map[fleet.HostID]report
	// demand is the work that each customer requests, the basis of the shares.
	demand *fairshare.Window
	// totalDemand is the work that all customers request, the input of the governor.
	totalDemand *fairshare.Window
	// sentWork is the part of each customer's work that was sent to engines.
	sentWork *fairshare.Window
	governor *fairshare.Governor
	// partRates measures the work for each shared part of prompts.
	partRates *partrate.Rates
	// admittedTokens is the work sent to engines since the last digest, in tokens.
	admittedTokens float64
	// refusedTokens is the work that routers refused since the last digest because it would have
	// been late, in tokens.
	refusedTokens float64
	shareLog      shareLog
	// nominalRate is the Capacity of the newest report that has one, in tokens a second.
	nominalRate float64
	suspects    map[fleet.ContentHash]*suspect
	// parts tracks the parts of prompts that crash targets.
	parts  partTrackers
	limits *ratelimit.Collector
	// paces learns the pace of each target.
	paces *pace.Collector
	// collectingSince is the time of the first report since this host became the leader; zero
	// before.
	collectingSince time.Time
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

// count returns the number of crashes; s may be nil.
func (s *suspect) count() int {
	if s == nil {
		return 0
	}
	return s.crashes
}

func newLoadCollector(window time.Duration, log *slog.Logger) *loadCollector {
	return &loadCollector{
		log: log, shareLog: shareLog{log: log},
		reports: map[fleet.HostID]report{}, demand: fairshare.NewWindow(window), totalDemand: fairshare.NewWindow(window), sentWork: fairshare.NewWindow(window),
		governor: fairshare.NewGovernor(governorConfig), partRates: partrate.New(),
		suspects: map[fleet.ContentHash]*suspect{}, parts: newPartTrackers(), limits: ratelimit.NewCollector(), paces: pace.New(),
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
	if old, ok := l.reports[r.Host]; ok && r.Sequence <= old.Sequence && now.Sub(old.receivedAt) < minReportMaxAge {
		return
	}
	l.reports[r.Host] = report{RouterLoad: r, receivedAt: now}
	l.admittedTokens += float64(r.Admitted)
	l.refusedTokens += float64(r.RefusedLate)
	l.totalDemand.Add(now, allCustomers, float64(r.Asked))
	for _, d := range r.Demand {
		l.demand.Add(now, d.Customer, float64(d.Tokens))
		l.sentWork.Add(now, d.Customer, float64(d.Sent))
	}
	for _, w := range r.Parts {
		l.partRates.Add(now, w)
	}
	for _, c := range r.Suspects {
		l.addCrashes(now, c)
	}
	if l.collectingSince.IsZero() {
		l.collectingSince = now
	}
	l.addParts(now, &r)
	if l.isAdopting(now) {
		l.adoptSuspects(now, r.KnownSuspects)
	}
	l.limits.AddReport(now, &r)
	l.paces.AddReport(now, &r)
}

// addParts adds what a router reports of parts of prompts. A new leader adopts the quarantines
// that the former one began; later, a router may only not know yet that one has ended.
func (l *loadCollector) addParts(now time.Time, r *fleet.RouterLoad) {
	l.parts.add(now, r)
	if l.isAdopting(now) {
		l.parts.adopt(now, r.Quarantined)
	}
}

// isAdopting reports whether this host has become the leader so lately that it has no reports yet,
// or adopts what routers know.
func (l *loadCollector) isAdopting(now time.Time) bool {
	return l.collectingSince.IsZero() || now.Sub(l.collectingSince) < adoptionTime
}

// beginLeading is called when this host has become the leader.
func (l *loadCollector) beginLeading() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectingSince = time.Time{}
	l.paces = pace.New()
}

// adoptSuspects takes over the crashes that the former leader had counted.
func (l *loadCollector) adoptSuspects(now time.Time, known []fleet.SuspectCount) {
	for _, c := range known {
		if s := l.suspects[c.Content]; s == nil || s.crashes < c.Crashes {
			l.addCrashes(now, fleet.SuspectCount{Content: c.Content, Crashes: c.Crashes - s.count()})
		}
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

// digest is the sum of all reports, with the newest report of each router in it.
type digest struct {
	fleet.LoadDigest
	included map[fleet.HostID]fleet.Sequence
	// limitShares divides the limits of targets among the routers.
	limitShares map[fleet.HostID]fleet.Share
}

// reportMaxAge returns the age after which a report is dropped, for the interval of reports.
func reportMaxAge(interval time.Duration) time.Duration {
	return max(minReportMaxAge, missedReports*interval)
}

// makeDigest returns the loads that all routers reported within maxAge, the shares of the
// customers and the suspects. It drops older reports.
func (l *loadCollector) makeDigest(now time.Time, maxAge time.Duration) digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[fleet.TargetID]fleet.TargetLoad{}
	included := map[fleet.HostID]fleet.Sequence{}
	for host, r := range l.reports {
		if now.Sub(r.receivedAt) > maxAge {
			delete(l.reports, host)
			continue
		}
		included[host] = r.Sequence
		for _, t := range r.Targets {
			sum := total[t.Target]
			total[t.Target] = fleet.TargetLoad{Target: t.Target, Waiting: sum.Waiting + t.Waiting, Running: sum.Running + t.Running}
		}
	}
	parts := l.updateParts(now)
	limits := l.limits.Limits(now)
	paces, pacesKnown := l.paces.List(now)
	shares, spared := l.shares(now, total)
	return digest{included: included, limitShares: l.limits.Shares(now), LoadDigest: fleet.LoadDigest{
		Targets: slices.Collect(maps.Values(total)), Shares: shares, Light: spared, Suspects: l.repeatedSuspects(now), Slowness: l.medianSlowness(),
		HotParts:     l.partRates.Hot(now, hotTargetShare*l.nominalRate/float64(max(1, len(total)))),
		SuspectParts: parts.Parts, SuspectTargets: parts.Targets, Quarantined: parts.Quarantined,
		Limits: limits, Paces: paces, PacesKnown: pacesKnown, Partial: l.isAdopting(now),
	}}
}

// updateParts updates the quarantines of parts and logs their changes.
func (l *loadCollector) updateParts(now time.Time) quarantine.Suspects {
	s := l.parts.update(now)
	for _, id := range s.Begun {
		l.log.Warn(logevent.PartQuarantined, "part", uint64(id))
	}
	for _, id := range s.Ended {
		l.log.Info(logevent.PartReleased, "part", uint64(id))
	}
	return s
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

// sendDigests periodically sends each router the loads of all while this host is the leader.
func (c *Core) sendDigests() {
	wasLeader := false
	for {
		busy := c.hub.busyRouters()
		interval := fleet.ReportInterval(busy)
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
		if leads && !wasLeader {
			c.loads.beginLeading()
		}
		wasLeader = leads
		if leads {
			d := c.loads.makeDigest(c.cfg.Clock.Now(), reportMaxAge(interval))
			d.BusyRouters = busy
			d.Unready = c.unreadyRouters()
			c.hub.queueDigest(d)
		}
	}
}
