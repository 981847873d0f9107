package routing

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// fullPerSecond is the mean number of announcements per second that a router sends to a
// dispatcher in full because their prompt prefixes changed.
const fullPerSecond = 4

// AnnouncementRelay decides which announcements of targets are sent to a dispatcher in full,
// and which only as a heartbeat. Targets announce themselves twice a second; what changes
// most, their running requests, is needed by a dispatcher only when it requests it. The zero
// value is ready for use.
type AnnouncementRelay struct {
	// lastFull holds the last full announcement of each target.
	lastFull map[fleet.TargetID]sentAnnouncement
	// requested holds the targets whose next announcement must be full.
	requested map[fleet.TargetID]bool
}

// sentAnnouncement is the last announcement of a target that was sent in full.
type sentAnnouncement struct {
	fleet.Announcement
	sentAt time.Time
}

// Reset makes the next announcement of every target full. It is called when a dispatcher
// connects, and for a new lease holder, which needs the lists of running requests.
func (l *AnnouncementRelay) Reset() { *l = AnnouncementRelay{} }

// RequestFull makes the next announcement of each of the targets full.
func (l *AnnouncementRelay) RequestFull(ids []fleet.TargetID) {
	for _, id := range ids {
		if l.requested == nil {
			l.requested = map[fleet.TargetID]bool{}
		}
		l.requested[id] = true
	}
}

// AddToReport adds an announcement to a report, in full or as a heartbeat. targets is the
// number of targets that the router relays: the more there are, the less often a change of a
// target's prefixes alone is sent in full.
func (l *AnnouncementRelay) AddToReport(now time.Time, a *fleet.Announcement, targets int, rep *fleet.RouterReport) {
	if !l.needsFull(now, a, targets) {
		rep.Alive = append(rep.Alive, fleet.TargetAlive{Target: a.Target, Incarnation: a.Incarnation, Sequence: a.Sequence})
		return
	}
	if l.lastFull == nil {
		l.lastFull = map[fleet.TargetID]sentAnnouncement{}
	}
	l.lastFull[a.Target] = sentAnnouncement{Announcement: *a, sentAt: now}
	delete(l.requested, a.Target)
	rep.Targets = append(rep.Targets, *a)
}

// needsFull reports whether an announcement has to be sent in full.
func (l *AnnouncementRelay) needsFull(now time.Time, a *fleet.Announcement, targets int) bool {
	last, known := l.lastFull[a.Target]
	if !known || l.requested[a.Target] || !equalForPlacement(a, &last.Announcement) {
		return true
	}
	return !slices.Equal(a.Prefixes, last.Prefixes) && now.Sub(last.sentAt) >= time.Duration(targets)*time.Second/fullPerSecond
}

// equalForPlacement reports whether two announcements are equal in all that decides about new
// work, except for the prompt prefixes.
func equalForPlacement(a, b *fleet.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.DataCentre == b.DataCentre &&
		a.Address == b.Address && a.Slots == b.Slots && a.State == b.State
}

// Forget drops the state of a target that no longer announces itself.
func (l *AnnouncementRelay) Forget(id fleet.TargetID) {
	delete(l.lastFull, id)
	delete(l.requested, id)
}
