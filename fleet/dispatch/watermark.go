package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// relayMargin is the number of a target's announcements that may be in flight to the
// dispatcher.
const relayMargin = 2

// watermark marks an announcement that was surely made after a certain time, however slowly
// the routers relayed it.
type watermark struct {
	sequence fleet.Sequence
	heardAt  time.Time
}

// watermarkAfter returns the watermark of the given time. The target may have made several
// announcements since the last one that was heard.
func (t *target) watermarkAfter(at time.Time) watermark {
	made := max(0, at.Sub(t.heardAt)) / fleet.AnnounceInterval
	return watermark{
		sequence: t.newestSequence + fleet.Sequence(made) + relayMargin,
		heardAt:  at.Add(relayMargin * fleet.AnnounceInterval),
	}
}

// reached says whether the newest announcement or heartbeat is at least as new as w.
func (t *target) reached(w watermark) bool {
	return t.newestSequence >= w.sequence && !t.heardAt.Before(w.heardAt)
}

// listReached says whether the newest list of running requests is at least as new as w.
func (t *target) listReached(w watermark) bool {
	return t.last.Sequence >= w.sequence && !t.listHeardAt.Before(w.heardAt)
}
