package quorum

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Role is what a replica is at the moment.
type Role string

// The standings of a replica.
const (
	Leader    Role = "Leader"
	Follower  Role = "Follower"
	Candidate Role = "Candidate"
	// Learner is a replica that may not vote, because no members are known to it or
	// because they do not count it as a voter.
	Learner Role = "Learner"
)

// Replica is the reducer of one member of the quorum. It implements fleet.Reducer.
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
	out     []fleet.Effect
	storage storageState

	leading  bool
	leader   fleet.HostID
	termLead termLeader
	heard    time.Time
	electAt  time.Time
	random   uint64
	campaign campaign
	// handover is set while the votes asked for are wished by the leader.
	handover  bool
	lead      leadership
	hello     helloState
	incoming  *SnapshotPart
	announced RoleChanged
}

// New makes a replica from what its storage holds.
func New(now time.Time, cfg Config) (*Replica, error) {
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	r := &Replica{cfg: cfg, started: now, now: now, heard: now}
	if err := r.load(cfg.Records); err != nil {
		return nil, err
	}
	r.cfg.Records = nil
	// Until then a vote could break the lease of a leader heard before the restart.
	r.electAt = now.Add(MaxElectionTimeout)
	if cfg.NoLeases {
		r.heard = time.Time{}
		r.electAt = now.Add(startElectionTimeout + spreadOf(r.identity))
	}
	return r, nil
}

// spreadOf returns a part of startElectionSpread that differs from replica to replica.
func spreadOf(id Identity) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(id.Host, id.Incarnation))
	return time.Duration(h % uint64(startElectionSpread))
}

// load restores the durable state.
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
		r.storage.dirty = append(r.storage.dirty, Record{Identity: &r.identity})
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
		return errors.New("kind of record is unknown")
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
		r.confirm()
	case TransferLeadership:
		r.stepAside()
	}
	r.announce()
	r.flush()
	return r.out
}

func (r *Replica) tick() {
	switch {
	case r.leading:
		r.tickLeader()
	case len(r.members()) == 0:
		r.tickHello()
	case r.isVoter() && !r.now.Before(r.electAt):
		r.startPreVote()
	}
	// A member that was dropped during its silence is told so by nobody.
	if r.cfg.Membership != nil && !r.leading && len(r.members()) > 0 && r.now.Sub(r.heard) > forgottenAfter {
		r.tickHello()
	}
}

// receive handles a message that was meant for this incarnation.
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

// adoptTerm enters a higher term as a follower.
func (r *Replica) adoptTerm(term fleet.Term) {
	if term <= r.vote.Term {
		return
	}
	r.stepDown()
	r.leader = ""
	r.setVote(Vote{Term: term})
}

// setVote records the term and vote.
func (r *Replica) setVote(v Vote) {
	r.vote = v
	saved := v
	r.save(Record{Vote: &saved})
	r.storage.term = r.lastWrite()
}

// stepDown ends leadership or candidacy; the fate of waiting proposals is unknown.
func (r *Replica) stepDown() {
	r.campaign = campaign{}
	if !r.leading {
		return
	}
	r.leading = false
	r.leader = ""
	for _, p := range r.lead.proposals {
		r.emit(Dropped{ID: p.id})
	}
	r.lead = leadership{}
	r.resetElection()
}

// resetElection draws the next moment to stand for election.
func (r *Replica) resetElection() {
	least, spread := MinElectionTimeout, MaxElectionTimeout-MinElectionTimeout
	if r.cfg.NoLeases && r.heard.IsZero() {
		// No leader was heard since the start, so none is disturbed.
		least, spread = 2*startElectionTimeout, startElectionSpread
	}
	// Several draws between two ticks must differ, also between replicas.
	r.random = r.random*6364136223846793005 + 1442695040888963407
	r.electAt = r.now.Add(least + time.Duration((r.random>>16)%uint64(spread)))
}

func (r *Replica) emit(e fleet.Effect) { r.out = append(r.out, e) }

// message addresses a message of the current term to a member.
func (r *Replica) message(kind Kind, to Member) Message {
	return Message{
		Kind: kind, From: r.identity.Host, FromIncarnation: r.identity.Incarnation,
		To: to.Host, ToIncarnation: to.Incarnation, Term: r.vote.Term,
	}
}

// reply addresses the answer to m.
func (r *Replica) reply(kind Kind, m *Message) Message {
	return r.message(kind, Member{Host: m.From, Incarnation: m.FromIncarnation})
}

// announce tells once of each change of standing, term or leader.
func (r *Replica) announce() {
	now := RoleChanged{Role: r.Role(), Term: r.vote.Term, Leader: r.leader}
	if now != r.announced {
		r.announced = now
		r.emit(now)
	}
}
