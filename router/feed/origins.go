package feed

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
	"github.com/fuchsiashed/fuchsiashed/fleet/streams"
)

const (
	// originHolders is the number of control hosts that get the origin of each stream.
	originHolders = 3
	// originTimeout bounds the search for the origin of a stream. A control host answers
	// within milliseconds.
	originTimeout = 300 * time.Millisecond
)

// originLookups counts the searches for origins of streams by where they were found.
var originLookups = expvar.NewMap("StreamOrigins")

// Origins shares the origins of streams with the other routers through the control hosts. It
// implements fleet.StreamOrigins. Origins that were shared before a connection to a control
// host are sent again once it is there.
type Origins struct {
	clock fleet.Clock
	log   *slog.Logger
	wake  chan struct{}

	mu sync.Mutex
	// begun has the origins of the streams that this router has begun.
	begun   *streams.Store
	unsent  []fleet.StreamOrigin
	clients *rpc.ClientSet
}

// NewOrigins returns an Origins, which must be passed to a Follower before use.
func NewOrigins(clock fleet.Clock, log *slog.Logger) *Origins {
	return &Origins{clock: clock, log: log, wake: make(chan struct{}, 1), begun: streams.New()}
}

// Share implements fleet.StreamOrigins.
func (s *Origins) Share(o fleet.StreamOrigin) {
	s.mu.Lock()
	s.begun.Add(s.clock.Now(), o)
	s.unsent = append(s.unsent, o)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends the shared origins until stop is closed.
func (s *Origins) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		unsent := s.unsent
		s.unsent = nil
		s.mu.Unlock()
		s.sendToHolders(unsent)
	}
}

// sendToHolders sends each origin to its holders among the connected control hosts.
func (s *Origins) sendToHolders(origins []fleet.StreamOrigin) {
	connected := s.clients.Connected()
	batches := map[netip.AddrPort][]fleet.StreamOrigin{}
	for _, o := range origins {
		for _, addr := range holders(o.Stream, connected) {
			batches[addr] = append(batches[addr], o)
		}
	}
	for addr, batch := range batches {
		if c := s.clients.Client(addr); c != nil {
			go s.send(addr, c, batch)
		}
	}
}

// sendAll sends the origins of all streams that this router has begun to a control host that
// may not have them.
func (s *Origins) sendAll(addr netip.AddrPort, peer fleet.Caller) {
	s.mu.Lock()
	origins := s.begun.All(s.clock.Now())
	s.mu.Unlock()
	if len(origins) > 0 {
		s.send(addr, peer, origins)
	}
}

func (s *Origins) send(addr netip.AddrPort, peer fleet.Caller, origins []fleet.StreamOrigin) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := peer.Notify(ctx, fleet.MethodStreamsBegun, &fleet.StreamsBegun{Origins: origins}); err != nil {
		s.log.Debug(logevent.ReportFailed, "control", addr.String(), "error", err)
	}
}

// holders returns the control hosts that get the origin of a stream, by rendezvous hashing.
func holders(stream fleet.RequestID, controls []netip.AddrPort) []netip.AddrPort {
	if len(controls) <= originHolders {
		return controls
	}
	weight := func(addr netip.AddrPort) uint64 { return xxhash.Sum64String(string(stream) + " " + addr.String()) }
	order := slices.Clone(controls)
	slices.SortFunc(order, func(a, b netip.AddrPort) int { return cmp.Compare(weight(b), weight(a)) })
	return order[:originHolders]
}

// Find implements fleet.StreamOrigins. It asks all connected control hosts, since the holders
// depend on which hosts were connected to the router that began the stream.
func (s *Origins) Find(ctx context.Context, stream fleet.RequestID) (fleet.StreamOrigin, bool) {
	s.mu.Lock()
	o, ok := s.begun.Find(s.clock.Now(), stream)
	s.mu.Unlock()
	if ok {
		originLookups.Add("Local", 1)
		return o, true
	}
	if o, ok := s.findAtControl(ctx, stream); ok {
		originLookups.Add("Control", 1)
		return o, true
	}
	originLookups.Add("Unknown", 1)
	return fleet.StreamOrigin{}, false
}

// findAtControl returns the first origin that a control host replies with.
func (s *Origins) findAtControl(ctx context.Context, stream fleet.RequestID) (o fleet.StreamOrigin, ok bool) {
	req := &fleet.StreamOriginRequest{Stream: stream}
	askAll(ctx, s, fleet.MethodStreamOrigin, req, func(reply fleet.StreamOriginReply) bool {
		o, ok = reply.Origin, reply.Found
		return ok
	})
	return o, ok
}

// SoleVersion implements fleet.StreamOrigins. It waits for all control hosts, any of which may know
// of another version.
func (s *Origins) SoleVersion(ctx context.Context, service fleet.ServiceName, age time.Duration) (v fleet.SoftwareVersion, ok bool) {
	req := &fleet.SoleVersionRequest{Service: service, Age: age}
	askAll(ctx, s, fleet.MethodSoleVersion, req, func(reply fleet.SoleVersionReply) bool {
		if reply.Several || ok && reply.Sole && reply.Version != v {
			ok = false
			return true
		}
		if reply.Sole {
			v, ok = reply.Version, true
		}
		return false
	})
	result := "VersionUnsure"
	if ok {
		result = "VersionSole"
	}
	originLookups.Add(result, 1)
	return v, ok
}

// askAll calls a method of all connected control hosts and passes the replies on until done returns
// true or originTimeout has passed. A host that does not reply is left out.
func askAll[T any](ctx context.Context, s *Origins, method string, params any, done func(reply T) bool) {
	connected := s.clients.Connected()
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan *T, len(connected))
	for _, addr := range connected {
		go func() {
			reply := new(T)
			c := s.clients.Client(addr)
			if c == nil {
				reply = nil
			} else if err := c.Call(ctx, method, params, reply); err != nil {
				s.log.Debug(logevent.ReportFailed, "control", addr.String(), "error", err)
				reply = nil
			}
			replies <- reply
		}()
	}
	for range connected {
		if reply := <-replies; reply != nil && done(*reply) {
			return
		}
	}
}
