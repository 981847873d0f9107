package registry

import (
	"fmt"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// ask handles a request. All but Status are for the leader.
func (s *Server) ask(id CallID, r *Request) {
	if r.Status != nil {
		status := s.replica.Status()
		s.answer(id, &status)
		return
	}
	if s.askNumbered(id, r) || !s.leads(id) {
		return
	}
	switch {
	case r.State != nil:
		s.askState(id, r.State)
	case r.Text != nil:
		s.askText(id, r.Text)
	case r.Apply != nil:
		s.askApply(id, r.Apply)
	case r.DataCentre != nil:
		s.askDataCentre(id, r.DataCentre)
	case r.Lease != nil:
		s.askLease(id, r.Lease)
	case r.LedgerBegin != nil:
		s.askBegin(id, r.LedgerBegin)
	case r.LedgerEnd != nil:
		s.propose(waiter{call: id}, Command{End: r.LedgerEnd})
	case r.History != nil:
		s.askHistory(id, r.History)
	case r.Replace != nil:
		s.submit(waiter{call: id}, func(p quorum.ProposalID) fleet.Event {
			return quorum.ReplaceMember{ID: p, Host: r.Replace.Host, Operation: r.Replace.Operation}
		})
	default:
		s.fail(id, fleet.CodeInvalid, "the request is empty")
	}
}

// leads refuses the request unless this replica leads, knows all that was committed,
// and no other can lead by now.
func (s *Server) leads(id CallID) bool {
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

func (s *Server) askState(id CallID, r *fleet.StateRequest) {
	t := &s.tenure
	t.hosts.heard(s.now, r)
	reply := &fleet.StateReply{
		Version: s.state.data.Version, Hash: s.state.data.Hash,
		DataCentresOut: s.state.data.Out, Leases: s.state.leases(), Validity: StateValidity,
	}
	reply.HostsVersion, reply.Hosts = t.hosts.list(s.now, t.since, r.HostsSeen)
	s.answerLeased(id, reply)
}

func (s *Server) askText(id CallID, r *fleet.TextRequest) {
	text, ok := s.state.text(r.Version)
	if !ok {
		s.fail(id, fleet.CodeInvalid, fmt.Sprintf("the fleet text of version %d is not kept", r.Version))
		return
	}
	s.answerLeased(id, &text)
}

// askApply parses the text before it goes into the log, where it can't be refused for
// what a later release may think of it.
func (s *Server) askApply(id CallID, r *fleet.ApplyRequest) {
	if reply, known := s.state.operationReply(r.Operation, textContent(r)); known {
		s.answerLeased(id, &reply)
		return
	}
	parsed, err := fleettext.Parse("fleet text", r.Text)
	if err != nil {
		s.answerLeased(id, &fleet.ChangeReply{Version: s.state.data.Version, Invalid: err.Error()})
		return
	}
	s.propose(waiter{call: id}, Command{Text: &TextCommand{
		ApplyRequest: *r, DataCentres: parsed.DataCentres, Retention: parsed.Policy.LedgerRetention,
	}})
}

func (s *Server) askDataCentre(id CallID, r *fleet.DataCentreRequest) {
	if reply, known := s.state.operationReply(r.Operation, dataCentreContent(r)); known {
		s.answerLeased(id, &reply)
		return
	}
	s.propose(waiter{call: id}, Command{Centre: r})
}

func (s *Server) askBegin(id CallID, r *fleet.LedgerBeginRequest) {
	s.tenure.hosts.heardCall(s.now, r.By)
	if reply, settled := s.state.ledger.peek(r); settled {
		s.answerLeased(id, &reply)
		return
	}
	if s.faults.GrantEarly {
		s.answer(id, &fleet.LedgerBeginReply{State: fleet.LedgerGranted})
	}
	s.propose(waiter{call: id}, Command{Begin: r})
}

func (s *Server) askHistory(id CallID, r *fleet.HistoryRequest) {
	changes := slices.Clone(s.state.data.Changes)
	slices.Reverse(changes)
	if r.Most > 0 && r.Most < len(changes) {
		changes = changes[:r.Most]
	}
	s.answerLeased(id, &fleet.HistoryReply{Changes: changes})
}

// text returns the fleet text in force at a version, 0 for the newest.
func (s *State) text(v fleet.Version) (fleet.TextReply, bool) {
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

// leases returns the leases in order of their names.
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
