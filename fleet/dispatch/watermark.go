package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// relayMargin is the number of a target's announcements that may be in flight to the
// dispatcher.
const relayMargin = 2

// watermark identifies the first announcement that was certainly made after a given time,
// however long the routers took to relay it.
type watermark struct {
	sequence fleet.Sequence
	heardAt  time.Time
}

// watermarkAfter returns the watermark of the given time. The target may have made several
// announcements since the last one that arrived.
func (t *target) watermarkAfter(at time.Time) watermark {
	made := max(0, at.Sub(t.heardAt)) / fleet.AnnounceInterval
	return watermark{
		sequence: t.newestSequence + fleet.Sequence(made) + relayMargin,
		heardAt:  at.Add(relayMargin * fleet.AnnounceInterval),
	}
}

// reached reports whether the newest announcement or heartbeat is at least as new as w.
func (t *target) reached(w watermark) bool {
	return t.newestSequence >= w.sequence && !t.heardAt.Before(w.heardAt)
}

// listReached reports whether the newest list of running requests is at least as new as w.
func (t *target) listReached(w watermark) bool {
	return t.last.Sequence >= w.sequence && !t.listHeardAt.Before(w.heardAt)
}
