package registry

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// LogTime is the total time that has passed under active leaders since the log began.
type LogTime time.Duration

// Command is one change of a State; one of its pointers is set, or none to pass on the log time.
type Command struct {
	// At is the proposer's wall-clock time, which is recorded in the history.
	At time.Time
	// Now is the log time at which the command was proposed.
	Now     LogTime
	Text    *TextCommand              `json:",omitempty"`
	Centre  *fleet.DataCentreRequest  `json:",omitempty"`
	Lease   *LeaseCommand             `json:",omitempty"`
	Begin   *fleet.LedgerBeginRequest `json:",omitempty"`
	End     *fleet.LedgerEndRequest   `json:",omitempty"`
	Abandon *AbandonCommand           `json:",omitempty"`
	Expire  *ExpireCommand            `json:",omitempty"`

	PutConfig *fleet.PutConfigRequest `json:",omitempty"`
	SetOut    *fleet.SetOutRequest    `json:",omitempty"`

	StartRollout  *fleet.StartRolloutRequest `json:",omitempty"`
	ChangeRollout *ChangeRollout             `json:",omitempty"`
}

// TextCommand sets a fleet text that the proposer has parsed.
type TextCommand struct {
	fleet.ApplyRequest
	// DataCentres lists the data centres that the text defines.
	DataCentres []fleet.DataCentreName
	// Retention is how long ended ledger calls are kept under the text.
	Retention time.Duration
}

// LeaseCommand grants a lease to Holder, or releases it if Holder is empty. It has no effect
// unless Epoch is the current epoch of the lease.
type LeaseCommand struct {
	Name        fleet.LeaseName
	Epoch       fleet.Epoch
	Holder      fleet.HostID
	Incarnation fleet.Incarnation
	Duration    time.Duration
}

// AbandonCommand closes the running calls of a router's incarnations up to Incarnation as
// may-have-run: these incarnations are gone and will not report the end of their calls.
type AbandonCommand struct {
	Router      fleet.HostID
	Incarnation fleet.Incarnation
}

// ExpireCommand drops the records of calls that ended before a log time.
type ExpireCommand struct {
	Before LogTime
	// Most bounds the number of records dropped at once.
	Most int
}

var (
	encoding = must(encodingOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: maxDecoded, MaxMapPairs: maxDecoded}.DecMode())
)

// maxDecoded bounds the elements of each array and map in a command or snapshot.
const maxDecoded = 64 << 20

func encodingOptions() cbor.EncOptions {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	return opts
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the command as CBOR, for DecodeCommand.
func (c *Command) Encode() ([]byte, error) {
	data, err := encoding.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// DecodeCommand decodes a command of the log.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	err := decoding.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decode command")
}
