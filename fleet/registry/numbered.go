package registry

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// readTimeout bounds how long a read waits for a majority. It is
// shorter than the time after which a caller asks another replica.
const readTimeout = 900 * time.Millisecond

// NumberedState is the part of the state that holds a configuration with a number chosen by
// the operators.
type NumberedState struct {
	// Revision counts the changes of Config and Out.
	Revision fleet.Revision
	// Config is the accepted configuration with the highest number.
	Config fleet.NumberedConfig
	// Out lists the data centres out of service, sorted.
	Out []fleet.DataCentreName
	// OutRevision counts the committed SetOutRequests.
	OutRevision fleet.OutRevision
}

// NumberedChanged reports a newly committed NumberedState.
type NumberedChanged struct {
	NumberedState
}

// EffectName implements fleet.Effect.
func (NumberedChanged) EffectName() string { return "NumberedChanged" }

// pendingRead is a read that waits for a majority to confirm the leader.
type pendingRead struct {
	call  CallID
	known fleet.ConfigNumber
	since time.Time
	// rollouts is true for a read of the roll-outs instead of the configuration.
	rollouts bool
}

// Numbered returns the committed numbered configuration and data centres out of service.
func (s *State) Numbered() NumberedState { return s.data.Numbered }

// applyConfig accepts a configuration with a higher number than the current one, and replies
// with the number then in force.
func (s *State) applyConfig(c *fleet.PutConfigRequest) fleet.PutConfigReply {
	n := &s.data.Numbered
	if c.Number > n.Config.Number {
		n.Config = c.NumberedConfig
		n.Revision++
	}
	return fleet.PutConfigReply{Number: n.Config.Number}
}

// superseded is the result of a command that has no effect, since another one was committed
// after the state that it is based on.
type superseded struct{}

// applyOut takes a data centre out of service or back in. The result is a fleet.SetOutReply or
// superseded.
func (s *State) applyOut(c *fleet.SetOutRequest) any {
	n := &s.data.Numbered
	if c.Base != nil && *c.Base != n.OutRevision {
		return superseded{}
	}
	n.OutRevision++
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

// handleNumbered handles requests for the numbered state, and reports whether r is one.
func (s *Server) handleNumbered(id CallID, r *Request) bool {
	switch {
	case r.PutConfig != nil:
		s.handlePutConfig(id, r.PutConfig)
	case r.SetOut != nil:
		if s.requireLease(id) {
			s.propose(pendingRequest{call: id}, Command{SetOut: r.SetOut})
		}
	case r.ReadConfig != nil:
		s.handleReadConfig(id, r.ReadConfig)
	default:
		return false
	}
	return true
}

// handlePutConfig answers at once if a configuration with this or a higher number has been
// applied. That needs no lease, since what is applied is committed under any leader.
func (s *Server) handlePutConfig(id CallID, r *fleet.PutConfigRequest) {
	if held := s.state.data.Numbered.Config.Number; held > 0 && r.Number <= held {
		s.answer(id, &fleet.PutConfigReply{Number: held})
		return
	}
	if s.requireLease(id) {
		s.propose(pendingRequest{call: id}, Command{PutConfig: r})
	}
}

// handleReadConfig answers once a majority has confirmed this leader after the request
// arrived.
func (s *Server) handleReadConfig(id CallID, r *fleet.ReadConfigRequest) {
	s.read(pendingRead{call: id, known: r.Known})
}

// completeReads answers the confirmed reads and fails those past readTimeout or without a
// ready leader.
func (s *Server) completeReads() {
	waiting := s.pendingReads[:0]
	for _, read := range s.pendingReads {
		switch {
		case !s.replica.Ready() || s.now.Sub(read.since) > readTimeout:
			s.fail(read.call, fleet.CodeUnavailable, "no majority confirmed the newest state in time")
		case s.replica.ConfirmedSince(read.since) && read.rollouts:
			s.answerRollouts(read.call)
		case s.replica.ConfirmedSince(read.since):
			s.answerRead(read)
		default:
			waiting = append(waiting, read)
		}
	}
	s.pendingReads = waiting
}

// answerRead answers a confirmed read; the text is left out if the caller has it.
func (s *Server) answerRead(read pendingRead) {
	n := s.state.data.Numbered
	if n.Config.Number == read.known {
		n.Config.Text = nil
	}
	s.answer(read.call, &fleet.ReadConfigReply{NumberedConfig: n.Config, OutRevision: n.OutRevision})
}

// announceNumbered emits NumberedChanged once per revision.
func (s *Server) announceNumbered() {
	n := s.state.data.Numbered
	if n.Revision <= s.announcedRevision {
		return
	}
	s.announcedRevision = n.Revision
	s.out = append(s.out, NumberedChanged{NumberedState: n})
}
