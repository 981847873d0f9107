package feed

import "github.com/fuchsiashed/fuchsiashed/fleet"

// Status is what a router believes of the deployment, for its metrics.
type Status struct {
	// Number is that of the configuration in force, Age the time for which it is.
	Number   fleet.ConfigNumber
	AgeMs    int64
	Revision fleet.Revision
	Controls []string
	Leader   fleet.HostID
	Routers  int
	Stopping bool
}

// Status returns what the router believes.
func (f *Follower) Status() Status {
	leader, _ := f.loadCollector()
	connected := f.mesh.Connected()
	f.mu.Lock()
	defer f.mu.Unlock()
	b := Status{Revision: f.revision, Routers: len(f.routers), Stopping: f.stopping}
	if f.config != nil {
		b.Number, b.AgeMs = f.config.Number, f.cfg.Clock.Now().Sub(f.configAt).Milliseconds()
	}
	for _, addr := range connected {
		b.Controls = append(b.Controls, addr.String())
	}
	if leader.IsValid() {
		b.Leader = fleet.HostID(leader.String())
	}
	return b
}
