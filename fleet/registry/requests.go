package registry

import (
	"fmt"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// handleRequest answers a request or proposes its command. Only Status and, in part,
// PutConfig are answered by replicas that do not lead.
func (s *Server) handleRequest(id CallID, r *Request) {
	if r.Status != nil {
		status := s.replica.Status()
		s.answer(id, &status)
		return
	}
	if s.handleNumbered(id, r) || s.handleRollouts(id, r) || !s.requireLease(id) {
		return
	}
	switch {
	case r.State != nil:
		s.handleState(id, r.State)
	case r.Text != nil:
		s.handleText(id, r.Text)
	case r.Apply != nil:
		s.handleApply(id, r.Apply)
	case r.DataCentre != nil:
		s.handleDataCentre(id, r.DataCentre)
	case r.Lease != nil:
		s.handleLease(id, r.Lease)
	case r.LedgerBegin != nil:
		s.handleLedgerBegin(id, r.LedgerBegin)
	case r.LedgerEnd != nil:
		s.propose(pendingRequest{call: id}, Command{End: r.LedgerEnd})
	case r.History != nil:
		s.handleHistory(id, r.History)
	case r.Replace != nil:
		s.submit(pendingRequest{call: id}, func(p quorum.ProposalID) fleet.Event {
			return quorum.ReplaceMember{ID: p, Host: r.Replace.Host, Operation: r.Replace.Operation}
		})
	default:
		s.fail(id, fleet.CodeInvalid, "the request is empty")
	}
}

// requireLease reports whether this replica leads under a lease and has applied all that
// was committed. Otherwise it answers the request with a Failure.
func (s *Server) requireLease(id CallID) bool {
	if s.replica.Role() != quorum.Leader {
		s.out = append(s.out, Answer{ID: id, Failure: &Failure{
			Code: fleet.CodeNotLeader, Message: "this replica does not lead", Leader: s.replica.KnownLeader(),
		}})
		return false
	}
	if !s.replica.Ready() || !s.replica.LeaseHeld(s.now) {
		s.fail(id, fleet.CodeUnavailable, "no quorum confirms this leader")
		return false
	}
	return true
}

// handleState records the heartbeat that the request carries and answers with the state.
func (s *Server) handleState(id CallID, r *fleet.StateRequest) {
	t := &s.leader
	t.hosts.recordHeartbeat(s.now, r)
	reply := &fleet.StateReply{
		Version: s.state.data.Version, Hash: s.state.data.Hash,
		DataCentresOut: s.state.data.Out, Leases: s.state.leases(), Validity: StateValidity,
	}
	reply.HostsVersion, reply.Hosts = t.hosts.list(s.now, t.since, r.HostsSeen)
	s.answerLeased(id, reply)
}

func (s *Server) handleText(id CallID, r *fleet.TextRequest) {
	text, ok := s.state.textAt(r.Version)
	if !ok {
		s.fail(id, fleet.CodeInvalid, fmt.Sprintf("the fleet text of version %d is not kept", r.Version))
		return
	}
	s.answerLeased(id, &text)
}

// handleApply parses the text before it is proposed. A committed text is never refused, so
// that replicas of another release with other rules apply it alike.
func (s *Server) handleApply(id CallID, r *fleet.ApplyRequest) {
	if reply, known := s.state.operationReply(r.Operation, hashApply(r)); known {
		s.answerLeased(id, &reply)
		return
	}
	parsed, err := fleettext.Parse("fleet text", r.Text)
	if err != nil {
		s.answerLeased(id, &fleet.ChangeReply{Version: s.state.data.Version, Invalid: err.Error()})
		return
	}
	s.propose(pendingRequest{call: id}, Command{Text: &TextCommand{
		ApplyRequest: *r, DataCentres: parsed.DataCentres, Retention: parsed.Policy.LedgerRetention,
	}})
}

func (s *Server) handleDataCentre(id CallID, r *fleet.DataCentreRequest) {
	if reply, known := s.state.operationReply(r.Operation, hashDataCentre(r)); known {
		s.answerLeased(id, &reply)
		return
	}
	s.propose(pendingRequest{call: id}, Command{Centre: r})
}

// handleLedgerBegin answers from the ledger if the call's state is settled, and proposes
// the begin otherwise. The request also shows that its router is alive.
func (s *Server) handleLedgerBegin(id CallID, r *fleet.LedgerBeginRequest) {
	s.leader.hosts.recordCall(s.now, r.By)
	if reply, settled := s.state.ledger.settledReply(r); settled {
		s.answerLeased(id, &reply)
		return
	}
	if s.faults.GrantBeforeCommit {
		s.answer(id, &fleet.LedgerBeginReply{State: fleet.LedgerGranted})
	}
	s.propose(pendingRequest{call: id}, Command{Begin: r})
}

// handleHistory answers with the newest changes first.
func (s *Server) handleHistory(id CallID, r *fleet.HistoryRequest) {
	changes := slices.Clone(s.state.data.Changes)
	slices.Reverse(changes)
	if r.Most > 0 && r.Most < len(changes) {
		changes = changes[:r.Most]
	}
	s.answerLeased(id, &fleet.HistoryReply{Changes: changes})
}

// textAt returns the fleet text in force at version v, or the newest one for 0. It returns
// false if that text is not kept.
func (s *State) textAt(v fleet.Version) (fleet.TextReply, bool) {
	if v == 0 {
		v = s.data.Version
	}
	for _, t := range slices.Backward(s.data.Texts) {
		if t.Version <= v && v <= s.data.Version {
			reply := fleet.TextReply{Version: v, Hash: t.Hash, Text: t.Text}
			if v == s.data.Version {
				reply.DataCentresOut = s.data.Out
			}
			return reply, true
		}
	}
	return fleet.TextReply{}, false
}

// leases returns the leases sorted by name.
func (s *State) leases() []fleet.LeaseState {
	out := make([]fleet.LeaseState, 0, len(s.data.Leases))
	for name, l := range s.data.Leases {
		out = append(out, fleet.LeaseState{Name: name, Holder: l.Holder, Epoch: l.Epoch})
	}
	slices.SortFunc(out, func(a, b fleet.LeaseState) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
