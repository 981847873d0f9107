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
// any more. A caller that does not name the stream is served while the service has only one
// version.
func (r *Router) resumeStream(k *call) bool {
	switch {
	case k.Origin != nil:
		k.origin, k.service = k.Origin, k.Origin.Service
		return k.Route.LeadsTo(k.service)
	case k.Resumes == "":
		return r.hasOneVersion(k.service)
	}
	return false
}

// hasOneVersion reports whether all known targets of a service have the same software version.
func (r *Router) hasOneVersion(service fleet.ServiceName) bool {
	for _, t := range r.services[service] {
		if t.entry.SoftwareVersion != r.services[service][0].entry.SoftwareVersion {
			return false
		}
	}
	return true
}

// fits reports whether a target can answer a call: it continues a stream only if it has the
// software version that began it.
func (k *call) fits(t *target) bool {
	return k.origin == nil || k.origin.Version == t.entry.SoftwareVersion
}
