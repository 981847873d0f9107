package feed

import "github.com/fuchsiashed/fuchsiashed/fleet"

// Status is the router's view of the deployment, published with its metrics under the
// names of these fields.
type Status struct {
	// Number is that of the configuration in force; AgeMs is how long it has been in
	// force.
	Number   fleet.ConfigNumber
	AgeMs    int64
	Revision fleet.Revision
	Controls []string
	Leader   fleet.HostID
	Routers  int
	Stopping bool
}

// Status returns the router's current view of the deployment.
func (f *Follower) Status() Status {
	leader, _ := f.loadCollector()
	connected := f.clients.Connected()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Revision: f.revision, Routers: len(f.routers), Stopping: f.stopping}
	if f.config != nil {
		s.Number, s.AgeMs = f.config.Number, f.cfg.Clock.Now().Sub(f.configAt).Milliseconds()
	}
	for _, addr := range connected {
		s.Controls = append(s.Controls, addr.String())
	}
	if leader.IsValid() {
		s.Leader = fleet.HostID(leader.String())
	}
	return s
}
