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
	// helloInterval is the time between two Hello messages.
	helloInterval = 200 * time.Millisecond
)

// Bounds of one message.
const (
	maxAppendEntries = 1024
	maxAppendBytes   = 1 << 20
	snapshotPartSize = 256 << 10
)

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

// Config configures a Replica.
type Config struct {
	Host fleet.HostID
	// Incarnation is taken when the storage is empty; it differs for each new storage.
	Incarnation fleet.Incarnation
	// Hosts lists all replicas, this one included.
	Hosts []fleet.HostID
	// Bootstrap permits to found a new quorum together with all other hosts, if all of
	// them permit it and none has ever belonged to one.
	Bootstrap bool
	Machine   StateMachine
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries int
	// Records is what the storage holds.
	Records []Record

	// Faults is for tests.
	Faults fault.Set
}
