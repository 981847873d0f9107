package rollout

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// routers has the newest report of each router.
type routers map[fleet.HostID]routerReport

// routerReport is what a router's newest report says of the roll-out.
type routerReport struct {
	at time.Time
	// revision is the highest one of its outcomes; 0 if it had none.
	revision uint64
	running  [versions]int
}

func (r routers) report(now time.Time, ev *Reported) {
	n := routerReport{at: now}
	for i := range ev.Outcomes {
		o := &ev.Outcomes[i]
		n.revision = max(n.revision, o.Revision)
		if o.New {
			n.running[newVersion] += o.Running
		} else {
			n.running[oldVersion] += o.Running
		}
	}
	r[ev.Host] = n
}

// running returns the number of requests that run at the targets of a version.
func (r routers) running(version int) int {
	n := 0
	for _, x := range r {
		n += x.running[version]
	}
	return n
}

// prune removes the reports that are older than maxAge.
func (r routers) prune(now time.Time, maxAge time.Duration) {
	for host, x := range r {
		if now.Sub(x.at) > maxAge {
			delete(r, host)
		}
	}
}

// follow reports whether all routers follow a revision or have no requests.
func (r routers) follow(revision uint64) bool {
	for _, x := range r {
		if x.revision > 0 && x.revision < revision {
			return false
		}
	}
	return true
}

// rateMeter measures the rate of answers over rateTime.
type rateMeter struct {
	since   time.Time
	buckets [rateBuckets]int
	open    int
}

// rateBuckets is the number of parts of rateTime.
const rateBuckets = 20

func (m *rateMeter) add(now time.Time, n int) {
	m.advance(now)
	m.buckets[m.open%rateBuckets] += n
}

func (m *rateMeter) advance(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	until := int(now.Sub(m.since) / (rateTime / rateBuckets))
	m.open = max(m.open, until-rateBuckets)
	for m.open < until {
		m.open++
		m.buckets[m.open%rateBuckets] = 0
	}
}

// perSecond returns the number of answers a second.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	n := 0
	for _, b := range m.buckets {
		n += b
	}
	elapsed := min(max(now.Sub(m.since), rateTime/rateBuckets), rateTime)
	return float64(n) / elapsed.Seconds()
}
