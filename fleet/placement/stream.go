package placement

import (
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// beginStream records and shares the origin of a stream that can be resumed.
func (r *Router) beginStream(k *call) {
	if k.origin != nil || !k.Route.ResumesStreams() {
		return
	}
	k.origin = &fleet.StreamOrigin{Stream: k.Request, Service: k.service, Version: k.currentVersion}
	if !k.Resuming {
		r.emit(StreamBegun{StreamOrigin: *k.origin})
	}
}

// resumeStream binds a call to the service and the software version that began the stream that
// it resumes. It returns false if these are unknown, or the route does not lead to the service
// any more. The targets that this router knows do not show the version, even if all have the same:
// others may have left, or not be known yet.
func (r *Router) resumeStream(k *call) bool {
	if k.Origin == nil {
		return false
	}
	k.origin, k.service = k.Origin, k.Origin.Service
	return k.Route.LeadsTo(k.service)
}

// fits reports whether a target can answer a call: it continues a stream only if it has the
// software version that began it.
func (k *call) fits(t *target) bool {
	return k.origin == nil || k.origin.Version == t.entry.SoftwareVersion
}
