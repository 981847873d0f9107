package registry

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Bounds of what the state keeps.
const (
	// maxChanges is the number of changes in the history.
	maxChanges = 1000
	// maxTexts is the number of fleet texts.
	maxTexts = 16
	// maxOperations is the number of results of operations, for resent requests.
	maxOperations = 4096
)

// DefaultRetention is how long ended ledger calls are kept before a fleet text sets the time.
const DefaultRetention = 24 * time.Hour

// State is the durable state of the fleet. It implements quorum.StateMachine.
type State struct {
	data   stateData
	ledger ledger
	faults fault.Set
}

// stateData is the state without the ledger, in its encoded form.
type stateData struct {
	Now         LogTime
	Index       fleet.Index
	Version     fleet.Version
	Hash        string
	Out         []fleet.DataCentreName
	DataCentres []fleet.DataCentreName
	Retention   time.Duration
	// Texts holds the newest fleet texts, oldest first.
	Texts []textVersion
	// Changes holds the newest accepted changes, oldest first.
	Changes []fleet.Change
	// Operations holds the results of the newest operations, Order their ids from the oldest.
	Operations map[fleet.OperationID]operation
	Order      []fleet.OperationID
	Leases     map[fleet.LeaseName]lease
	Numbered   NumberedState
	// Rollouts has the newest roll-out of each service, by service, LastRollout the highest
	// number, and RolloutChanges counts the changes. Snapshots of earlier releases have none.
	Rollouts       []rolloutRecord     `json:",omitempty"`
	LastRollout    fleet.RolloutNumber `json:",omitempty"`
	RolloutChanges uint64              `json:",omitempty"`
}

// textVersion is the fleet text in force from a version on.
type textVersion struct {
	Version fleet.Version
	Hash    string
	Text    string
}

// operation is the first result of an operation.
type operation struct {
	// Content is a hash of the request, which distinguishes a resent request from another one.
	Content uint64
	Reply   fleet.ChangeReply
}

// lease is the durable state of a lease.
type lease struct {
	Holder      fleet.HostID
	Incarnation fleet.Incarnation
	Epoch       fleet.Epoch
	Duration    time.Duration
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.reset()
	return s
}

// Version returns the version of the accepted configuration, 0 before the first.
func (s *State) Version() fleet.Version { return s.data.Version }

// Index returns the index of the last command applied.
func (s *State) Index() fleet.Index { return s.data.Index }

func (s *State) reset() {
	s.data = stateData{
		Retention:  DefaultRetention,
		Operations: map[fleet.OperationID]operation{},
		Leases:     map[fleet.LeaseName]lease{},
	}
	s.ledger = newLedger()
}

// Apply implements quorum.StateMachine. The result is a fleet.ChangeReply, a
// fleet.LeaseState, a fleet.LedgerBeginReply, a fleet.LedgerEndReply, a
// fleet.PutConfigReply, a fleet.SetOutReply, a fleet.StartRolloutReply, a fleet.Rollout,
// superseded or nil.
func (s *State) Apply(index fleet.Index, command []byte) any {
	c, err := DecodeCommand(command)
	if !invariant.Check(err == nil, "CommandDecoded", "entry %d: %v", index, err) {
		return nil
	}
	if !invariant.Check(index > s.data.Index, "AppliedInOrder", "entry %d after entry %d", index, s.data.Index) {
		return nil
	}
	s.data.Index = index
	s.data.Now = max(s.data.Now, c.Now)
	return s.execute(&c)
}

func (s *State) execute(c *Command) any {
	switch {
	case c.Text != nil:
		return s.applyText(c)
	case c.Centre != nil:
		return s.applyDataCentre(c)
	case c.Lease != nil:
		return s.applyLease(c.Lease)
	case c.PutConfig != nil:
		return s.applyConfig(c.PutConfig)
	case c.SetOut != nil:
		return s.applyOut(c.SetOut)
	case c.StartRollout != nil:
		return s.applyStartRollout(c)
	case c.ChangeRollout != nil:
		return s.applyChangeRollout(c.ChangeRollout)
	case c.Begin != nil:
		return s.ledger.begin(c.Begin)
	case c.End != nil:
		return s.ledger.end(c.End, s.position())
	case c.Abandon != nil:
		s.ledger.abandon(c.Abandon, s.position())
	case c.Expire != nil:
		s.ledger.expire(c.Expire)
	}
	return nil
}

// applyLease changes the holder if the epoch is current. The proposer made sure that the
// former holder's lease has ended.
func (s *State) applyLease(c *LeaseCommand) fleet.LeaseState {
	l := s.data.Leases[c.Name]
	if l.Epoch == c.Epoch {
		if c.Holder != "" {
			l.Epoch++
		}
		l.Holder, l.Incarnation, l.Duration = c.Holder, c.Incarnation, c.Duration
		s.data.Leases[c.Name] = l
	}
	return fleet.LeaseState{Name: c.Name, Holder: l.Holder, Epoch: l.Epoch}
}

func (s *State) position() logPosition { return logPosition{index: s.data.Index, now: s.data.Now} }
