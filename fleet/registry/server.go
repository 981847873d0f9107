package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// Timing of what a leader does besides answering.
const (
	// StateValidity is how long a process may rely on a StateReply.
	StateValidity = 4 * time.Second
	// HostForgottenAfter is the silence after which a process is left out of StateReply.
	HostForgottenAfter = 4 * time.Second
	// RouterAbandonedAfter is the silence of a router after which its running ledger
	// calls are closed as MayHaveRun.
	RouterAbandonedAfter = 30 * time.Second
	// housekeepingInterval is the time between two rounds of housekeeping.
	housekeepingInterval = time.Second
)

// Server is the reducer of a control replica. It implements fleet.Reducer.
type Server struct {
	state   *State
	replica *quorum.Replica

	now       time.Time
	out       []fleet.Effect
	proposals quorum.ProposalID
	waiting   map[quorum.ProposalID]waiter
	tenure    tenure
	faults    fault.Set
	// reads wait for a majority to confirm this leader.
	reads []read
	// announced is the newest revision that a NumberedChanged told of.
	announced fleet.Revision
}

// waiter is a request that waits for the log.
type waiter struct {
	call CallID
	// lease is set for a change of a lease.
	lease fleet.LeaseName
	// abandon is set for the housekeeping of a router's calls.
	abandon fleet.HostID
	expire  bool
}

// tenure is what a leader knows besides the log. It begins anew with each term.
type tenure struct {
	term         fleet.Term
	since        time.Time
	base         LogTime
	leases       map[fleet.LeaseName]*leaseTerm
	hosts        hostTable
	abandoning   map[fleet.HostID]bool
	expiring     bool
	housekeeping time.Time
}

// NewServer makes a server over an empty state; cfg.Machine is set by it.
func NewServer(now time.Time, cfg quorum.Config) (*Server, error) {
	s := &Server{state: NewState(), waiting: map[quorum.ProposalID]waiter{}, faults: cfg.Faults}
	s.state.faults = cfg.Faults
	s.state.reset()
	cfg.Machine = s.state
	replica, err := quorum.New(now, cfg)
	if err != nil {
		return nil, err
	}
	s.replica = replica
	return s, nil
}

// State returns the durable state as far as this replica has applied the log.
func (s *Server) State() *State { return s.state }

// Status returns the replica's view of the quorum.
func (s *Server) Status() fleet.StatusReply { return s.replica.Status() }

// HasQuorumContact says whether the replica has been in contact with a majority within d, as of
// the last event.
func (s *Server) HasQuorumContact(d time.Duration) bool { return s.replica.HasQuorumContact(d) }

// KnownLeader returns the leader that the replica follows or is, or "".
func (s *Server) KnownLeader() fleet.HostID { return s.replica.KnownLeader() }

// IsConfirmedLeader says whether the replica leads and no other can lead, as of the last event.
func (s *Server) IsConfirmedLeader() bool { return s.replica.Ready() && s.replica.LeaseHeld(s.now) }

// Reduce implements fleet.Reducer. It takes the events of package quorum, Asked and
// fleet.Expired.
func (s *Server) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	s.now, s.out = now, nil
	switch ev := ev.(type) {
	case RequestReceived:
		s.ask(ev.ID, &ev.Request)
	case fleet.Expired, AnswerExpired:
		s.expired(RecordableEvent(ev))
	default:
		s.drive(ev)
		s.keepHouse()
	}
	s.settleReads()
	s.announceNumbered()
	return s.out
}

// drive passes an event to the replica and handles what comes of it.
func (s *Server) drive(ev fleet.Event) {
	for _, e := range s.replica.Reduce(s.now, ev) {
		switch e := e.(type) {
		case quorum.Committed:
			s.takeOver()
			s.committed(e)
		case quorum.Dropped:
			s.dropped(e)
		default:
			s.out = append(s.out, e)
		}
	}
	s.takeOver()
}

// takeOver begins a tenure once the replica knows all that was ever committed.
func (s *Server) takeOver() {
	term := s.replica.Term()
	if !s.replica.Ready() || s.tenure.term == term {
		return
	}
	s.tenure = tenure{
		term: term, since: s.now, base: s.state.data.Now,
		leases:     map[fleet.LeaseName]*leaseTerm{},
		hosts:      newHostTable(term),
		abandoning: map[fleet.HostID]bool{},
	}
	s.inheritLeases()
}

// logTime returns the log time for a proposal.
func (s *Server) logTime() LogTime { return s.tenure.base + LogTime(s.now.Sub(s.tenure.since)) }

// propose puts a command into the log on behalf of a waiter.
func (s *Server) propose(w waiter, c Command) {
	c.At, c.Now = s.now.Round(0), s.logTime()
	data, err := c.Encode()
	if err != nil {
		s.fail(w.call, fleet.CodeInvalid, err.Error())
		return
	}
	s.submit(w, func(id quorum.ProposalID) fleet.Event { return quorum.Propose{ID: id, Data: data} })
}

func (s *Server) submit(w waiter, event func(quorum.ProposalID) fleet.Event) {
	s.proposals++
	s.waiting[s.proposals] = w
	s.drive(event(s.proposals))
}

func (s *Server) committed(e quorum.Committed) {
	w, ok := s.waiting[e.ID]
	if !ok {
		return
	}
	delete(s.waiting, e.ID)
	switch {
	case w.lease != "":
		s.leaseCommitted(w, e.Result)
	case w.abandon != "":
		delete(s.tenure.abandoning, w.abandon)
	case w.expire:
		s.tenure.expiring = false
	default:
		s.answer(w.call, replyOf(e.Result))
	}
}

// replyOf returns the reply that a result of State.Apply stands for.
func replyOf(result any) any {
	switch r := result.(type) {
	case fleet.ChangeReply:
		return &r
	case fleet.LedgerBeginReply:
		return &r
	case fleet.LedgerEndReply:
		return &r
	case fleet.PutConfigReply:
		return &r
	case fleet.SetOutReply:
		return &r
	}
	return &fleet.ReplaceReply{Accepted: true}
}

func (s *Server) dropped(e quorum.Dropped) {
	w, ok := s.waiting[e.ID]
	if !ok {
		return
	}
	delete(s.waiting, e.ID)
	if w.call == 0 {
		return
	}
	if e.Reason != "" {
		s.answer(w.call, &fleet.ReplaceReply{Invalid: e.Reason})
		return
	}
	s.fail(w.call, fleet.CodeUnavailable, "the change was not confirmed by a quorum; it may still be made")
}

func (s *Server) answer(id CallID, reply any) { s.out = append(s.out, Answer{ID: id, Reply: reply}) }

// answerLeased answers from what this leader knows, as long as no other can lead.
func (s *Server) answerLeased(id CallID, reply any) {
	s.out = append(s.out, LeasedAnswer{Answer: Answer{ID: id, Reply: reply}, Until: s.replica.LeaseEnd()})
}

func (s *Server) fail(id CallID, code int64, message string) {
	s.out = append(s.out, Answer{ID: id, Failure: &Failure{Code: code, Message: message}})
}

func (s *Server) expired(ev fleet.Event) {
	if a, ok := ev.(AnswerExpired); ok {
		s.fail(a.ID, fleet.CodeUnavailable, "the leader's lease ended before the answer was sent")
	}
}
