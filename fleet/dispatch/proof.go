package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// relayMargin is the number of announcements that may be on their way to the dispatcher.
const relayMargin = 2

// proof names an announcement that was made after a certain moment, however slow the
// routers were to relay it.
type proof struct {
	sequence fleet.Sequence
	heardAt  time.Time
}

// proofAfter returns the announcement that proves what the target did at a moment. The
// target may have made several since the last one that was heard.
func (t *target) proofAfter(at time.Time) proof {
	made := max(0, at.Sub(t.heardAt)) / fleet.AnnounceInterval
	return proof{
		sequence: t.newest + fleet.Sequence(made) + relayMargin,
		heardAt:  at.Add(relayMargin * fleet.AnnounceInterval),
	}
}

// proves says whether the newest announcement is at least as new as p.
func (t *target) proves(p proof) bool {
	return t.newest >= p.sequence && !t.heardAt.Before(p.heardAt)
}

// listProves says whether the newest list of running requests is at least as new as p.
func (t *target) listProves(p proof) bool {
	return t.last.Sequence >= p.sequence && !t.wholeAt.Before(p.heardAt)
}
