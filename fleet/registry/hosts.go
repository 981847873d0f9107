package registry

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// hostsWarmUp is the time after an election in which a process that has a list of hosts
// keeps it, until the new leader has received heartbeats from all hosts.
const hostsWarmUp = 3 * time.Second

// minPublishInterval is the least time between two published versions of the list of hosts,
// so that many processes starting at once don't make every process fetch it as many times.
const minPublishInterval = 3 * time.Second

// hostTable holds the processes from which the leader received heartbeats.
type hostTable struct {
	hosts map[fleet.HostID]*hostEntry
	// version counts the changes of the list.
	version fleet.Sequence
	// publishedVersion is the version reported to processes, publishedAt when it was set.
	publishedVersion fleet.Sequence
	publishedAt      time.Time
}

// hostEntry is a process and its latest heartbeat.
type hostEntry struct {
	fleet.HostState
	incarnation fleet.Incarnation
	heardAt     time.Time
	// listed means that the process is part of the list sent to others.
	listed bool
}

// hostVersionBits is the number of low bits of a list version that count changes; the term
// is above them, so that versions never go back with a change of leader.
const hostVersionBits = 32

func newHostTable(term fleet.Term) hostTable {
	first := fleet.Sequence(term)<<hostVersionBits + 1
	return hostTable{hosts: map[fleet.HostID]*hostEntry{}, version: first, publishedVersion: first}
}

// recordHeartbeat records the heartbeat in r, unless it is of an operator's tool or of an
// earlier incarnation than the known one.
func (h *hostTable) recordHeartbeat(now time.Time, r *fleet.StateRequest) {
	if r.Role == fleet.RoleOperator {
		return
	}
	old := h.hosts[r.Host]
	if old != nil && r.Incarnation < old.incarnation {
		return
	}
	next := &hostEntry{incarnation: r.Incarnation, heardAt: now, listed: true, HostState: fleet.HostState{
		Host: r.Host, Role: r.Role, Address: r.Address, DataCentre: r.DataCentre,
		Version: r.Version, Stopping: r.Stopping,
	}}
	if old == nil || !old.listed || !old.sameAs(next) {
		h.version++
	}
	h.hosts[r.Host] = next
}

// recordCall records that a router is alive, without adding it to the list.
func (h *hostTable) recordCall(now time.Time, by fleet.AttemptID) {
	old := h.hosts[by.Router]
	switch {
	case old == nil:
		h.hosts[by.Router] = &hostEntry{incarnation: by.Incarnation, heardAt: now, HostState: fleet.HostState{Host: by.Router}}
	case old.incarnation == by.Incarnation:
		old.heardAt = now
	}
}

// sameAs reports whether the entries differ at most in their configuration version.
func (s *hostEntry) sameAs(o *hostEntry) bool {
	a, b := s.HostState, o.HostState
	a.Version, b.Version = 0, 0
	return a == b && s.incarnation == o.incarnation
}

// removeSilent takes processes off the list after HostForgottenAfter and deletes their entries
// after RouterAbandonedAfter.
func (h *hostTable) removeSilent(now time.Time) {
	for id, s := range h.hosts {
		silent := now.Sub(s.heardAt)
		if s.listed && silent > HostForgottenAfter {
			s.listed = false
			h.version++
		}
		if silent > RouterAbandonedAfter {
			delete(h.hosts, id)
		}
	}
}

// list returns the list's published version and the processes sorted by host. If the asker
// has that version (seen), or must keep its list during warm-up, it returns seen and nil.
func (h *hostTable) list(now, since time.Time, seen fleet.Sequence) (fleet.Sequence, []fleet.HostState) {
	if h.publishedVersion != h.version && now.Sub(h.publishedAt) >= minPublishInterval {
		h.publishedVersion, h.publishedAt = h.version, now
	}
	if seen == h.publishedVersion || seen != 0 && now.Sub(since) < hostsWarmUp {
		return seen, nil
	}
	hosts := make([]fleet.HostState, 0, len(h.hosts))
	for _, s := range h.hosts {
		if s.listed {
			state := s.HostState
			state.Age = now.Sub(s.heardAt)
			hosts = append(hosts, state)
		}
	}
	slices.SortFunc(hosts, func(a, b fleet.HostState) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return h.publishedVersion, hosts
}
