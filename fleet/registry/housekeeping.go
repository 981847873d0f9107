package registry

import (
	"math"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// maxExpired bounds how many ledger records one entry drops.
const maxExpired = 1000

// keepHouse forgets silent processes, closes the ledger calls of routers that are gone
// and drops ledger records older than the retention.
func (s *Server) keepHouse() {
	t := &s.tenure
	if !s.replica.Ready() || !s.replica.LeaseHeld(s.now) || s.now.Before(t.housekeeping) {
		return
	}
	t.housekeeping = s.now.Add(housekeepingInterval)
	t.hosts.forget(s.now)
	s.abandonRouters()
	s.expireCalls()
}

func (s *Server) abandonRouters() {
	for _, host := range sortedHosts(s.state.ledger.running) {
		gone, ok := s.goneIncarnation(host)
		if !ok || s.tenure.abandoning[host] || !s.state.ledger.runs(host, gone) {
			continue
		}
		s.tenure.abandoning[host] = true
		s.propose(waiter{abandon: host}, Command{Abandon: &AbandonCommand{Router: host, Incarnation: gone}})
	}
}

// goneIncarnation returns the newest incarnation of a router that is known to be gone.
func (s *Server) goneIncarnation(host fleet.HostID) (fleet.Incarnation, bool) {
	if seen := s.tenure.hosts.seen[host]; seen != nil {
		return seen.incarnation - 1, seen.incarnation > 0
	}
	return math.MaxUint64, s.now.Sub(s.tenure.since) > RouterAbandonedAfter
}

// runs says whether a router's incarnations up to inc have running calls.
func (l *ledger) runs(host fleet.HostID, inc fleet.Incarnation) bool {
	for key := range l.running[host] {
		if l.calls[key].By.Incarnation <= inc {
			return true
		}
	}
	return false
}

func (s *Server) expireCalls() {
	before := s.logTime() - LogTime(s.state.data.Retention)
	ended := s.state.ledger.ended
	if s.tenure.expiring || len(ended) == 0 || ended[0].at >= before {
		return
	}
	s.tenure.expiring = true
	s.propose(waiter{expire: true}, Command{Expire: &ExpireCommand{Before: before, Most: maxExpired}})
}
