package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// leaseTerm is what a leader knows of a lease besides the log.
type leaseTerm struct {
	// until is when the holder's use of it has surely ended, by this leader's clock.
	until time.Time
	// changing is set while a change of holder is on its way through the log.
	changing bool
}

// inheritLeases waits out every lease: a former leader may have renewed it up to the
// moment at which it lost its own lease, before this one was elected.
func (s *Server) inheritLeases() {
	for name, l := range s.state.data.Leases {
		t := &leaseTerm{}
		if l.Holder != "" && !s.faults.ForgetLeases {
			t.until = s.now.Add(l.Duration)
		}
		s.tenure.leases[name] = t
	}
}

func (s *Server) leaseTerm(name fleet.LeaseName) *leaseTerm {
	t := s.tenure.leases[name]
	if t == nil {
		t = &leaseTerm{}
		s.tenure.leases[name] = t
	}
	return t
}

// askLease renews a lease in memory; only a change of holder or of duration goes
// through the log.
func (s *Server) askLease(id CallID, r *fleet.LeaseRequest) {
	l, t := s.state.data.Leases[r.Name], s.leaseTerm(r.Name)
	holds := l.Holder == r.Holder && l.Incarnation == r.Incarnation && (r.Epoch == 0 || r.Epoch == l.Epoch)
	switch {
	case t.changing:
		s.refuseLease(id, l)
	case r.Release && holds:
		s.changeLease(id, LeaseCommand{Name: r.Name, Epoch: l.Epoch})
	case r.Release, r.Epoch != 0 && !holds:
		s.refuseLease(id, l)
	case holds && r.Duration <= l.Duration:
		s.renewLease(id, r, l, t)
	case !holds && l.Holder != "" && s.now.Before(t.until):
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

func (s *Server) renewLease(id CallID, r *fleet.LeaseRequest, l lease, t *leaseTerm) {
	if until := s.now.Add(r.Duration); until.After(t.until) {
		t.until = until
	}
	s.answerLeased(id, &fleet.LeaseReply{Granted: true, Holder: l.Holder, Epoch: l.Epoch, Duration: r.Duration})
}

func (s *Server) changeLease(id CallID, c LeaseCommand) {
	l, t := s.state.data.Leases[c.Name], s.leaseTerm(c.Name)
	sole := l.Holder == "" || c.Holder == "" || l.Holder == c.Holder && l.Incarnation == c.Incarnation || !s.now.Before(t.until)
	if !invariant.Check(sole, "OneLeaseHolder", "lease %q of %s would go to %s", c.Name, l.Holder, c.Holder) {
		s.refuseLease(id, l)
		return
	}
	t.changing = true
	s.propose(waiter{call: id, lease: c.Name}, Command{Lease: &c})
}

// leaseCommitted answers a change of holder. The lease runs from this moment, which is
// after the holder asked for it.
func (s *Server) leaseCommitted(w waiter, result any) {
	t := s.leaseTerm(w.lease)
	t.changing = false
	l := s.state.data.Leases[w.lease]
	state, ok := result.(fleet.LeaseState)
	if !invariant.Check(ok, "LeaseResult", "lease %q got %T", w.lease, result) {
		return
	}
	if l.Holder == "" {
		t.until = time.Time{}
		s.answer(w.call, &fleet.LeaseReply{Epoch: l.Epoch})
		return
	}
	t.until = s.now.Add(l.Duration)
	s.answer(w.call, &fleet.LeaseReply{Granted: true, Holder: state.Holder, Epoch: state.Epoch, Duration: l.Duration})
}
