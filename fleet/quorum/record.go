package quorum

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Record is one unit of a replica's storage; exactly one of its fields is set. Later
// records supersede earlier ones: an entry drops all stored entries from its index on.
type Record struct {
	Identity *Identity `json:",omitempty"`
	Vote     *Vote     `json:",omitempty"`
	// Initial holds the founders, which are the members until the log names others.
	Initial  *Initial  `json:",omitempty"`
	Entry    *Entry    `json:",omitempty"`
	Snapshot *Snapshot `json:",omitempty"`
	// Commit is a committed index, so that a replica can apply entries up to it at its start,
	// before there is a leader. See Config.RecordCommits.
	Commit *fleet.Index `json:",omitempty"`
}

// Identity identifies the replica that owns a storage. It is written first.
type Identity struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
}

// Vote is the current term and the host that the replica voted for in it, "" for none.
type Vote struct {
	Term fleet.Term
	For  fleet.HostID `json:",omitempty"`
}

// Initial holds the founders of a quorum.
type Initial struct {
	Members []Member
}

// Snapshot is the encoded state after the entry Index, and the members at that entry.
type Snapshot struct {
	Index   fleet.Index
	Term    fleet.Term
	Members []Member
	Data    []byte
}

// maxDecodedArray bounds the elements of each array and map in a record or message.
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

// EncodeRecord returns the record as CBOR, for DecodeRecord.
func EncodeRecord(r *Record) ([]byte, error) {
	data, err := encoding.Marshal(r)
	return data, errors.Wrap(err, "encode replica record")
}

// DecodeRecord decodes a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := decoding.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode replica record")
}
