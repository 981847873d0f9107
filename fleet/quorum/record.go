package quorum

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Record is one unit of a replica's storage; exactly one of its fields is set. Later
// records overrule earlier ones: an entry drops all entries from its index on.
type Record struct {
	Identity *Identity `json:",omitempty"`
	Vote     *Vote     `json:",omitempty"`
	// Initial lists the members before the log holds any.
	Initial  *Initial  `json:",omitempty"`
	Entry    *Entry    `json:",omitempty"`
	Snapshot *Snapshot `json:",omitempty"`
	// Commit is an entry before it that is committed, so that a replica which starts
	// knows some of the committed state before there is a leader.
	Commit *fleet.Index `json:",omitempty"`
}

// Identity is drawn when a replica finds its storage empty.
type Identity struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
}

// Vote is the current term and whom the replica voted for in it.
type Vote struct {
	Term fleet.Term
	For  fleet.HostID `json:",omitempty"`
}

// Initial holds the first members of a new quorum.
type Initial struct {
	Members []Member
}

// Snapshot is the state of the state machine after an entry.
type Snapshot struct {
	Index   fleet.Index
	Term    fleet.Term
	Members []Member
	Data    []byte
}

// maxDecodedArray bounds arrays within one record or message.
const maxDecodedArray = 16 << 20

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: maxDecodedArray, MaxMapPairs: maxDecodedArray}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// EncodeRecord returns the record as CBOR.
func EncodeRecord(r *Record) ([]byte, error) {
	data, err := encoding.Marshal(r)
	return data, errors.Wrap(err, "encode replica record")
}

// DecodeRecord parses a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := decoding.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode replica record")
}
