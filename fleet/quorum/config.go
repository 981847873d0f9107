package quorum

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
)

// Timing of the protocol.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 20 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElectionTimeout is the lower bound of the election time-out. A replica that has heard
	// a leader within it grants no vote; leader leases rely on this.
	MinElectionTimeout = 800 * time.Millisecond
	// MaxElectionTimeout is the upper bound of the election time-out.
	MaxElectionTimeout = 1300 * time.Millisecond
	// resendInterval is the time without a reply after which entries are sent again.
	resendInterval = 400 * time.Millisecond
	// startElectionTimeout is the shortest election time-out after a start with
	// Config.NoLeases; startElectionJitter is added to it in a part that differs by replica.
	startElectionTimeout = 150 * time.Millisecond
	startElectionJitter  = 400 * time.Millisecond
	// membershipCheckAfter is the time without a leader after which a member asks other
	// hosts whether it still is one. It exceeds the duration of an election.
	membershipCheckAfter = 2 * MaxElectionTimeout
	// helloInterval is the time between two rounds of Hello messages.
	helloInterval = 200 * time.Millisecond
)

// Bounds of one message.
const (
	// maxAppendEntries is the number of entries in one Append.
	maxAppendEntries = 1024
	// maxAppendBytes is the total size of the commands in one Append with several entries.
	maxAppendBytes = 1 << 20
	// snapshotPartSize is the number of bytes of a snapshot in one message.
	snapshotPartSize = 256 << 10
)

// maxLogBytes is the total size of the commands after a snapshot at which a new snapshot
// is taken, however few entries there are. It bounds the memory and disk use of a log of
// large commands.
const maxLogBytes = 8 << 20

// maxRetainedBytes bounds the total size of the commands retained before a snapshot.
const maxRetainedBytes = 4 << 20

// maxRetainedEntries is the number of entries before a snapshot that stay in memory, so
// that a replica that lags a little needs no snapshot.
const maxRetainedEntries = 2048

// DefaultSnapshotEntries is the value of Config.SnapshotEntries when that is 0.
const DefaultSnapshotEntries = 500

// StateMachine is the deterministic state machine that the committed log drives: the same
// commands lead to the same state on each replica.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index fleet.Index, command []byte) any
	// Snapshot returns the encoded state, for Restore.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// MembershipPolicy defines when a leader adds hosts to the quorum and when it removes them.
type MembershipPolicy struct {
	// SilentAfter is the time without an answer after which a member is removed.
	SilentAfter time.Duration
	// MinVoters is the number of other voters that must remain for a silent one to be removed.
	MinVoters int
	// SurplusSilentAfter is the time that replaces SilentAfter while at least TargetVoters other
	// voters remain. A silent voter beyond them is mostly a host that has been replaced: it
	// raises the majority, and keeping it does not help to tolerate failures.
	SurplusSilentAfter time.Duration
	// TargetVoters is the number of voters that the failures to be tolerated require; 0
	// disables SurplusSilentAfter.
	TargetVoters int
	// MaxMembers bounds the number of members, and with it the cost of a commit.
	MaxMembers int
}

// Config configures a Replica.
type Config struct {
	Host fleet.HostID
	// Incarnation identifies the replica's storage if that is empty; otherwise the stored
	// one is used. It must differ for each new storage.
	Incarnation fleet.Incarnation
	// Hosts lists the founders. Without Membership, no other hosts can be members.
	Hosts []fleet.HostID
	// Bootstrap permits the replica to found a new quorum together with all other hosts in
	// Hosts, if all of them permit it and none has ever belonged to one.
	Bootstrap bool
	// Machine receives the committed commands.
	Machine StateMachine
	// RecordCommits stores the commit index, at the cost of one write per commit, so that
	// after a restart a replica applies the entries up to it without waiting for a leader.
	RecordCommits bool
	// NoLeases states that leader leases are not relied on, so that a replica may vote right
	// after its start.
	NoLeases bool
	// SnapshotEntries is the number of entries after which a snapshot is taken; 0 stands for
	// DefaultSnapshotEntries.
	SnapshotEntries int
	// Records is the content of the storage, in the order of writing.
	Records []Record

	// Membership, when set, lets hosts outside Hosts join, and lets the leader add and
	// remove members by itself.
	Membership *MembershipPolicy

	// Faults switches off mechanisms of the protocol, for tests.
	Faults fault.Set
}
