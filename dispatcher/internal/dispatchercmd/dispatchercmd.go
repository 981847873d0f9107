// Package dispatchercmd assembles the fuchsiashed-dispatcher program.
package dispatchercmd

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/control"
	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/loop"
	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/operator"
	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/router"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const example = `  fuchsiashed-dispatcher --settings dispatcher-1.ini
  fuchsiashed-dispatcher --settings dispatcher-1.ini --check`

// Main runs the program with the command-line arguments and returns its exit code.
func Main(streams *iostreams.IOStreams, args []string) int {
	var cfg settingsFile
	return program.Main(program.Spec{
		Name:     "fuchsiashed-dispatcher",
		Summary:  "Grant the slots of targets to waiting requests, fairly over the fleet.",
		Example:  example,
		Settings: &cfg,
		Identity: func() program.Identity {
			return program.Identity{Host: cfg.Host.Host, DataCentre: cfg.Host.DataCentre}
		},
		Modules: func() fx.Option { return fx.Options(modules(&cfg), fx.Invoke(publishMetrics)) },
	}, streams, args)
}

// modules returns the parts of the program. Lifecycle hooks stop in reverse order of
// registration, so the lease is released before the connections are closed.
func modules(cfg *settingsFile) fx.Option {
	return fx.Options(
		fx.Supply(cfg),
		fx.Provide(newIdentity, newDecisionLog, newTraffic, newControl, newLoop, newServer, newFollower, newLeaseManager),
		fx.Invoke(serveAdmin, registerLifecycle),
	)
}

func newIdentity(cfg *settingsFile, clock fleet.Clock) control.Identity {
	return control.Identity{
		Host: cfg.Host.Host, Incarnation: fleet.Incarnation(clock.Now().UnixNano()),
		DataCentre: cfg.Host.DataCentre, Address: cfg.Dispatcher.Listen,
	}
}

func newDecisionLog() *explain.DecisionLog { return explain.NewDecisionLog(explain.DefaultCapacity) }

func newTraffic() *rpc.Traffic { return &rpc.Traffic{} }

func newControl(cfg *settingsFile, traffic *rpc.Traffic, log *slog.Logger) *rpc.ControlClient {
	return rpc.NewControlClient(rpc.ControlClientConfig{Replicas: cfg.Control.Replicas, Traffic: traffic, Log: log})
}

func newLoop(cfg *settingsFile, clock fleet.Clock, log *slog.Logger, decisions *explain.DecisionLog) *loop.Loop {
	return loop.New(loop.Config{
		Dispatch: dispatch.Config{
			Host: cfg.Host.Host, StandingGrants: cfg.Dispatcher.StandingGrants,
		},
		Clock: clock, Log: log, DecisionLog: decisions,
	})
}

func newServer(cfg *settingsFile, l *loop.Loop, clock fleet.Clock, traffic *rpc.Traffic, log *slog.Logger) *router.Server {
	return router.NewServer(router.Config{
		Address: cfg.Dispatcher.Listen, Loop: l, Clock: clock, Traffic: traffic, Log: log,
	})
}

func newFollower(id control.Identity, c *rpc.ControlClient, l *loop.Loop, clock fleet.Clock, log *slog.Logger) *control.Follower {
	return control.NewFollower(control.FollowerConfig{Identity: id, Control: c, Loop: l, Clock: clock, Log: log})
}

func newLeaseManager(cfg *settingsFile, id control.Identity, c *rpc.ControlClient, f *control.Follower, l *loop.Loop, clock fleet.Clock, log *slog.Logger) *control.LeaseManager {
	return control.NewLeaseManager(control.LeaseManagerConfig{
		Identity: id, Control: c, Region: f.Region, Duration: cfg.Dispatcher.LeaseDuration, Loop: l, Clock: clock, Log: log,
	})
}

func serveAdmin(lc fx.Lifecycle, cfg *settingsFile, id control.Identity, l *loop.Loop, decisions *explain.DecisionLog) {
	program.ServeAdmin(lc, cfg.Host.Admin, operator.New(operator.Config{Identity: id, Loop: l, DecisionLog: decisions}).RegisterRoutes)
}

// publishMetrics publishes the process's metrics with expvar.
func publishMetrics(traffic *rpc.Traffic, l *loop.Loop) {
	operator.PublishMetrics(traffic, l)
}

// registerLifecycle connects the parts and registers their start and stop in order.
func registerLifecycle(lc fx.Lifecycle, c *rpc.ControlClient, l *loop.Loop, s *router.Server, f *control.Follower, leases *control.LeaseManager) {
	l.SetSender(s)
	s.SetVersionObserver(f.ObserveVersion)
	lc.Append(fx.StartStopHook(c.Start, c.Stop))
	lc.Append(fx.StartStopHook(l.Start, l.Stop))
	lc.Append(fx.StartStopHook(s.Start, s.Stop))
	lc.Append(fx.StartStopHook(f.Start, f.Stop))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { leases.Start(); return nil },
		OnStop:  func(ctx context.Context) error { return leases.Stop(ctx, takeoverGrace) },
	})
}

// takeoverGrace is the time for a successor to acquire the released lease before the
// connections of routers are closed.
const takeoverGrace = 500 * time.Millisecond
