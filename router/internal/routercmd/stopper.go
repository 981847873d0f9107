package routercmd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/configsync"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/router/internal/engine"
)

// stopper carries out a planned stop: the host is omitted from the lists of hosts for
// callers, and the listeners close once all requests have ended.
type stopper struct {
	limit        time.Duration
	force        program.ForceStop
	stopping     atomic.Bool
	noDispatcher atomic.Bool
	once         sync.Once
	drained      chan struct{}
}

func newStopper(s Settings, force program.ForceStop) *stopper {
	return &stopper{limit: s.Router.StopLimit, force: force, drained: make(chan struct{})}
}

// excludedFromHosts reports whether this host is omitted from the lists of hosts, because
// it is stopping or no dispatcher responds to it.
func (s *stopper) excludedFromHosts() bool { return s.stopping.Load() || s.noDispatcher.Load() }

// updateDispatcherContact records whether a dispatcher responds.
func (s *stopper) updateDispatcherContact(e *engine.Engine, clock fleet.Clock) {
	e.Inspect(func(r *routing.Router) { s.noDispatcher.Store(r.DispatcherUnreachable(clock.Now())) })
}

// Perform implements engine.Performer for Drained.
func (s *stopper) Perform(fleet.Effect) { s.once.Do(func() { close(s.drained) }) }

// registerStop registers the planned stop last, so that it runs before all other stop
// hooks.
func registerStop(lc fx.Lifecycle, s *stopper, e *engine.Engine, f *configsync.Follower) {
	lc.Append(fx.StopHook(func(ctx context.Context) { s.stop(ctx, e, f) }))
}

func (s *stopper) stop(ctx context.Context, e *engine.Engine, f *configsync.Follower) {
	s.stopping.Store(true)
	f.Refresh()
	e.Post(routing.StopRequested{})
	limit := time.NewTimer(s.limit)
	defer limit.Stop()
	select {
	case <-s.drained:
		return
	case <-limit.C:
	case <-s.force:
	case <-ctx.Done():
	}
	e.Post(routing.StopForced{})
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
}
