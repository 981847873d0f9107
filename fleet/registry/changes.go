package registry

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Values of fleet.Change.Kind.
const (
	kindApply = "Apply"
	kindOut   = "DataCentreOut"
	kindIn    = "DataCentreIn"
)

// configChange is a compare-and-set of the configuration.
type configChange struct {
	operation fleet.OperationID
	// content is a hash of the request.
	content uint64
	// base is the version that the change is based on.
	base     fleet.Version
	operator string
	kind     string
	subject  string
	// invalid returns why the change is not allowed, or "". apply performs it.
	invalid func() string
	apply   func()
}

func (s *State) applyText(c *Command) fleet.ChangeReply {
	t := c.Text
	return s.compareAndSet(c.At, configChange{
		operation: t.Operation, content: hashApply(&t.ApplyRequest), base: t.Base,
		operator: t.Operator, kind: kindApply,
		invalid: func() string { return "" },
		apply:   func() { s.setText(t) },
	})
}

func (s *State) setText(t *TextCommand) {
	s.data.Hash = fleettext.Hash(t.Text)
	s.data.DataCentres = t.DataCentres
	s.data.Retention = t.Retention
	s.data.Out = slices.DeleteFunc(slices.Clone(s.data.Out), func(n fleet.DataCentreName) bool {
		return !slices.Contains(t.DataCentres, n)
	})
	s.data.Texts = append(s.data.Texts, textVersion{Version: s.data.Version, Hash: s.data.Hash, Text: t.Text})
	if n := len(s.data.Texts); n > maxTexts {
		s.data.Texts = slices.Clone(s.data.Texts[n-maxTexts:])
	}
}

func (s *State) applyDataCentre(c *Command) fleet.ChangeReply {
	d := c.Centre
	kind := kindIn
	if d.Out {
		kind = kindOut
	}
	return s.compareAndSet(c.At, configChange{
		operation: d.Operation, content: hashDataCentre(d), base: d.Base,
		operator: d.Operator, kind: kind, subject: string(d.DataCentre),
		invalid: func() string { return s.invalidDataCentre(d) },
		apply:   func() { s.setDataCentre(d) },
	})
}

// invalidDataCentre returns why the change is not allowed, or "".
func (s *State) invalidDataCentre(d *fleet.DataCentreRequest) string {
	switch {
	case !slices.Contains(s.data.DataCentres, d.DataCentre):
		return fmt.Sprintf("data centre %q does not exist in the fleet text", d.DataCentre)
	case d.Out == slices.Contains(s.data.Out, d.DataCentre) && d.Out:
		return fmt.Sprintf("data centre %q is out of service already", d.DataCentre)
	case d.Out == slices.Contains(s.data.Out, d.DataCentre):
		return fmt.Sprintf("data centre %q is in service already", d.DataCentre)
	}
	return ""
}

func (s *State) setDataCentre(d *fleet.DataCentreRequest) {
	out := slices.DeleteFunc(slices.Clone(s.data.Out), func(n fleet.DataCentreName) bool { return n == d.DataCentre })
	if d.Out {
		out = append(out, d.DataCentre)
		slices.Sort(out)
	}
	s.data.Out = out
}

// compareAndSet performs a change and records it in the history, unless its operation has a
// result already, its base is not the current version, or it is not allowed.
func (s *State) compareAndSet(at time.Time, c configChange) fleet.ChangeReply {
	if reply, known := s.operationReply(c.operation, c.content); known {
		return reply
	}
	reply := fleet.ChangeReply{Version: s.data.Version}
	if c.base != s.data.Version && !s.faults.SkipVersionCheck {
		reply.Conflict = &fleet.Conflict{Base: c.base, Current: s.data.Version}
		return s.recordResult(c, reply)
	}
	if reply.Invalid = c.invalid(); reply.Invalid != "" {
		return s.recordResult(c, reply)
	}
	s.data.Version++
	reply.Accepted, reply.Version = true, s.data.Version
	c.apply()
	s.data.Changes = append(s.data.Changes, fleet.Change{
		Version: s.data.Version, Operation: c.operation, Operator: c.operator,
		Kind: c.kind, Subject: c.subject, At: at,
	})
	if n := len(s.data.Changes); n > maxChanges {
		s.data.Changes = slices.Clone(s.data.Changes[n-maxChanges:])
	}
	return s.recordResult(c, reply)
}

// operationReply returns the recorded result of an operation, and false if there is none. A
// request with other content under the same id is invalid.
func (s *State) operationReply(id fleet.OperationID, content uint64) (fleet.ChangeReply, bool) {
	op, known := s.data.Operations[id]
	known = known && !s.faults.SkipDeduplication
	if known && op.Content != content {
		return fleet.ChangeReply{
			Version: s.data.Version,
			Invalid: fmt.Sprintf("operation %q was used for another change", id),
		}, true
	}
	return op.Reply, known
}

// recordResult records the first result of an operation and drops the oldest beyond
// maxOperations.
func (s *State) recordResult(c configChange, reply fleet.ChangeReply) fleet.ChangeReply {
	_, known := s.data.Operations[c.operation]
	known = known && !s.faults.SkipDeduplication
	if !invariant.Check(!known, "OneResultPerOperation", "operation %q got a second result", c.operation) {
		return reply
	}
	s.data.Operations[c.operation] = operation{Content: c.content, Reply: reply}
	s.data.Order = append(s.data.Order, c.operation)
	if n := len(s.data.Order); n > maxOperations {
		delete(s.data.Operations, s.data.Order[0])
		s.data.Order = slices.Clone(s.data.Order[1:])
	}
	return reply
}

// hashApply hashes a request to apply a text, for operation.Content.
func hashApply(r *fleet.ApplyRequest) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d %s", kindApply, r.Base, r.Text))
}

// hashDataCentre hashes a request for a data centre, for operation.Content.
func hashDataCentre(r *fleet.DataCentreRequest) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("DataCentre %d %s %t", r.Base, r.DataCentre, r.Out))
}
