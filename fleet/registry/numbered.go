package registry

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// readTimeout bounds the wait of a read for a majority. A caller that hears nothing for
// longer asks another replica.
const readTimeout = 900 * time.Millisecond

// NumberedState is the part of the state whose versions the operators number themselves.
type NumberedState struct {
	// Revision counts the changes of Config and Out.
	Revision fleet.Revision
	Config   fleet.NumberedConfig
	// Out lists the data centres taken out of service, sorted.
	Out []fleet.DataCentreName
}

// NumberedChanged tells that a replica knows a newer committed state.
type NumberedChanged struct {
	NumberedState
}

// EffectName implements fleet.Effect.
func (NumberedChanged) EffectName() string { return "NumberedChanged" }

// read is a request that waits until a majority has confirmed the leader.
type read struct {
	call  CallID
	known fleet.ConfigNumber
	since time.Time
}

// Numbered returns the committed numbered configuration and data centres out.
func (s *State) Numbered() NumberedState { return s.data.Numbered }

func (s *State) applyConfig(c *fleet.PutConfigRequest) fleet.PutConfigReply {
	n := &s.data.Numbered
	if c.Number > n.Config.Number {
		n.Config = c.NumberedConfig
		n.Revision++
	}
	return fleet.PutConfigReply{Number: n.Config.Number}
}

func (s *State) applyOut(c *fleet.SetOutRequest) fleet.SetOutReply {
	n := &s.data.Numbered
	i, isOut := slices.BinarySearch(n.Out, c.DataCentre)
	switch {
	case c.Out && !isOut:
		n.Out = slices.Insert(slices.Clone(n.Out), i, c.DataCentre)
	case !c.Out && isOut:
		n.Out = slices.Delete(slices.Clone(n.Out), i, i+1)
	default:
		return fleet.SetOutReply{Revision: n.Revision}
	}
	n.Revision++
	return fleet.SetOutReply{Revision: n.Revision}
}

// askNumbered handles the requests for numbered configurations and says whether r is one.
func (s *Server) askNumbered(id CallID, r *Request) bool {
	switch {
	case r.PutConfig != nil:
		s.askPutConfig(id, r.PutConfig)
	case r.SetOut != nil:
		if s.leads(id) {
			s.propose(waiter{call: id}, Command{SetOut: r.SetOut})
		}
	case r.ReadConfig != nil:
		s.askReadConfig(id, r.ReadConfig)
	default:
		return false
	}
	return true
}

// askPutConfig answers at once when the configuration has been overtaken: what this
// replica has applied is committed, so that holds whoever leads.
func (s *Server) askPutConfig(id CallID, r *fleet.PutConfigRequest) {
	if held := s.state.data.Numbered.Config.Number; held > 0 && r.Number <= held {
		s.answer(id, &fleet.PutConfigReply{Number: held})
		return
	}
	if s.leads(id) {
		s.propose(waiter{call: id}, Command{PutConfig: r})
	}
}

// askReadConfig answers after a majority has confirmed this leader since the request
// arrived. A lease would not do: a suspended host does not see its lease run out.
func (s *Server) askReadConfig(id CallID, r *fleet.ReadConfigRequest) {
	if !s.leads(id) {
		return
	}
	s.reads = append(s.reads, read{call: id, known: r.Known, since: s.now})
	s.drive(quorum.ConfirmLeadership{})
}

// settleReads answers the reads that are confirmed, and fails those that will not be.
func (s *Server) settleReads() {
	waiting := s.reads[:0]
	for _, w := range s.reads {
		switch {
		case !s.replica.Ready() || s.now.Sub(w.since) > readTimeout:
			s.fail(w.call, fleet.CodeUnavailable, "no majority confirmed the newest configuration in time")
		case s.replica.ConfirmedSince(w.since):
			s.answerRead(w)
		default:
			waiting = append(waiting, w)
		}
	}
	s.reads = waiting
}

func (s *Server) answerRead(w read) {
	config := s.state.data.Numbered.Config
	if config.Number == w.known {
		config.Text = nil
	}
	s.answer(w.call, &fleet.ReadConfigReply{NumberedConfig: config})
}

// announceNumbered tells once of each newer state.
func (s *Server) announceNumbered() {
	n := s.state.data.Numbered
	if n.Revision <= s.announced {
		return
	}
	s.announced = n.Revision
	s.out = append(s.out, NumberedChanged{NumberedState: n})
}
