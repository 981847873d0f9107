// Package targets keeps what targets announced, from messages that come late, twice,
// and over several control hosts.
package targets

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Timing of what is remembered.
const (
	// endRetention is how long the end of a target is remembered. No announcement is
	// delayed for longer.
	endRetention = 60 * time.Second
	// unknownEndRetention is how long a target that ended without having been known may not
	// appear: its last announcements may be on their way.
	unknownEndRetention = 10 * time.Second
)

// Result says what an announcement changed.
type Result int

// The results of an announcement.
const (
	// Ignored announcements are older than what is known.
	Ignored Result = iota
	// Refreshed targets said the same as before.
	Refreshed
	// Changed targets are new, or said something else than before.
	Changed
)

// Entry is what is known of one target.
type Entry struct {
	fleet.Announcement
	// LastAnnounced is when the newest announcement was made, as far as known.
	LastAnnounced time.Time
	// ColdUntil is when the target is warm, by its own word.
	ColdUntil time.Time
}

// endRecord is the end of a target.
type endRecord struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// Directory holds the newest announcement of each target. It has no clock of its own
// and is used by one goroutine at a time.
type Directory struct {
	entries   map[fleet.TargetID]*Entry
	ended     map[fleet.TargetID]endRecord
	byAddress map[netip.AddrPort]fleet.TargetID
}

// New makes an empty Directory.
func New() *Directory {
	return &Directory{
		entries:   map[fleet.TargetID]*Entry{},
		ended:     map[fleet.TargetID]endRecord{},
		byAddress: map[netip.AddrPort]fleet.TargetID{},
	}
}

// newer says whether announcement a was made after b.
func newer(a, b *fleet.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Announce takes an announcement that was made at a moment.
func (d *Directory) Announce(made time.Time, a fleet.Announcement) Result {
	if d.hasEnded(made, &a) || d.isDisplaced(&a) {
		return Ignored
	}
	old := d.entries[a.Target]
	if old != nil && !newer(&a, &old.Announcement) {
		return Ignored
	}
	e := &Entry{Announcement: a, LastAnnounced: made, ColdUntil: made.Add(a.ColdFor)}
	d.entries[a.Target] = e
	if old != nil && old.Address != a.Address && d.byAddress[old.Address] == a.Target {
		delete(d.byAddress, old.Address)
	}
	if holder := d.byAddress[a.Address]; holder != "" && holder != a.Target {
		delete(d.entries, holder)
	}
	d.byAddress[a.Address] = a.Target
	if old != nil && sameState(&old.Announcement, &a) {
		return Refreshed
	}
	return Changed
}

// sameState says whether two announcements of a target tell the same, apart from the
// time that a cold one has left.
func sameState(a, b *fleet.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address &&
		a.Service == b.Service && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.ColdFor >= b.ColdFor && (a.ColdFor > 0) == (b.ColdFor > 0)
}

// hasEnded says whether an announcement is of a target that left since.
func (d *Directory) hasEnded(now time.Time, a *fleet.Announcement) bool {
	end, ok := d.ended[a.Target]
	if !ok {
		return false
	}
	if end.incarnation == 0 {
		return now.Sub(end.at) < unknownEndRetention
	}
	return a.Incarnation <= end.incarnation
}

// isDisplaced says whether a target that started later has the address.
func (d *Directory) isDisplaced(a *fleet.Announcement) bool {
	holder := d.entries[d.byAddress[a.Address]]
	return holder != nil && holder.Target != a.Target && holder.Address == a.Address && holder.Incarnation > a.Incarnation
}

// Refresh tells that a target announced the same as before at a moment.
func (d *Directory) Refresh(made time.Time, id fleet.TargetID) bool {
	e := d.entries[id]
	if e == nil {
		return false
	}
	if made.After(e.LastAnnounced) {
		e.LastAnnounced = made
	}
	return true
}

// End tells that a target left. The incarnation may be 0 when it is not known. It
// returns the end as it is to be passed on.
func (d *Directory) End(now time.Time, end fleet.TargetEnd) fleet.TargetEnd {
	e := d.entries[end.Target]
	if e != nil && (end.Incarnation == 0 || end.Incarnation >= e.Incarnation) {
		end.Incarnation = max(end.Incarnation, e.Incarnation)
		d.remove(e)
	}
	if old := d.ended[end.Target]; old.incarnation <= end.Incarnation {
		d.ended[end.Target] = endRecord{incarnation: end.Incarnation, at: now}
	}
	return end
}

func (d *Directory) remove(e *Entry) {
	delete(d.entries, e.Target)
	if d.byAddress[e.Address] == e.Target {
		delete(d.byAddress, e.Address)
	}
}

// Expire drops the targets that keep does not want and that were not heard since a
// moment, and returns them.
func (d *Directory) Expire(now, since time.Time, keep func(fleet.TargetID) bool) []fleet.TargetID {
	var out []fleet.TargetID
	for id, e := range d.entries {
		if e.LastAnnounced.Before(since) && !(keep != nil && keep(id)) {
			out = append(out, id)
			d.remove(e)
		}
	}
	for id, end := range d.ended {
		if now.Sub(end.at) > endRetention {
			delete(d.ended, id)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns what is known of a target, or nil.
func (d *Directory) Get(id fleet.TargetID) *Entry { return d.entries[id] }

// All returns all entries in the order of their ids.
func (d *Directory) All() []*Entry {
	out := make([]*Entry, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Entry) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return out
}

// Ends returns the ends that are remembered.
func (d *Directory) Ends() []fleet.TargetEnd {
	var out []fleet.TargetEnd
	for id, end := range d.ended {
		out = append(out, fleet.TargetEnd{Target: id, Incarnation: end.incarnation})
	}
	return out
}
