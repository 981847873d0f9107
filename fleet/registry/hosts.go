package registry

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// hostsSettle is how long a new leader lets processes keep the list of hosts that they
// have, until it has heard of all hosts itself.
const hostsSettle = 3 * time.Second

// hostsInterval is the least time between two versions of the list of hosts, so that
// many processes that start at once do not make every process fetch it as many times.
const hostsInterval = 3 * time.Second

// hostTable holds the processes that a leader heard of.
type hostTable struct {
	seen    map[fleet.HostID]*seenHost
	version fleet.Sequence
	// published is the version that processes are told of, since a moment.
	published fleet.Sequence
	at        time.Time
}

type seenHost struct {
	fleet.HostState
	incarnation fleet.Incarnation
	at          time.Time
	listed      bool
}

// hostVersionBits is how many changes of the list a term has room for.
const hostVersionBits = 32

func newHostTable(term fleet.Term) hostTable {
	first := fleet.Sequence(term)<<hostVersionBits + 1
	return hostTable{seen: map[fleet.HostID]*seenHost{}, version: first, published: first}
}

// heard takes in a heartbeat; one of an earlier incarnation is left out.
func (h *hostTable) heard(now time.Time, r *fleet.StateRequest) {
	if r.Role == fleet.RoleOperator {
		return
	}
	old := h.seen[r.Host]
	if old != nil && r.Incarnation < old.incarnation {
		return
	}
	next := &seenHost{incarnation: r.Incarnation, at: now, listed: true, HostState: fleet.HostState{
		Host: r.Host, Role: r.Role, Address: r.Address, DataCentre: r.DataCentre,
		Version: r.Version, Stopping: r.Stopping,
	}}
	if old == nil || !old.listed || !old.sameAs(next) {
		h.version++
	}
	h.seen[r.Host] = next
}

// heardCall takes in a call of a router, which tells that it is alive.
func (h *hostTable) heardCall(now time.Time, by fleet.AttemptID) {
	old := h.seen[by.Router]
	switch {
	case old == nil:
		h.seen[by.Router] = &seenHost{incarnation: by.Incarnation, at: now, HostState: fleet.HostState{Host: by.Router}}
	case old.incarnation == by.Incarnation:
		old.at = now
	}
}

func (s *seenHost) sameAs(o *seenHost) bool {
	a, b := s.HostState, o.HostState
	a.Version, b.Version = 0, 0
	return a == b && s.incarnation == o.incarnation
}

// forget leaves silent processes out of the list.
func (h *hostTable) forget(now time.Time) {
	for id, s := range h.seen {
		silent := now.Sub(s.at)
		if s.listed && silent > HostForgottenAfter {
			s.listed = false
			h.version++
		}
		if silent > RouterAbandonedAfter {
			delete(h.seen, id)
		}
	}
}

// list returns the processes in order of their names, or none when the asker has them.
func (h *hostTable) list(now, since time.Time, seen fleet.Sequence) (fleet.Sequence, []fleet.HostState) {
	if h.published != h.version && now.Sub(h.at) >= hostsInterval {
		h.published, h.at = h.version, now
	}
	if seen == h.published || seen != 0 && now.Sub(since) < hostsSettle {
		return seen, nil
	}
	hosts := make([]fleet.HostState, 0, len(h.seen))
	for _, s := range h.seen {
		if s.listed {
			state := s.HostState
			state.Age = now.Sub(s.at)
			hosts = append(hosts, state)
		}
	}
	slices.SortFunc(hosts, func(a, b fleet.HostState) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return h.published, hosts
}
