package core

import (
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/streams"
)

// originStore has the origins of streams that routers have begun. It is not durable: routers
// send theirs again to a host that has restarted.
type originStore struct {
	clock fleet.Clock
	mu    sync.Mutex
	store *streams.Store
}

func newOriginStore(clock fleet.Clock) *originStore {
	return &originStore{clock: clock, store: streams.New()}
}

func (s *originStore) add(b *fleet.StreamsBegun) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range b.Origins {
		s.store.Add(now, o)
	}
}

func (s *originStore) find(r *fleet.StreamOriginRequest) *fleet.StreamOriginReply {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.store.Find(now, r.Stream)
	return &fleet.StreamOriginReply{Found: ok, Origin: o}
}

// soleVersion returns the software version that a service has had alone, as far as this host knows.
func (c *Core) soleVersion(r *fleet.SoleVersionRequest) *fleet.SoleVersionReply {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	versions := c.targets.Versions(r.Service, now.Add(-r.Age))
	c.mu.Unlock()
	switch {
	case len(versions) > 1:
		return &fleet.SoleVersionReply{Several: true}
	case len(versions) == 0 || now.Sub(c.startTime) < r.Age || !c.HasQuorumContact():
		return &fleet.SoleVersionReply{}
	}
	return &fleet.SoleVersionReply{Sole: true, Version: versions[0]}
}
