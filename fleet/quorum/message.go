package quorum

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Kind says what a Message is for.
type Kind string

// The kinds of messages.
const (
	// KindHello is sent by a replica that knows no members.
	KindHello Kind = "Hello"
	// KindHelloReply tells whether the sender knows no members either.
	KindHelloReply Kind = "HelloReply"
	// KindPreVote asks whether a vote would be granted, without changing a term.
	KindPreVote Kind = "PreVote"
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply Kind = "PreVoteReply"
	// KindVote asks for a vote.
	KindVote Kind = "Vote"
	// KindVoteReply answers KindVote.
	KindVoteReply Kind = "VoteReply"
	// KindHeartbeat renews the leader's lease and tells the commit index.
	KindHeartbeat Kind = "Heartbeat"
	// KindHeartbeatReply answers KindHeartbeat without waiting for the disk.
	KindHeartbeatReply Kind = "HeartbeatReply"
	// KindAppend carries entries.
	KindAppend Kind = "Append"
	// KindAppendReply answers KindAppend once the entries are on disk.
	KindAppendReply Kind = "AppendReply"
	// KindSnapshot carries one part of a snapshot.
	KindSnapshot Kind = "Snapshot"
	// KindSnapshotReply tells how much of a snapshot has arrived.
	KindSnapshotReply Kind = "SnapshotReply"
	// KindHandover asks the receiver to stand for election at once, since the leader stops.
	KindHandover Kind = "Handover"
)

// EntryKind says what an Entry holds.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = "Command"
	// EntryMembers holds the members from this entry on.
	EntryMembers EntryKind = "Members"
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   fleet.Index
	Term    fleet.Term
	Kind    EntryKind
	Data    []byte   `json:",omitempty"`
	Members []Member `json:",omitempty"`
}

// Member is one incarnation of a host that takes part in replication.
type Member struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	// Voter is false for a learner, which receives entries and does not count.
	Voter bool
	// Operation is the Replace that admitted it; empty for a founder.
	Operation fleet.OperationID `json:",omitempty"`
}

// SnapshotPart is a piece of a snapshot under transfer.
type SnapshotPart struct {
	Index   fleet.Index
	Term    fleet.Term
	Members []Member
	// Size is that of the whole snapshot, Offset that of Data within it, in bytes.
	Size   int
	Offset int
	Data   []byte
}

// Message is what replicas send each other.
type Message struct {
	Kind Kind
	From fleet.HostID
	To   fleet.HostID
	// FromIncarnation is that of the sender; ToIncarnation is the one addressed, and
	// a receiver of another incarnation drops the message. Hello addresses any.
	FromIncarnation fleet.Incarnation
	ToIncarnation   fleet.Incarnation `json:",omitempty"`
	Term            fleet.Term
	// LastIndex and LastTerm are the end of the candidate's log in votes, the entry
	// before Entries in appends, and the index to go on from in a refused append.
	LastIndex fleet.Index `json:",omitempty"`
	LastTerm  fleet.Term  `json:",omitempty"`
	Entries   []Entry     `json:",omitempty"`
	Commit    fleet.Index `json:",omitempty"`
	// Sent is the leader's monotonic time of a heartbeat, echoed by the reply.
	Sent time.Duration `json:",omitempty"`
	// Granted is the answer to a vote, an append, or a Hello.
	Granted bool `json:",omitempty"`
	// Match is the last entry that the sender has on disk in agreement with the leader.
	Match    fleet.Index   `json:",omitempty"`
	Snapshot *SnapshotPart `json:",omitempty"`
	// Offset is how many bytes of the snapshot have arrived.
	Offset int `json:",omitempty"`
	// Peers lists the members that the sender of a HelloReply knows.
	Peers []fleet.HostID `json:",omitempty"`
	// Handover says that the leader asked for this vote, so that hearing it is no
	// reason to refuse.
	Handover bool `json:",omitempty"`
}

// Check implements fleet.Checker.
func (m *Message) Check() error {
	for i := range m.Entries {
		if want := m.LastIndex + fleet.Index(i) + 1; m.Entries[i].Index != want {
			return errors.Errorf("Entries[%d] has index %d; %d follows", i, m.Entries[i].Index, want)
		}
	}
	if m.Kind == KindSnapshot && m.Snapshot == nil {
		return errors.New("Snapshot is missing")
	}
	return fleet.CheckName("From", string(m.From))
}

// EncodeMessage returns the message as CBOR.
func EncodeMessage(m *Message) ([]byte, error) {
	data, err := encoding.Marshal(m)
	return data, errors.Wrapf(err, "encode %s", m.Kind)
}

// DecodeMessage parses and checks a message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode replica message")
	}
	return m, errors.Wrap(m.Check(), "decode replica message")
}
