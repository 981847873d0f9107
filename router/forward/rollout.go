package forward

import (
	"expvar"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

var (
	// rolloutSides counts the attempts at services with an active roll-out by their side,
	// rolloutChanges the changes of roll-outs by the state that this router then applies.
	rolloutSides   = expvar.NewMap("ForwardRolloutSides")
	rolloutChanges = expvar.NewMap("ForwardRolloutChanges")
)

// suspended is the key of rolloutChanges for an active roll-out that is suspended.
const suspended = "Suspended"

// countSide counts an attempt by its side of a roll-out.
func countSide(b *placement.RolloutBasis) {
	if b.Side != "" {
		rolloutSides.Add(string(b.Side), 1)
	}
}

// appendRollout appends the log attributes of an active roll-out.
func appendRollout(attrs []any, b *placement.RolloutBasis) []any {
	if b.Side == "" {
		return attrs
	}
	return append(attrs, logevent.FieldRolloutSide, string(b.Side), logevent.FieldRollout, uint64(b.Number),
		logevent.FieldRolloutRevision, b.Revision, logevent.FieldRolloutShare, b.Share, logevent.FieldRolloutAge, b.Age.Milliseconds())
}

// logRollouts counts and logs the changes of roll-outs among the effects.
func (f *Forwarder) logRollouts(effects []fleet.Effect) {
	for _, e := range effects {
		a, ok := e.(placement.RolloutApplied)
		if !ok {
			continue
		}
		key := string(a.State)
		if a.Suspended {
			key = suspended
		}
		rolloutChanges.Add(key, 1)
		f.cfg.Log.Info(logevent.RolloutApplied, "service", string(a.Service), logevent.FieldSoftwareVersion, string(a.To),
			logevent.FieldRollout, uint64(a.Number), logevent.FieldRolloutRevision, a.Revision, "state", string(a.State),
			logevent.FieldRolloutShare, a.AppliedShare, "namedShare", a.Share, "suspended", a.Suspended,
			logevent.FieldRolloutAge, a.Age.Milliseconds(), "leftMs", a.Left.Milliseconds())
	}
}
