package quorum_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation(true)
	os.Exit(m.Run())
}

// machine is a stateless state machine.
type machine struct{}

func (machine) Apply(fleet.Index, []byte) any { return nil }
func (machine) Snapshot() []byte              { return []byte{1} }
func (machine) Restore([]byte) error          { return nil }

var (
	start    = time.Unix(1_700_000_000, 0)
	hosts    = []fleet.HostID{"a", "b", "c", "d", "e"}
	founders = []quorum.Member{
		{Host: "a", Incarnation: 1, Voter: true},
		{Host: "b", Incarnation: 1, Voter: true},
		{Host: "c", Incarnation: 1, Voter: true},
		{Host: "d", Incarnation: 1, Voter: true},
		{Host: "e", Incarnation: 1, Voter: true},
	}
)

// driver feeds events to one replica at times that the test chooses.
type driver struct {
	replica *quorum.Replica
	now     time.Time
	// records holds what the replica asked to write.
	records   []quorum.Record
	lastWrite fleet.Sequence
}

// restart creates replica "a" from records at the given time.
func restart(now time.Time, faults fault.Set, records ...quorum.Record) *driver {
	r, err := quorum.New(now, quorum.Config{
		Host: "a", Incarnation: 1, Hosts: hosts, Machine: machine{}, Records: records, Faults: faults,
	})
	convey.So(err, convey.ShouldBeNil)
	return &driver{replica: r, now: now, records: records}
}

// founderRecords returns the storage of replica "a" as a founder, with the given log entries.
func founderRecords(entries ...quorum.Entry) []quorum.Record {
	records := []quorum.Record{
		{Identity: &quorum.Identity{Host: "a", Incarnation: 1}},
		{Initial: &quorum.Initial{Members: founders}},
	}
	for i := range entries {
		records = append(records, quorum.Record{Entry: &entries[i]})
	}
	return records
}

// reduce feeds an event to the replica and returns the messages that it sends.
func (d *driver) reduce(ev fleet.Event) []quorum.Message {
	var sent []quorum.Message
	for _, e := range d.replica.Reduce(d.now, ev) {
		switch e := e.(type) {
		case quorum.Send:
			sent = append(sent, e.Message)
		case quorum.Write:
			d.lastWrite = e.Sequence
			d.records = append(d.records, e.Records...)
		}
	}
	return sent
}

func (d *driver) receive(m quorum.Message) []quorum.Message {
	m.To, m.ToIncarnation, m.FromIncarnation = "a", 1, 1
	return d.reduce(quorum.Received{Message: m})
}

func (d *driver) sync() []quorum.Message { return d.reduce(quorum.Written{Sequence: d.lastWrite}) }

// skipVoteGuard advances the clock past the time after a start in which no vote is granted.
func (d *driver) skipVoteGuard() { d.now = d.now.Add(quorum.MinElectionTimeout) }

// granted reports whether one of the messages grants a vote to a host.
func granted(sent []quorum.Message, to fleet.HostID) bool {
	for _, m := range sent {
		if m.Kind == quorum.KindVoteReply && m.To == to && m.Granted {
			return true
		}
	}
	return false
}

// votesTwice reports whether a replica that crashes right after a vote grants another
// vote in the same term.
func votesTwice(faults fault.Set) bool {
	d := restart(start, faults, founderRecords()...)
	d.skipVoteGuard()
	durable := d.records
	first := granted(d.receive(quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1}), "b")
	d = restart(d.now, faults, durable...)
	d.skipVoteGuard()
	sent := d.receive(quorum.Message{Kind: quorum.KindVote, From: "c", Term: 1})
	return first && granted(append(sent, d.sync()...), "c")
}

func TestVoteIsDurable(t *testing.T) {
	convey.Convey("A vote is sent only after it is durable", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.skipVoteGuard()
		convey.So(granted(d.receive(quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1}), "b"), convey.ShouldBeFalse)
		convey.So(granted(d.sync(), "b"), convey.ShouldBeTrue)
		convey.Convey("and holds after a restart", func() {
			d = restart(d.now, fault.Set{}, d.records...)
			d.skipVoteGuard()
			sent := d.receive(quorum.Message{Kind: quorum.KindVote, From: "c", Term: 1})
			convey.So(granted(append(sent, d.sync()...), "c"), convey.ShouldBeFalse)
		})
	})
	convey.Convey("A replica that answers before the sync votes twice in one term", t, func() {
		convey.So(votesTwice(fault.Set{SkipVoteSync: true}), convey.ShouldBeTrue)
		convey.So(votesTwice(fault.Set{}), convey.ShouldBeFalse)
	})
}

// elect makes the replica leader of the given term with the votes of b and c.
func (d *driver) elect(term fleet.Term) { d.electWith(term, "b", "c") }

// electWith makes the replica leader of the given term with the votes of the given hosts.
func (d *driver) electWith(term fleet.Term, voters ...fleet.HostID) {
	d.now = d.now.Add(quorum.MaxElectionTimeout)
	d.reduce(quorum.Tick{})
	for _, from := range voters {
		d.receive(quorum.Message{Kind: quorum.KindPreVoteReply, From: from, Term: term, Granted: true})
	}
	d.sync()
	for _, from := range voters {
		d.receive(quorum.Message{Kind: quorum.KindVoteReply, From: from, Term: term, Granted: true})
	}
	d.sync()
	convey.So(d.replica.Role(), convey.ShouldEqual, quorum.Leader)
}

// commitsOldTerm reports whether a leader of term 4 commits an entry of term 2 by counting
// replicas. A replica with an entry of term 3 in its place could still be elected.
func commitsOldTerm(faults fault.Set) bool {
	records := append(founderRecords(
		quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: founders},
		quorum.Entry{Index: 2, Term: 2, Kind: quorum.EntryCommand},
	), quorum.Record{Vote: &quorum.Vote{Term: 3}})
	d := restart(start, faults, records...)
	d.elect(4)
	for _, from := range []fleet.HostID{"b", "c"} {
		d.receive(quorum.Message{Kind: quorum.KindAppendReply, From: from, Term: 4, Granted: true, Match: 2})
	}
	return d.replica.Status().Commit >= 2
}

func TestCommitOfEarlierTerms(t *testing.T) {
	convey.Convey("Entries of earlier terms are committed by one of the leader's own", t, func() {
		convey.So(commitsOldTerm(fault.Set{CommitOldTerms: true}), convey.ShouldBeTrue)
		convey.So(commitsOldTerm(fault.Set{}), convey.ShouldBeFalse)
	})
}

func TestLeaderLease(t *testing.T) {
	convey.Convey("A leader that hears no majority loses its lease before another can be elected", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.elect(1)
		convey.So(d.replica.LeaseHeld(d.now), convey.ShouldBeFalse)
		sent := d.now.Sub(start)
		for _, from := range []fleet.HostID{"b", "c"} {
			d.receive(quorum.Message{Kind: quorum.KindHeartbeatReply, From: from, Term: 1, Sent: sent})
		}
		convey.So(d.replica.LeaseHeld(d.now), convey.ShouldBeTrue)
		convey.So(d.replica.LeaseHeld(d.now.Add(fleet.ShortenLease(quorum.MinElectionTimeout))), convey.ShouldBeFalse)
		convey.Convey("and steps down", func() {
			d.now = d.now.Add(quorum.MaxElectionTimeout + quorum.TickInterval)
			d.reduce(quorum.Tick{})
			convey.So(d.replica.Role(), convey.ShouldNotEqual, quorum.Leader)
		})
	})
}

func TestTwoLeaders(t *testing.T) {
	convey.Convey("A second leader of a term violates an invariant", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.receive(quorum.Message{Kind: quorum.KindHeartbeat, From: "b", Term: 1})
		convey.So(func() {
			d.receive(quorum.Message{Kind: quorum.KindHeartbeat, From: "c", Term: 1})
		}, convey.ShouldPanic)
	})
}

func TestOtherIncarnation(t *testing.T) {
	convey.Convey("Votes of a host that lost its disk do not count", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.now = d.now.Add(quorum.MaxElectionTimeout)
		d.reduce(quorum.Tick{})
		for _, from := range []fleet.HostID{"b", "c", "d", "e"} {
			m := quorum.Message{Kind: quorum.KindPreVoteReply, From: from, Term: 1, Granted: true, To: "a", ToIncarnation: 1, FromIncarnation: 2}
			d.reduce(quorum.Received{Message: m})
		}
		convey.So(d.replica.Status().Term, convey.ShouldEqual, 0)
	})
}

// TestCommitNeedsOwnDisk guards against an entry that is acknowledged with one durable copy too
// few, because the leader counts a copy that it has not synced.
func TestCommitNeedsOwnDisk(t *testing.T) {
	convey.Convey("An entry on two of five disks is not committed while the leader has not synced it", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.elect(1)
		acknowledge := func(match fleet.Index) {
			for _, from := range []fleet.HostID{"b", "c"} {
				d.receive(quorum.Message{Kind: quorum.KindAppendReply, From: from, Term: 1, Granted: true, Match: match})
			}
		}
		acknowledge(1)
		convey.So(d.replica.Status().Commit, convey.ShouldEqual, 1)
		d.reduce(quorum.Propose{ID: 1, Data: []byte("x")})
		acknowledge(2)
		convey.So(d.replica.Status().Commit, convey.ShouldEqual, 1)
		d.sync()
		convey.So(d.replica.Status().Commit, convey.ShouldEqual, 2)
	})
}

// TestAppendReplyOfOtherIncarnation guards against a wiped disk that counts as one that holds an
// entry, because a reply from before the wipe arrives after it.
func TestAppendReplyOfOtherIncarnation(t *testing.T) {
	convey.Convey("A reply of a member's earlier incarnation does not count towards a commit", t, func() {
		members := slices.Clone(founders)
		members[1].Incarnation = 2
		d := restart(start, fault.Set{}, quorum.Record{Identity: &quorum.Identity{Host: "a", Incarnation: 1}}, quorum.Record{Initial: &quorum.Initial{Members: members}})
		d.electWith(1, "c", "d")
		reply := func(from fleet.HostID, inc fleet.Incarnation) {
			d.reduce(quorum.Received{Message: quorum.Message{
				Kind: quorum.KindAppendReply, From: from, FromIncarnation: inc, To: "a", ToIncarnation: 1, Term: 1, Granted: true, Match: 1,
			}})
		}
		reply("c", 1)
		reply("b", 1)
		convey.So(d.replica.Status().Commit, convey.ShouldEqual, 0)
		reply("b", 2)
		convey.So(d.replica.Status().Commit, convey.ShouldEqual, 1)
	})
}

// TestPreVoteUnderALeader guards against a host that returns from a partition and deposes a
// leader that works.
func TestPreVoteUnderALeader(t *testing.T) {
	convey.Convey("No pre-vote is granted while a leader is heard", t, func() {
		d := restart(start, fault.Set{}, founderRecords()...)
		d.skipVoteGuard()
		preVoteGranted := func() bool {
			sent := d.receive(quorum.Message{Kind: quorum.KindPreVote, From: "c", Term: 2})
			for _, m := range append(sent, d.sync()...) {
				if m.Kind == quorum.KindPreVoteReply && m.To == "c" {
					return m.Granted
				}
			}
			return false
		}
		d.receive(quorum.Message{Kind: quorum.KindHeartbeat, From: "b", Term: 1})
		d.sync()
		convey.So(preVoteGranted(), convey.ShouldBeFalse)
		d.now = d.now.Add(quorum.MaxElectionTimeout)
		convey.So(preVoteGranted(), convey.ShouldBeTrue)
	})
}
