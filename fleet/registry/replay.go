package registry

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// Started is the first event of each run in an event log. It holds the configuration that
// the replica was created with.
type Started struct {
	Host            fleet.HostID
	Incarnation     fleet.Incarnation
	Hosts           []fleet.HostID
	Bootstrap       bool
	SnapshotEntries int
	Membership      *quorum.MembershipPolicy `json:"Tending,omitempty"`
	RecordCommits   bool                     `json:",omitempty"`
	NoLeases        bool                     `json:",omitempty"`
	Records         []quorum.Record
}

// EventName implements fleet.Event.
func (Started) EventName() string { return "Started" }

// NewStarted returns the Started event for a replica with the given configuration.
func NewStarted(cfg *quorum.Config) Started {
	return Started{
		Host: cfg.Host, Incarnation: cfg.Incarnation, Hosts: cfg.Hosts,
		Bootstrap: cfg.Bootstrap, SnapshotEntries: cfg.SnapshotEntries, Membership: cfg.Membership,
		RecordCommits: cfg.RecordCommits, NoLeases: cfg.NoLeases, Records: cfg.Records,
	}
}

// config returns the configuration that NewStarted was called with, without Machine and
// Faults.
func (s *Started) config() quorum.Config {
	return quorum.Config{
		Host: s.Host, Incarnation: s.Incarnation, Hosts: s.Hosts,
		Bootstrap: s.Bootstrap, SnapshotEntries: s.SnapshotEntries, Membership: s.Membership,
		RecordCommits: s.RecordCommits, NoLeases: s.NoLeases, Records: s.Records,
	}
}

// AnswerExpired reports that a LeasedAnswer was not sent in time. It is the form of
// fleet.Expired that an event log can hold.
type AnswerExpired struct {
	ID CallID
}

// EventName implements fleet.Event.
func (AnswerExpired) EventName() string { return "AnswerExpired" }

// RecordableEvent returns the form of an event that an event log can hold: AnswerExpired in
// place of fleet.Expired for a LeasedAnswer, and any other event itself.
func RecordableEvent(ev fleet.Event) fleet.Event {
	if x, ok := ev.(fleet.Expired); ok {
		if a, ok := x.Effect.(LeasedAnswer); ok {
			return AnswerExpired{ID: a.ID}
		}
	}
	return ev
}

// DecodeEvent decodes an event of a Server's event log. It implements eventlog.Decoder.
func DecodeEvent(name string, raw json.RawMessage) (fleet.Event, error) {
	switch name {
	case Started{}.EventName():
		return eventlog.DecodeAs[Started](raw)
	case RequestReceived{}.EventName():
		return eventlog.DecodeAs[RequestReceived](raw)
	case AnswerExpired{}.EventName():
		return eventlog.DecodeAs[AnswerExpired](raw)
	case quorum.Tick{}.EventName():
		return eventlog.DecodeAs[quorum.Tick](raw)
	case quorum.Received{}.EventName():
		return eventlog.DecodeAs[quorum.Received](raw)
	case quorum.Written{}.EventName():
		return eventlog.DecodeAs[quorum.Written](raw)
	case quorum.Contacts{}.EventName():
		return eventlog.DecodeAs[quorum.Contacts](raw)
	case quorum.TransferLeadership{}.EventName():
		return eventlog.DecodeAs[quorum.TransferLeadership](raw)
	}
	return nil, errors.Errorf("event %q does not exist in a control replica", name)
}

// Replay feeds the events of an event log to a new server, calls f with the effects of each,
// and returns the server. The log may hold several runs; each begins with Started and a new
// server.
func Replay(r io.Reader, f func(now time.Time, ev fleet.Event, effects []fleet.Effect)) (*Server, error) {
	var server *Server
	err := eventlog.ForEach(r, DecodeEvent, func(now time.Time, ev fleet.Event) error {
		if started, ok := ev.(Started); ok {
			var err error
			server, err = NewServer(now, started.config())
			return err
		}
		if server == nil {
			return errors.New("the log does not begin with Started")
		}
		f(now, ev, server.Reduce(now, ev))
		return nil
	})
	return server, err
}
