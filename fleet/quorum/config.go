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
	// MinElectionTimeout is the shortest silence of a leader after which a replica
	// stands for election or grants a vote.
	MinElectionTimeout = 800 * time.Millisecond
	// MaxElectionTimeout is the longest silence before a replica stands.
	MaxElectionTimeout = 1300 * time.Millisecond
	// resendInterval is how long the answer to entries may take before they are sent again.
	resendInterval = 400 * time.Millisecond
	// startElectionTimeout is how long a replica without leases waits for a leader after
	// its start, and the span over which the replicas spread.
	startElectionTimeout = 150 * time.Millisecond
	startElectionSpread  = 400 * time.Millisecond
	// forgottenAfter is the silence of all leaders after which a member asks whether it
	// still is one. It is longer than an election takes.
	forgottenAfter = 2 * MaxElectionTimeout
	// helloInterval is the time between two Hello messages.
	helloInterval = 200 * time.Millisecond
)

// Bounds of one message.
const (
	maxAppendEntries = 1024
	maxAppendBytes   = 1 << 20
	snapshotPartSize = 256 << 10
)

// maxLogBytes is the size of the commands after a snapshot at which the next one is
// taken, however few entries they are. It bounds the memory and disk of a log of large
// commands.
const maxLogBytes = 8 << 20

// maxKeptBytes bounds the commands kept before a snapshot.
const maxKeptBytes = 4 << 20

// keptEntries is how many entries before the snapshot stay in memory, so that a replica
// that lags a little needs no snapshot.
const keptEntries = 2048

// DefaultSnapshotEntries is the number of entries after which a snapshot is taken.
const DefaultSnapshotEntries = 500

// StateMachine is what the log drives. Given the same commands it reaches the same state.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index fleet.Index, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore exchanges the state for that of a snapshot.
	Restore(snapshot []byte) error
}

// MembershipPolicy says how a leader keeps the members in step with the hosts that exist.
type MembershipPolicy struct {
	// SilentAfter is the silence after which a member is dropped.
	SilentAfter time.Duration
	// MinVoters is the number of voters below which none is dropped for its silence.
	MinVoters int
	// MaxMembers bounds the members, so that the cost of a commit stays bounded.
	MaxMembers int
}

// Config configures a Replica.
type Config struct {
	Host fleet.HostID
	// Incarnation is taken when the storage is empty; it differs for each new storage.
	Incarnation fleet.Incarnation
	// Hosts lists the founders; without Tending, they are all replicas there are.
	Hosts []fleet.HostID
	// Bootstrap permits to found a new quorum together with all other hosts, if all of
	// them permit it and none has ever belonged to one.
	Bootstrap bool
	Machine   StateMachine
	// RecordCommits stores how far the log is committed, at the price of a write for each
	// commit, so that a replica starts with what it knew to be committed.
	RecordCommits bool
	// NoLeases says that nobody relies on a leader's lease, so that a replica may vote
	// right after its start.
	NoLeases bool
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries int
	// Records is what the storage holds.
	Records []Record

	// Membership, when set, lets the leader change the members by itself, and hosts that
	// are not in Hosts join.
	Membership *MembershipPolicy

	// Faults is for tests.
	Faults fault.Set
}
