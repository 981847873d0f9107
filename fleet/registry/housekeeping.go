package registry

import (
	"math"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxExpiredPerEntry bounds the number of ledger records that one log entry drops.
const maxExpiredPerEntry = 1000

// runHousekeeping removes silent processes, closes the ledger calls of routers that are gone,
// drops ledger records past their retention and passes on the log time, once per housekeepingInterval.
func (s *Server) runHousekeeping() {
	t := &s.leader
	if !s.replica.Ready() || !s.replica.LeaseHeld(s.now) || s.now.Before(t.nextHousekeeping) {
		return
	}
	t.nextHousekeeping = s.now.Add(housekeepingInterval)
	t.hosts.removeSilent(s.now)
	s.abandonCalls()
	s.expireCalls()
	s.markTime()
}

// abandonCalls proposes to close the running calls of each router incarnation that is gone.
func (s *Server) abandonCalls() {
	for _, host := range sortedHosts(s.state.ledger.running) {
		dead, ok := s.lastDeadIncarnation(host)
		if !ok || s.leader.abandonPending[host] || !s.state.ledger.hasRunningCalls(host, dead) {
			continue
		}
		s.leader.abandonPending[host] = true
		s.propose(pendingRequest{abandon: host}, Command{Abandon: &AbandonCommand{Router: host, Incarnation: dead}})
	}
}

// lastDeadIncarnation returns the newest incarnation of a router that is known to be gone, and
// false if none is. A router that has sent nothing since this leader's election counts as gone
// after RouterAbandonedAfter.
func (s *Server) lastDeadIncarnation(host fleet.HostID) (fleet.Incarnation, bool) {
	if seen := s.leader.hosts.hosts[host]; seen != nil {
		return seen.incarnation - 1, seen.incarnation > 0
	}
	return math.MaxUint64, s.now.Sub(s.leader.since) > RouterAbandonedAfter
}

// hasRunningCalls reports whether a router's incarnations up to inc have running calls.
func (l *ledger) hasRunningCalls(host fleet.HostID, inc fleet.Incarnation) bool {
	for key := range l.running[host] {
		if l.calls[key].By.Incarnation <= inc {
			return true
		}
	}
	return false
}

// expireCalls proposes to drop the ledger records that are past their retention.
func (s *Server) expireCalls() {
	before := s.logTime() - LogTime(s.state.data.Retention)
	ended := s.state.ledger.ended
	if s.leader.expirePending || len(ended) == 0 || ended[0].at >= before {
		return
	}
	s.leader.expirePending = true
	s.propose(pendingRequest{expire: true}, Command{Expire: &ExpireCommand{Before: before, Most: maxExpiredPerEntry}})
}
