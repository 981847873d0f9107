package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// Validity of answers, and time-outs of the housekeeping.
const (
	// StateValidity is how long a process may rely on a StateReply.
	StateValidity = 4 * time.Second
	// HostForgottenAfter is the time without a heartbeat after which a process is left out of
	// StateReply.
	HostForgottenAfter = 4 * time.Second
	// RouterAbandonedAfter is the time without a request from a router after which its
	// running ledger calls are closed as MayHaveRun.
	RouterAbandonedAfter = 30 * time.Second
	// housekeepingInterval is the time between two runs of the housekeeping.
	housekeepingInterval = time.Second
)

// Server is the reducer of a control replica. It implements fleet.Reducer and is not safe
// for concurrent use.
type Server struct {
	state   *State
	replica *quorum.Replica

	now time.Time
	out []fleet.Effect
	// proposals is the last used ProposalID.
	proposals quorum.ProposalID
	pending   map[quorum.ProposalID]pendingRequest
	leader    leaderState
	faults    fault.Set
	// pendingReads holds the reads that wait for a majority to confirm this leader.
	pendingReads []pendingRead
	// announcedRevision is the revision of the last NumberedChanged.
	announcedRevision fleet.Revision
	// announcedRollouts is the number of changes of the last RolloutsChanged, rolloutsSeen when
	// this process learnt of each roll-out.
	announcedRollouts uint64
	rolloutsSeen      map[fleet.RolloutNumber]time.Time
	logTimeSeen       logTimeSeen
}

// logTimeSeen is the newest committed log time and when this process learnt of it.
type logTimeSeen struct {
	now LogTime
	at  time.Time
}

// pendingRequest holds what a proposal was made for: a request, or the housekeeping.
type pendingRequest struct {
	// call is the request to answer, or 0.
	call CallID
	// lease is set for a change of a lease.
	lease fleet.LeaseName
	// abandon is the router whose calls the housekeeping closes.
	abandon fleet.HostID
	// expire is set when the housekeeping drops ledger records.
	expire bool
	// mark is set when the housekeeping passes on the log time.
	mark bool
}

// leaderState is the volatile state of a leader, which starts anew in each term.
type leaderState struct {
	term             fleet.Term
	since            time.Time
	baseLogTime      LogTime
	leases           map[fleet.LeaseName]*leaseTiming
	hosts            hostTable
	abandonPending   map[fleet.HostID]bool
	expirePending    bool
	markPending      bool
	nextHousekeeping time.Time
}

// NewServer returns a server that applies cfg.Records to an empty state. It sets
// cfg.Machine. Its errors are those of quorum.New.
func NewServer(now time.Time, cfg quorum.Config) (*Server, error) {
	s := &Server{state: NewState(), pending: map[quorum.ProposalID]pendingRequest{}, faults: cfg.Faults}
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

// State returns the durable state, as far as this replica has applied the log.
func (s *Server) State() *State { return s.state }

// Status returns the replica's view of the quorum.
func (s *Server) Status() fleet.StatusReply { return s.replica.Status() }

// HasQuorumContact reports whether the replica has been in contact with a majority within d,
// as of the last event.
func (s *Server) HasQuorumContact(d time.Duration) bool { return s.replica.HasQuorumContact(d) }

// KnownLeader returns the leader that the replica follows or is, or "".
func (s *Server) KnownLeader() fleet.HostID { return s.replica.KnownLeader() }

// IsConfirmedLeader reports whether the replica leads and no other can lead, as of the last
// event.
func (s *Server) IsConfirmedLeader() bool { return s.replica.Ready() && s.replica.LeaseHeld(s.now) }

// Reduce implements fleet.Reducer. It accepts the events of package quorum,
// RequestReceived, AnswerExpired and fleet.Expired.
func (s *Server) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	s.now, s.out = now, nil
	switch ev := ev.(type) {
	case RequestReceived:
		s.handleRequest(ev.ID, &ev.Request)
	case fleet.Expired, AnswerExpired:
		s.answerExpired(RecordableEvent(ev))
	default:
		s.reduceReplica(ev)
		s.runHousekeeping()
	}
	s.completeReads()
	s.announceNumbered()
	s.announceRollouts()
	return s.out
}

// reduceReplica passes an event to the replica and handles its effects.
func (s *Server) reduceReplica(ev fleet.Event) {
	for _, e := range s.replica.Reduce(s.now, ev) {
		switch e := e.(type) {
		case quorum.Committed:
			s.startLeading()
			s.proposalCommitted(e)
		case quorum.Dropped:
			s.proposalDropped(e)
		default:
			s.out = append(s.out, e)
		}
	}
	s.startLeading()
}

// startLeading resets the leader's volatile state once the replica is ready in a new term.
func (s *Server) startLeading() {
	term := s.replica.Term()
	if !s.replica.Ready() || s.leader.term == term {
		return
	}
	s.leader = leaderState{
		term: term, since: s.now, baseLogTime: s.state.data.Now,
		leases:         map[fleet.LeaseName]*leaseTiming{},
		hosts:          newHostTable(term),
		abandonPending: map[fleet.HostID]bool{},
	}
	s.waitOutLeases()
}

// logTime returns the current log time, for a proposal.
func (s *Server) logTime() LogTime { return s.leader.baseLogTime + LogTime(s.now.Sub(s.leader.since)) }

// propose proposes a command; pending holds what it was made for.
func (s *Server) propose(pending pendingRequest, c Command) {
	c.At, c.Now = s.now.Round(0), s.logTime()
	data, err := c.Encode()
	if err != nil {
		s.fail(pending.call, fleet.CodeInvalid, err.Error())
		return
	}
	s.submit(pending, func(id quorum.ProposalID) fleet.Event { return quorum.Propose{ID: id, Data: data} })
}

// submit registers pending under a new ProposalID and passes the event with it to the replica.
func (s *Server) submit(pending pendingRequest, event func(quorum.ProposalID) fleet.Event) {
	s.proposals++
	s.pending[s.proposals] = pending
	s.reduceReplica(event(s.proposals))
}

func (s *Server) proposalCommitted(e quorum.Committed) {
	pending, ok := s.pending[e.ID]
	if !ok {
		return
	}
	delete(s.pending, e.ID)
	if _, ok := e.Result.(superseded); ok {
		s.fail(pending.call, fleet.CodeSuperseded, "another order was committed since the revision that this one is based on")
		return
	}
	switch {
	case pending.lease != "":
		s.leaseCommitted(pending, e.Result)
	case pending.abandon != "":
		delete(s.leader.abandonPending, pending.abandon)
	case pending.expire:
		s.leader.expirePending = false
	case pending.mark:
		s.leader.markPending = false
	default:
		s.answer(pending.call, replyOf(e.Result))
	}
}

// replyOf returns the reply for a result of State.Apply; a nil result is that of a
// replacement.
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
	case fleet.StartRolloutReply:
		return &r
	case fleet.Rollout:
		return &r
	}
	return &fleet.ReplaceReply{Accepted: true}
}

// proposalDropped fails the request of a dropped proposal. Housekeeping is not answered.
func (s *Server) proposalDropped(e quorum.Dropped) {
	pending, ok := s.pending[e.ID]
	if !ok {
		return
	}
	delete(s.pending, e.ID)
	if pending.call == 0 {
		return
	}
	if e.Reason != "" {
		s.answer(pending.call, &fleet.ReplaceReply{Invalid: e.Reason})
		return
	}
	s.fail(pending.call, fleet.CodeUnavailable, "the change was not confirmed by a quorum; it may still be made")
}

func (s *Server) answer(id CallID, reply any) { s.out = append(s.out, Answer{ID: id, Reply: reply}) }

// answerLeased answers from the leader's state, valid until its lease ends.
func (s *Server) answerLeased(id CallID, reply any) {
	s.out = append(s.out, LeasedAnswer{Answer: Answer{ID: id, Reply: reply}, Until: s.replica.LeaseEnd()})
}

func (s *Server) fail(id CallID, code int64, message string) {
	s.out = append(s.out, Answer{ID: id, Failure: &Failure{Code: code, Message: message}})
}

func (s *Server) answerExpired(ev fleet.Event) {
	if a, ok := ev.(AnswerExpired); ok {
		s.fail(a.ID, fleet.CodeUnavailable, "the leader's lease ended before the answer was sent")
	}
}
