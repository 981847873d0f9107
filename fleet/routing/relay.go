package routing

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// wholePerSecond is the mean number of announcements that a router passes on whole to a
// dispatcher for the sake of the prompt prefixes that they list.
const wholePerSecond = 4

// AnnouncementRelay decides which announcements of targets a dispatcher gets whole. A target repeats
// itself twice a second; what changes most, its running requests, matters to a dispatcher
// only when it asks. The zero value is ready for use.
type AnnouncementRelay struct {
	told  map[fleet.TargetID]toldTarget
	asked map[fleet.TargetID]bool
}

// toldTarget is the last announcement of a target that was passed on whole.
type toldTarget struct {
	fleet.Announcement
	at time.Time
}

// Reset forgets what was told, for a dispatcher that is connected anew, and for a new lease
// holder, which needs to know what runs.
func (l *AnnouncementRelay) Reset() { *l = AnnouncementRelay{} }

// RequestFull makes the next announcements of targets whole.
func (l *AnnouncementRelay) RequestFull(ids []fleet.TargetID) {
	for _, id := range ids {
		if l.asked == nil {
			l.asked = map[fleet.TargetID]bool{}
		}
		l.asked[id] = true
	}
}

// AddToReport adds an announcement to a report, whole or as a sign of life. The targets are the
// number that the router relays.
func (l *AnnouncementRelay) AddToReport(now time.Time, a *fleet.Announcement, targets int, rep *fleet.RouterReport) {
	if !l.needsWhole(now, a, targets) {
		rep.Alive = append(rep.Alive, fleet.TargetAlive{Target: a.Target, Incarnation: a.Incarnation, Sequence: a.Sequence})
		return
	}
	if l.told == nil {
		l.told = map[fleet.TargetID]toldTarget{}
	}
	l.told[a.Target] = toldTarget{Announcement: *a, at: now}
	delete(l.asked, a.Target)
	rep.Targets = append(rep.Targets, *a)
}

func (l *AnnouncementRelay) needsWhole(now time.Time, a *fleet.Announcement, targets int) bool {
	last, known := l.told[a.Target]
	if !known || l.asked[a.Target] || !sameOffer(a, &last.Announcement) {
		return true
	}
	return !slices.Equal(a.Prefixes, last.Prefixes) && now.Sub(last.at) >= time.Duration(targets)*time.Second/wholePerSecond
}

// sameOffer says whether two announcements differ in nothing that decides about new work
// besides the prompt prefixes.
func sameOffer(a, b *fleet.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.DataCentre == b.DataCentre &&
		a.Address == b.Address && a.Slots == b.Slots && a.State == b.State
}

// Forget drops a target that is not heard any more.
func (l *AnnouncementRelay) Forget(id fleet.TargetID) {
	delete(l.told, id)
	delete(l.asked, id)
}
