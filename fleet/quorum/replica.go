package quorum

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Role is the current role of a replica in its quorum.
type Role string

// The roles of a replica.
const (
	// Leader is a replica that leads in its term. Its lease may have run out.
	Leader Role = "Leader"
	// Follower is a voter that neither leads nor stands for election.
	Follower Role = "Follower"
	// Candidate is a voter in a pre-vote or an election.
	Candidate Role = "Candidate"
	// Learner is a replica that has no vote: it has no list of members, or is not listed as a
	// voter.
	Learner Role = "Learner"
)

// Replica is the reducer of one member of the quorum. It implements fleet.Reducer and is
// not safe for concurrent use.
type Replica struct {
	cfg      Config
	identity Identity
	initial  []Member
	vote     Vote
	log      entryLog
	commit   fleet.Index
	applied  fleet.Index

	now     time.Time
	started time.Time
	// out collects the effects of the current event.
	out     []fleet.Effect
	storage storageState

	leading bool
	// leader is the leader that the replica follows or is, or "".
	leader fleet.HostID
	// lastLeader is the leader observed in the latest term that had one.
	lastLeader    termLeader
	leaderHeardAt time.Time
	// electAt is when the election time-out ends.
	electAt   time.Time
	random    uint64
	candidacy candidacy
	// handover is set while votes are requested at the leader's request.
	handover   bool
	leadership leadership
	discovery  discoveryState
	// incomingSnapshot holds the parts received so far of a snapshot.
	incomingSnapshot *SnapshotPart
	// announcedRole is the last RoleChanged effect.
	announcedRole RoleChanged
}

// New returns a replica with the state of cfg.Records. It fails if they are inconsistent,
// belong to another host, or hold a snapshot that the state machine can't restore.
func New(now time.Time, cfg Config) (*Replica, error) {
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	r := &Replica{cfg: cfg, started: now, now: now, leaderHeardAt: now}
	if err := r.load(cfg.Records); err != nil {
		return nil, err
	}
	r.cfg.Records = nil
	// A vote before this time could break the lease of a leader heard before the restart.
	r.electAt = now.Add(MaxElectionTimeout)
	if cfg.NoLeases {
		r.leaderHeardAt = time.Time{}
		r.electAt = now.Add(startElectionTimeout + startJitter(r.identity))
	}
	return r, nil
}

// startJitter returns a fraction of startElectionJitter that depends on the replica alone.
func startJitter(id Identity) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(id.Host, id.Incarnation))
	return time.Duration(h % uint64(startElectionJitter))
}

// load restores the durable state and applies what is known to be committed.
func (r *Replica) load(records []Record) error {
	for i := range records {
		if err := r.loadRecord(&records[i]); err != nil {
			return errors.Wrapf(err, "record %d", i)
		}
	}
	r.commit, r.applied = r.log.snapshot.Index, r.log.snapshot.Index
	r.storage.index = r.log.last()
	if r.identity.Incarnation == 0 {
		r.identity = Identity{Host: r.cfg.Host, Incarnation: r.cfg.Incarnation}
		r.storage.unwritten = append(r.storage.unwritten, Record{Identity: &r.identity})
	}
	if r.identity.Host != r.cfg.Host {
		return errors.Errorf("the storage belongs to replica %q; the settings name %q", r.identity.Host, r.cfg.Host)
	}
	if r.log.snapshot.Data != nil {
		if err := r.cfg.Machine.Restore(r.log.snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	r.applyTo(min(r.storage.commit, r.log.last()))
	return nil
}

func (r *Replica) loadRecord(rec *Record) error {
	switch {
	case rec.Identity != nil:
		r.identity = *rec.Identity
	case rec.Vote != nil:
		r.vote = *rec.Vote
	case rec.Initial != nil:
		r.initial = rec.Initial.Members
	case rec.Snapshot != nil:
		r.log = newEntryLog(*rec.Snapshot)
	case rec.Entry != nil:
		return r.loadEntry(rec.Entry)
	case rec.Commit != nil:
		r.storage.commit = *rec.Commit
	default:
		return errors.New("record sets none of the known fields")
	}
	return nil
}

func (r *Replica) loadEntry(e *Entry) error {
	if e.Index <= r.log.snapshot.Index || e.Index > r.log.last()+1 {
		return errors.Errorf("entry %d does not follow entry %d", e.Index, r.log.last())
	}
	r.log.truncate(e.Index)
	r.log.append(*e)
	return nil
}

// Reduce implements fleet.Reducer.
func (r *Replica) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.now, r.out = now, nil
	switch ev := ev.(type) {
	case Tick:
		r.random = ev.Random
		r.tick()
	case Received:
		r.receive(&ev.Message)
	case Written:
		r.written(ev.Sequence)
	case Propose:
		r.propose(ev)
	case ReplaceMember:
		r.replaceMember(ev)
	case Contacts:
		r.addContacts(ev.Hosts)
	case ConfirmLeadership:
		r.confirmLeadership()
	case TransferLeadership:
		r.transferLeadership()
	}
	r.announceRole()
	r.flush()
	return r.out
}

// tick performs the periodic work of the replica's role.
func (r *Replica) tick() {
	switch {
	case r.leading:
		r.tickLeader()
	case len(r.members()) == 0:
		r.tickDiscovery()
	case r.isVoter() && !r.now.Before(r.electAt):
		r.startPreVote()
	}
	// A member that was removed while it was unreachable is not notified, so it asks.
	if r.cfg.Membership != nil && !r.leading && len(r.members()) > 0 && r.now.Sub(r.leaderHeardAt) > membershipCheckAfter {
		r.tickDiscovery()
	}
}

// receive dispatches a message to its handler. Messages for another host or, except for
// discovery, another incarnation are dropped.
func (r *Replica) receive(m *Message) {
	if m.To != r.identity.Host || m.From == r.identity.Host {
		return
	}
	switch m.Kind {
	case KindHello:
		r.receiveHello(m)
		return
	case KindHelloReply:
		r.receiveHelloReply(m)
		return
	}
	if m.ToIncarnation != r.identity.Incarnation {
		return
	}
	switch m.Kind {
	case KindPreVote:
		r.receivePreVote(m)
	case KindPreVoteReply:
		r.receivePreVoteReply(m)
	case KindVote:
		r.receiveVote(m)
	case KindVoteReply:
		r.receiveVoteReply(m)
	case KindHeartbeat, KindAppend, KindSnapshot:
		r.receiveFromLeader(m)
	case KindHandover:
		r.receiveHandover(m)
	case KindHeartbeatReply, KindAppendReply, KindSnapshotReply:
		r.receiveFromFollower(m)
	}
}

// adoptTerm enters a higher term as a follower; a lower or equal one is ignored.
func (r *Replica) adoptTerm(term fleet.Term) {
	if term <= r.vote.Term {
		return
	}
	r.stepDown()
	r.leader = ""
	r.setVote(Vote{Term: term})
}

// setVote sets the term and vote and stores them.
func (r *Replica) setVote(v Vote) {
	r.vote = v
	saved := v
	r.save(Record{Vote: &saved})
	r.storage.termWrite = r.lastWrite()
}

// stepDown ends leadership or candidacy. Uncommitted proposals are dropped with an unknown
// outcome.
func (r *Replica) stepDown() {
	r.candidacy = candidacy{}
	if !r.leading {
		return
	}
	r.leading = false
	r.leader = ""
	for _, p := range r.leadership.proposals {
		r.emit(Dropped{ID: p.id})
	}
	r.leadership = leadership{}
	r.resetElectionTimeout()
}

// resetElectionTimeout draws a new randomised election time-out.
func (r *Replica) resetElectionTimeout() {
	minimum, jitter := MinElectionTimeout, MaxElectionTimeout-MinElectionTimeout
	if r.cfg.NoLeases && r.leaderHeardAt.IsZero() {
		// No leader was heard since the start, so an early election disturbs none.
		minimum, jitter = 2*startElectionTimeout, startElectionJitter
	}
	// Several draws between two ticks must differ, so the seed advances by one step of a
	// linear congruential generator.
	r.random = r.random*6364136223846793005 + 1442695040888963407
	r.electAt = r.now.Add(minimum + time.Duration((r.random>>16)%uint64(jitter)))
}

func (r *Replica) emit(e fleet.Effect) { r.out = append(r.out, e) }

// message returns a message of the current term, addressed to a member.
func (r *Replica) message(kind Kind, to Member) Message {
	return Message{
		Kind: kind, From: r.identity.Host, FromIncarnation: r.identity.Incarnation,
		To: to.Host, ToIncarnation: to.Incarnation, Term: r.vote.Term,
	}
}

// reply returns a message of the current term, addressed to the sender of m.
func (r *Replica) reply(kind Kind, m *Message) Message {
	return r.message(kind, Member{Host: m.From, Incarnation: m.FromIncarnation})
}

// announceRole emits RoleChanged if the role, term or leader changed.
func (r *Replica) announceRole() {
	now := RoleChanged{Role: r.Role(), Term: r.vote.Term, Leader: r.leader}
	if now != r.announcedRole {
		r.announcedRole = now
		r.emit(now)
	}
}
