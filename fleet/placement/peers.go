package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// peerRetention is how long a router that is no longer listed counts in the division of what all
// routers share. It may be cut off from the control hosts and go on using its part.
const peerRetention = 5 * time.Minute

// peers are the routers among which limits on the whole fleet are divided.
type peers struct {
	// listed is the newest list.
	listed []fleet.HostID
	// unlisted has the routers that have left the list, with the time at which they did.
	unlisted map[fleet.HostID]time.Time
	// all has both, ordered by ID.
	all []fleet.HostID
}

func newPeers() peers { return peers{unlisted: map[fleet.HostID]time.Time{}} }

// update replaces the list. A router that is not listening has lost its sources of the list, so
// that the other routers are not forgotten.
func (p *peers) update(now time.Time, listed []fleet.HostID, listening bool) {
	changed := !slices.Equal(listed, p.listed)
	if changed {
		for _, h := range p.listed {
			p.unlisted[h] = now
		}
		for _, h := range listed {
			delete(p.unlisted, h)
		}
		p.listed = listed
	}
	if listening {
		for h, since := range p.unlisted {
			if now.Sub(since) > peerRetention {
				delete(p.unlisted, h)
				changed = true
			}
		}
	}
	if changed {
		p.all = slices.Clone(listed)
		for h := range p.unlisted {
			p.all = append(p.all, h)
		}
		slices.Sort(p.all)
	}
}

// index returns the position of a router among all, or -1.
func (p *peers) index(h fleet.HostID) int {
	if i, ok := slices.BinarySearch(p.all, h); ok {
		return i
	}
	return -1
}

// count returns the number of routers, at least 1.
func (p *peers) count() int { return max(1, len(p.all)) }
