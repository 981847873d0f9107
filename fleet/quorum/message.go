package quorum

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Kind is the type of a Message.
type Kind string

// The kinds of messages.
const (
	// KindHello asks a host whether it knows a quorum. It is sent by replicas without members
	// and by members that have not heard a leader.
	KindHello Kind = "Hello"
	// KindHelloReply states whether the sender may found a quorum, and the members it knows.
	KindHelloReply Kind = "HelloReply"
	// KindPreVote asks whether a vote would be granted, without changing the term.
	KindPreVote Kind = "PreVote"
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply Kind = "PreVoteReply"
	// KindVote asks for a vote.
	KindVote Kind = "Vote"
	// KindVoteReply answers KindVote.
	KindVoteReply Kind = "VoteReply"
	// KindHeartbeat renews the leader's lease and carries the commit index.
	KindHeartbeat Kind = "Heartbeat"
	// KindHeartbeatReply answers KindHeartbeat without waiting for entries to be durable.
	KindHeartbeatReply Kind = "HeartbeatReply"
	// KindAppend carries log entries.
	KindAppend Kind = "Append"
	// KindAppendReply acknowledges durable entries or a restored snapshot, or rejects entries
	// that do not follow the receiver's log.
	KindAppendReply Kind = "AppendReply"
	// KindSnapshot carries one part of a snapshot.
	KindSnapshot Kind = "Snapshot"
	// KindSnapshotReply reports how many bytes of a snapshot have arrived.
	KindSnapshotReply Kind = "SnapshotReply"
	// KindHandover transfers leadership: it asks the receiver to start an election at once.
	KindHandover Kind = "Handover"
)

// EntryKind is the type of content of an Entry.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand marks an entry with a command for the state machine in Data.
	EntryCommand EntryKind = "Command"
	// EntryMembers marks an entry with the members in force from it on in Members.
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
	// Voter is false for a learner, which receives entries but counts in no majority.
	Voter bool
	// Operation is that of the ReplaceMember which admitted the member; empty for others.
	Operation fleet.OperationID `json:",omitempty"`
}

// SnapshotPart is a part of a snapshot under transfer.
type SnapshotPart struct {
	Index   fleet.Index
	Term    fleet.Term
	Members []Member
	// Size is the size of the whole snapshot, Offset the position of Data in it, in bytes.
	Size   int
	Offset int
	Data   []byte
}

// Message is what replicas send to each other. Which fields are set depends on Kind.
type Message struct {
	Kind Kind
	From fleet.HostID
	To   fleet.HostID
	// FromIncarnation is that of the sender, ToIncarnation that of the addressee: a receiver
	// of another incarnation drops the message. Hello addresses any incarnation.
	FromIncarnation fleet.Incarnation
	ToIncarnation   fleet.Incarnation `json:",omitempty"`
	Term            fleet.Term
	// LastIndex and LastTerm identify the last entry of a candidate's log in votes, and the
	// entry before Entries in an Append. In a rejected AppendReply LastIndex is the index
	// after which to go on, in a SnapshotReply that of the snapshot.
	LastIndex fleet.Index `json:",omitempty"`
	LastTerm  fleet.Term  `json:",omitempty"`
	Entries   []Entry     `json:",omitempty"`
	// Commit is the leader's commit index.
	Commit fleet.Index `json:",omitempty"`
	// Sent is the time since the leader's start at which it sent a heartbeat. The reply
	// echoes it.
	Sent time.Duration `json:",omitempty"`
	// Granted is the positive answer to a vote or an Append. In Hello and HelloReply it
	// means that the sender may found a quorum.
	Granted bool `json:",omitempty"`
	// Match is the last entry that the sender has on disk in agreement with the leader.
	Match    fleet.Index   `json:",omitempty"`
	Snapshot *SnapshotPart `json:",omitempty"`
	// Offset is the number of bytes of the snapshot that have arrived.
	Offset int `json:",omitempty"`
	// Peers lists the members that the sender of a HelloReply knows.
	Peers []fleet.HostID `json:",omitempty"`
	// Handover means that the leader asked for this election, so that voters grant votes
	// although its lease may hold.
	Handover bool `json:",omitempty"`
}

// Check implements fleet.Checker.
func (m *Message) Check() error {
	for i := range m.Entries {
		if want := m.LastIndex + fleet.Index(i) + 1; m.Entries[i].Index != want {
			return errors.Errorf("Entries[%d] has index %d, want %d", i, m.Entries[i].Index, want)
		}
	}
	if m.Kind == KindSnapshot && m.Snapshot == nil {
		return errors.New("Snapshot is missing")
	}
	return fleet.CheckName("From", string(m.From))
}

// EncodeMessage returns the message as CBOR, for DecodeMessage.
func EncodeMessage(m *Message) ([]byte, error) {
	data, err := encoding.Marshal(m)
	return data, errors.Wrapf(err, "encode %s", m.Kind)
}

// DecodeMessage decodes and checks a message. The data may come from an untrusted peer.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode replica message")
	}
	return m, errors.Wrap(m.Check(), "decode replica message")
}
