package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

// applyNotice updates the targets from announcements.
func (r *Router) applyNotice(n *fleet.TargetsNotice) {
	r.noticeAt = r.now
	for _, h := range n.Announced {
		if r.directory.Announce(r.now.Add(-h.Age), h.Announcement) != targets.Ignored {
			r.resetRestarted(h.Target, h.Incarnation)
		}
	}
	restored := 0
	for _, id := range n.Alive {
		if r.directory.Refresh(r.now, id) == targets.Changed {
			restored++
		}
	}
	for _, end := range n.Ended {
		r.directory.End(r.now, end)
	}
	if len(n.Announced)+len(n.Ended)+restored > 0 {
		r.rebuildIndex()
		r.noteReplacedVersions()
	}
}

// resetRestarted resets the statistics of a target that has a new incarnation.
func (r *Router) resetRestarted(id fleet.TargetID, inc fleet.Incarnation) {
	if t := r.targets[id]; t != nil && t.incarnation != inc {
		t.reset(inc)
	}
}

// rebuildIndex updates targets and services from the directory.
func (r *Router) rebuildIndex() {
	seen := map[fleet.TargetID]bool{}
	r.services = map[fleet.ServiceName][]*target{}
	for _, e := range r.directory.All() {
		t := r.targets[e.Target]
		if t == nil {
			t = newTarget(e.Target, e.Incarnation)
			r.targets[e.Target] = t
		}
		t.entry, t.goneAt = e, time.Time{}
		t.noteState(r.now)
		seen[e.Target] = true
		r.services[e.Service] = append(r.services[e.Service], t)
	}
	for id, t := range r.targets {
		if seen[id] {
			continue
		}
		if t.entry != nil {
			t.entry, t.goneAt = nil, r.now
		}
		if t.running == 0 && (!t.leaving || r.now.Sub(t.goneAt) > leavingRetention) {
			delete(r.targets, id)
		}
	}
}
