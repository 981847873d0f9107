// Package targets keeps the newest announcement of each target. Announcements may arrive
// late, out of order, repeatedly and through several control hosts.
package targets

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// endRetention is how long the end of a target is recorded. Announcements are not
	// delayed for longer.
	endRetention = 60 * time.Second
	// unknownEndRetention is how long announcements of a target are ignored after it ended
	// in an unknown incarnation, since its last announcements may still arrive.
	unknownEndRetention = 10 * time.Second
	// maxTargets bounds the targets, the ends and the software versions that are kept, far above the number
	// in any deployment, so that calls with ever new names take no more memory.
	maxTargets = 8192
	// versionRetention is how long a software version is remembered that has no targets any more.
	versionRetention = 10 * time.Minute
)

// Result is the effect of an announcement on the Directory.
type Result int

// The results of an announcement.
const (
	// Ignored means that the announcement is outdated.
	Ignored Result = iota
	// Refreshed means that the target announced the same as before.
	Refreshed
	// Changed means that the target is new or announced something else than before.
	Changed
)

// Entry is the newest announcement of one target.
type Entry struct {
	fleet.Announcement
	// LastAnnounced is when the newest announcement was made, by the local clock.
	LastAnnounced time.Time
	// ColdUntil is when the target will be warm, according to its announcement.
	ColdUntil time.Time
}

// endRecord records that a target ended. The incarnation is 0 if it is unknown.
type endRecord struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// Directory holds the newest announcement of each target. It reads no clock and is not
// safe for concurrent use.
type Directory struct {
	entries map[fleet.TargetID]*Entry
	ended   map[fleet.TargetID]endRecord
	// unused has the targets that expired or were set aside. Others may still know them, and say no
	// more of them than that they announced the same as before.
	unused    map[fleet.TargetID]unusedEntry
	byAddress map[netip.AddrPort]fleet.TargetID
	// seenAt has when a target of each software version of a service last announced itself or
	// ended.
	seenAt map[serviceVersion]time.Time
}

// unusedEntry is an entry that the owner of a Directory stopped using by itself, until a newer word of the
// target arrives.
type unusedEntry struct {
	*Entry
	at time.Time
}

// serviceVersion is a software version of a service.
type serviceVersion struct {
	service fleet.ServiceName
	version fleet.SoftwareVersion
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		entries:   map[fleet.TargetID]*Entry{},
		ended:     map[fleet.TargetID]endRecord{},
		unused:    map[fleet.TargetID]unusedEntry{},
		byAddress: map[netip.AddrPort]fleet.TargetID{},
		seenAt:    map[serviceVersion]time.Time{},
	}
}

// Admits reports whether an announcement can be kept: there are not too many targets and software versions,
// or it has no new one.
func (d *Directory) Admits(a *fleet.Announcement) bool {
	_, known := d.seenAt[serviceVersion{a.Service, a.SoftwareVersion}]
	return (known || len(d.seenAt) < maxTargets) && (d.entries[a.Target] != nil || len(d.entries) < maxTargets)
}

// AdmitsEnd reports whether the end of a target can be kept.
func (d *Directory) AdmitsEnd(id fleet.TargetID) bool {
	_, known := d.ended[id]
	return known || d.entries[id] != nil || len(d.ended) < maxTargets
}

// newer reports whether announcement a was made after b.
func newer(a, b *fleet.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Announce stores an announcement that was made at the given time. An older target at the
// same address is removed.
func (d *Directory) Announce(made time.Time, a fleet.Announcement) Result {
	if d.hasEnded(made, &a) || d.isDisplaced(&a) || d.isSetAside(made, &a) {
		return Ignored
	}
	old := d.entries[a.Target]
	if old != nil && !newer(&a, &old.Announcement) {
		return Ignored
	}
	e := &Entry{Announcement: a, LastAnnounced: made, ColdUntil: made.Add(a.ColdFor)}
	d.see(made, e)
	d.entries[a.Target] = e
	delete(d.unused, a.Target)
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

// sameState reports whether two announcements of a target are the same. The remaining time
// of a cold target may have become shorter.
func sameState(a, b *fleet.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address &&
		a.Service == b.Service && a.SoftwareVersion == b.SoftwareVersion && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.ColdFor >= b.ColdFor && (a.ColdFor > 0) == (b.ColdFor > 0)
}

// hasEnded reports whether an announcement is from an incarnation that has ended.
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

// isDisplaced reports whether another target that started later has the announced address.
func (d *Directory) isDisplaced(a *fleet.Announcement) bool {
	holder := d.entries[d.byAddress[a.Address]]
	return holder != nil && holder.Target != a.Target && holder.Address == a.Address && holder.Incarnation > a.Incarnation
}

// isSetAside reports whether an announcement is from before its target was set aside.
func (d *Directory) isSetAside(made time.Time, a *fleet.Announcement) bool {
	u, ok := d.unused[a.Target]
	return ok && a.Incarnation <= u.Incarnation && !made.After(u.at)
}

// Refresh records that a target announced the same as before at the given time. A target that expired or
// was set aside before that time is used again: the result is Changed. It is Ignored if the target has
// never been known, has ended, or its address is another target's.
func (d *Directory) Refresh(made time.Time, id fleet.TargetID) Result {
	e, result := d.entries[id], Refreshed
	if e == nil {
		u, ok := d.unused[id]
		if !ok || !made.After(u.at) || d.byAddress[u.Address] != "" {
			return Ignored
		}
		e, result = u.Entry, Changed
		delete(d.unused, id)
		d.entries[id], d.byAddress[e.Address] = e, id
	}
	if made.After(e.LastAnnounced) {
		e.LastAnnounced = made
		d.see(made, e)
	}
	return result
}

// SetAside removes a target that was found not to be at its address, until it announces itself after now.
func (d *Directory) SetAside(now time.Time, id fleet.TargetID) {
	if e := d.entries[id]; e != nil {
		d.remove(e)
		d.keepUnused(now, e)
	}
}

func (d *Directory) keepUnused(now time.Time, e *Entry) {
	if len(d.unused) < maxTargets {
		d.unused[e.Target] = unusedEntry{Entry: e, at: now}
	}
}

// End removes a target that has ended. The incarnation is 0 if it is unknown. End returns
// the end to pass on, with the incarnation filled in from the target's entry.
func (d *Directory) End(now time.Time, end fleet.TargetEnd) fleet.TargetEnd {
	e := d.entries[end.Target]
	if e != nil && (end.Incarnation == 0 || end.Incarnation >= e.Incarnation) {
		end.Incarnation = max(end.Incarnation, e.Incarnation)
		d.see(now, e)
		d.remove(e)
	}
	if u, ok := d.unused[end.Target]; ok && (end.Incarnation == 0 || end.Incarnation >= u.Incarnation) {
		end.Incarnation = max(end.Incarnation, u.Incarnation)
		delete(d.unused, end.Target)
	}
	if old := d.ended[end.Target]; old.incarnation <= end.Incarnation {
		d.ended[end.Target] = endRecord{incarnation: end.Incarnation, at: now}
	}
	return end
}

// see records that a target of a software version was there at a time.
func (d *Directory) see(at time.Time, e *Entry) {
	v := serviceVersion{e.Service, e.SoftwareVersion}
	if at.After(d.seenAt[v]) {
		d.seenAt[v] = at
	}
}

// Versions returns the software versions of the targets of a service that were there at since or
// later, for at most versionRetention, sorted.
func (d *Directory) Versions(service fleet.ServiceName, since time.Time) []fleet.SoftwareVersion {
	var out []fleet.SoftwareVersion
	for v, at := range d.seenAt {
		if v.service == service && !at.Before(since) {
			out = append(out, v.version)
		}
	}
	slices.Sort(out)
	return out
}

func (d *Directory) remove(e *Entry) {
	delete(d.entries, e.Target)
	if d.byAddress[e.Address] == e.Target {
		delete(d.byAddress, e.Address)
	}
}

// Expire removes the targets whose last announcement was before since, except for those
// for which keep returns true, and returns their IDs, sorted. keep may be nil. A removed target
// that announces itself again is used again.
func (d *Directory) Expire(now, since time.Time, keep func(fleet.TargetID) bool) []fleet.TargetID {
	var out []fleet.TargetID
	for id, e := range d.entries {
		if e.LastAnnounced.Before(since) && !(keep != nil && keep(id)) {
			out = append(out, id)
			d.remove(e)
			d.keepUnused(e.LastAnnounced, e)
		}
	}
	for id, end := range d.ended {
		if now.Sub(end.at) > endRetention {
			delete(d.ended, id)
		}
	}
	for id, u := range d.unused {
		if now.Sub(u.at) > endRetention {
			delete(d.unused, id)
		}
	}
	for v, at := range d.seenAt {
		if now.Sub(at) > versionRetention {
			delete(d.seenAt, v)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns the entry of a target, or nil.
func (d *Directory) Get(id fleet.TargetID) *Entry { return d.entries[id] }

// All returns all entries, sorted by target ID.
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

// Ends returns the recorded ends, in no particular order.
func (d *Directory) Ends() []fleet.TargetEnd {
	var out []fleet.TargetEnd
	for id, end := range d.ended {
		out = append(out, fleet.TargetEnd{Target: id, Incarnation: end.incarnation})
	}
	return out
}
