package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// lateAnswerFactor and lateAnswerMargin are how many times as late as expected, and by how
	// much, an answer must be for its source to be backed off. The margin is the shortest goal of
	// a route to an engine: the answer has less value from then on.
	lateAnswerFactor, lateAnswerMargin = 3, 300 * time.Millisecond
	// minSourceBackOff and maxSourceBackOff bound the exponential back-off of a source. A hung
	// target is found to be so, or ends, within seconds.
	minSourceBackOff, maxSourceBackOff = time.Second, 8 * time.Second
)

// TransferOutcome tells how an answer came whose target was asked to fetch a part from a source.
type TransferOutcome string

// The outcomes of transfers.
const (
	// TransferInTime means that the answer began about when it was expected.
	TransferInTime TransferOutcome = "InTime"
	// TransferLate means that the answer began, or the request ended without one, much later than
	// expected.
	TransferLate TransferOutcome = "Late"
	// TransferBroken means that the answer broke off before it was sustained.
	TransferBroken TransferOutcome = "Broken"
)

// TransferEnded is the effect of counting a transfer, and of logging that its source is not named
// for a time.
type TransferEnded struct {
	Source  fleet.TargetID
	Target  fleet.TargetID
	Outcome TransferOutcome
	// Waited is the time from the write of the request to the outcome, Expected the expected time
	// to the first byte.
	Waited, Expected time.Duration
	// BackOff is for how long the source is not named; 0 if it goes on being named.
	BackOff time.Duration
}

// EffectName implements fleet.Effect.
func (TransferEnded) EffectName() string { return "TransferEnded" }

// beginTransfer records a call that is sent and names a source.
func (r *Router) beginTransfer(k *call) {
	if k.source == nil {
		return
	}
	s := &k.source.transfers
	if s.awaited == nil {
		s.awaited = map[CallID]*call{}
	}
	s.awaited[k.ID] = k
}

// transferAnswered evaluates the time at which an answer to a call with a source began. An error
// does not tell whether the part was fetched.
func (r *Router) transferAnswered(k *call, failed bool) {
	if k.source == nil {
		return
	}
	delete(k.source.transfers.awaited, k.ID)
	switch {
	case failed:
	case r.isLateAnswer(k):
		r.endTransfer(k, TransferLate)
	default:
		r.endTransfer(k, TransferInTime)
	}
}

// transferAttemptEnded evaluates the end of an attempt with a source.
func (r *Router) transferAttemptEnded(k *call, o Outcome) {
	if k.source == nil {
		return
	}
	delete(k.source.transfers.awaited, k.ID)
	switch o {
	case Broken, Truncated:
		if !k.answerSustained {
			r.endTransfer(k, TransferBroken)
		}
	case Expired, CallerGone:
		if !k.answerBegun && r.isLateAnswer(k) {
			r.endTransfer(k, TransferLate)
		}
	}
	k.source = nil
}

// isLateAnswer reports whether the answer to a call, if it began now, would be much later than
// expected, less what this router's own delay may be (see serviceSlowness).
func (r *Router) isLateAnswer(k *call) bool {
	waited := time.Duration(float64(r.now.Sub(k.sentAt)) * k.trust)
	return waited > lateAnswerFactor*k.expectedFirstByte && waited > k.expectedFirstByte+lateAnswerMargin
}

// endTransfer updates the back-off of a call's source, unless it has another incarnation now.
func (r *Router) endTransfer(k *call, o TransferOutcome) {
	s := &k.source.transfers
	out := TransferEnded{Source: k.source.id, Target: k.current.id, Outcome: o, Waited: r.now.Sub(k.sentAt), Expected: k.expectedFirstByte}
	if k.source.incarnation == k.sourceIncarnation {
		if o == TransferInTime {
			s.backOffs = 0
		} else {
			out.BackOff = min(maxSourceBackOff, minSourceBackOff<<min(s.backOffs, 8))
			s.backOffs++
			s.backedOffUntil = r.now.Add(out.BackOff)
		}
	}
	r.emit(out)
}

// isBackedOff reports whether a target is not to be named as a source: answers with it came late or
// broke off, or are late now.
func (r *Router) isBackedOff(t *target) bool {
	if r.now.Before(t.transfers.backedOffUntil) {
		return true
	}
	for _, k := range t.transfers.awaited {
		if r.isLateAnswer(k) {
			return true
		}
	}
	return false
}
