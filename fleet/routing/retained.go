package routing

import (
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxTargetLimits bounds the number of targets whose limits a router keeps.
const maxTargetLimits = 16384

// retainedState is dispatcher state that the router keeps and reports to the next lease holder.
type retainedState struct {
	// served is the virtual service counter of each customer of a service.
	served map[servedKey]fleet.Cost
	// quarantined holds the end of each content's quarantine.
	quarantined map[fleet.ContentHash]time.Time
	suspects    map[fleet.ContentHash]retainedSuspect
	// limits holds the newest concurrency limit of each target.
	limits map[fleet.TargetID]fleet.TargetLimit
}

type servedKey struct {
	customer fleet.CustomerName
	service  fleet.ServiceName
}

type retainedSuspect struct {
	fleet.Suspect
	until time.Time
}

func newRetainedState() retainedState {
	return retainedState{
		served:      map[servedKey]fleet.Cost{},
		quarantined: map[fleet.ContentHash]time.Time{},
		suspects:    map[fleet.ContentHash]retainedSuspect{},
		limits:      map[fleet.TargetID]fleet.TargetLimit{},
	}
}

// update takes over the state that a message of the dispatcher contains.
func (k *retainedState) update(now time.Time, m *fleet.DispatcherGrants) {
	for _, s := range m.Served {
		k.served[servedKey{customer: s.Customer, service: s.Service}] = s.Counter
	}
	for _, q := range m.Quarantined {
		k.quarantined[q.Content] = now.Add(q.For)
	}
	for _, s := range m.Suspects {
		if s.For <= 0 {
			delete(k.suspects, s.Content)
			continue
		}
		k.suspects[s.Content] = retainedSuspect{Suspect: s, until: now.Add(s.For)}
	}
	for _, l := range m.Limits {
		old, known := k.limits[l.Target]
		if l.Revision > old.Revision && (known || len(k.limits) < maxTargetLimits) {
			k.limits[l.Target] = l
		}
	}
}

// removeExpired removes quarantines and suspects that have expired.
func (k *retainedState) removeExpired(now time.Time) {
	for c, until := range k.quarantined {
		if !now.Before(until) {
			delete(k.quarantined, c)
		}
	}
	for c, s := range k.suspects {
		if !now.Before(s.until) {
			delete(k.suspects, c)
		}
	}
}

// quarantinedFor returns how long a content is still quarantined; 0 if it is not.
func (k *retainedState) quarantinedFor(now time.Time, content fleet.ContentHash) time.Duration {
	return max(0, k.quarantined[content].Sub(now))
}

// suspected reports whether a content is suspected of crashing targets, or quarantined.
func (k *retainedState) suspected(now time.Time, content fleet.ContentHash) bool {
	return now.Before(k.suspects[content].until) || k.quarantinedFor(now, content) > 0
}

// report adds the retained state to a full report.
func (k *retainedState) report(now time.Time, rep *fleet.RouterReport) {
	for key, c := range k.served {
		rep.Served = append(rep.Served, fleet.ServedTotal{Customer: key.customer, Service: key.service, Counter: c})
	}
	sort.Slice(rep.Served, func(i, j int) bool {
		a, b := rep.Served[i], rep.Served[j]
		return a.Service < b.Service || a.Service == b.Service && a.Customer < b.Customer
	})
	for c, until := range k.quarantined {
		rep.Quarantined = append(rep.Quarantined, fleet.Quarantine{Content: c, For: until.Sub(now)})
	}
	sort.Slice(rep.Quarantined, func(i, j int) bool { return rep.Quarantined[i].Content < rep.Quarantined[j].Content })
	for _, s := range k.suspects {
		s.For = s.until.Sub(now)
		rep.Suspects = append(rep.Suspects, s.Suspect)
	}
	sort.Slice(rep.Suspects, func(i, j int) bool { return rep.Suspects[i].Content < rep.Suspects[j].Content })
	for _, l := range k.limits {
		rep.Limits = append(rep.Limits, l)
	}
	sort.Slice(rep.Limits, func(i, j int) bool { return rep.Limits[i].Target < rep.Limits[j].Target })
}
