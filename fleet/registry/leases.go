package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// leaseTiming is the leader's volatile state of a lease.
type leaseTiming struct {
	// expiresAt is when the lease has ended for its holder, by this leader's clock.
	expiresAt time.Time
	// changePending is set while a change of the lease is proposed and not yet committed.
	changePending bool
}

// waitOutLeases lets each lease run for its full duration from now: a former leader may
// have renewed it until that leader's own lease ended, which was before this election.
func (s *Server) waitOutLeases() {
	for name, l := range s.state.data.Leases {
		t := &leaseTiming{}
		if l.Holder != "" && !s.faults.SkipLeaseWait {
			t.expiresAt = s.now.Add(l.Duration)
		}
		s.leader.leases[name] = t
	}
}

// leaseTiming returns the state of a lease, which is created on first use.
func (s *Server) leaseTiming(name fleet.LeaseName) *leaseTiming {
	t := s.leader.leases[name]
	if t == nil {
		t = &leaseTiming{}
		s.leader.leases[name] = t
	}
	return t
}

// handleLease acquires, renews or releases a lease. A renewal is kept in memory; only a
// change of holder or a longer duration goes through the log.
func (s *Server) handleLease(id CallID, r *fleet.LeaseRequest) {
	l, t := s.state.data.Leases[r.Name], s.leaseTiming(r.Name)
	holds := l.Holder == r.Holder && l.Incarnation == r.Incarnation && (r.Epoch == 0 || r.Epoch == l.Epoch)
	switch {
	case t.changePending:
		s.refuseLease(id, l)
	case r.Release && holds:
		s.changeLease(id, LeaseCommand{Name: r.Name, Epoch: l.Epoch})
	case r.Release, r.Epoch != 0 && !holds:
		s.refuseLease(id, l)
	case holds && r.Duration <= l.Duration:
		s.renewLease(id, r, l, t)
	case !holds && l.Holder != "" && s.now.Before(t.expiresAt):
		s.refuseLease(id, l)
	default:
		s.changeLease(id, LeaseCommand{
			Name: r.Name, Epoch: l.Epoch,
			Holder: r.Holder, Incarnation: r.Incarnation, Duration: r.Duration,
		})
	}
}

func (s *Server) refuseLease(id CallID, l lease) {
	s.answerLeased(id, &fleet.LeaseReply{Holder: l.Holder, Epoch: l.Epoch})
}

func (s *Server) renewLease(id CallID, r *fleet.LeaseRequest, l lease, t *leaseTiming) {
	if until := s.now.Add(r.Duration); until.After(t.expiresAt) {
		t.expiresAt = until
	}
	s.answerLeased(id, &fleet.LeaseReply{Granted: true, Holder: l.Holder, Epoch: l.Epoch, Duration: r.Duration})
}

// changeLease proposes a change of the lease, after a check that no other holder can still
// use it.
func (s *Server) changeLease(id CallID, c LeaseCommand) {
	l, t := s.state.data.Leases[c.Name], s.leaseTiming(c.Name)
	sole := l.Holder == "" || c.Holder == "" || l.Holder == c.Holder && l.Incarnation == c.Incarnation || !s.now.Before(t.expiresAt)
	if !invariant.Check(sole, "OneLeaseHolder", "lease %q of %s would go to %s", c.Name, l.Holder, c.Holder) {
		s.refuseLease(id, l)
		return
	}
	t.changePending = true
	s.propose(pendingRequest{call: id, lease: c.Name}, Command{Lease: &c})
}

// leaseCommitted answers a committed change of a lease. The lease starts now, which is
// after the holder's request, so the holder stops using it first.
func (s *Server) leaseCommitted(pending pendingRequest, result any) {
	t := s.leaseTiming(pending.lease)
	t.changePending = false
	l := s.state.data.Leases[pending.lease]
	state, ok := result.(fleet.LeaseState)
	if !invariant.Check(ok, "LeaseResult", "lease %q got %T", pending.lease, result) {
		return
	}
	if l.Holder == "" {
		t.expiresAt = time.Time{}
		s.answer(pending.call, &fleet.LeaseReply{Epoch: l.Epoch})
		return
	}
	t.expiresAt = s.now.Add(l.Duration)
	s.answer(pending.call, &fleet.LeaseReply{Granted: true, Holder: state.Holder, Epoch: state.Epoch, Duration: l.Duration})
}
