// Package dispatchercmd wires the dispatcher program.
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

// Main runs the program and returns its exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	var doc document
	return program.Main(program.Spec{
		Name:     "fuchsiashed-dispatcher",
		Summary:  "Grant the slots of targets to waiting requests, fairly over the fleet.",
		Example:  example,
		Settings: &doc,
		Identity: func() program.Identity {
			return program.Identity{Host: doc.Host.Host, DataCentre: doc.Host.DataCentre}
		},
		Modules: func() fx.Option { return fx.Options(modules(&doc), fx.Invoke(publish)) },
	}, io, args)
}

// modules lists what the program is made of. What is appended to the life cycle first
// stops last: the lease is released before the connections are closed.
func modules(doc *document) fx.Option {
	return fx.Options(
		fx.Supply(doc),
		fx.Provide(newIdentity, newRecord, newTraffic, newControl, newLoop, newServer, newFollower, newKeeper),
		fx.Invoke(serveOperators, wire),
	)
}

func newIdentity(doc *document, clock fleet.Clock) control.Identity {
	return control.Identity{
		Host: doc.Host.Host, Incarnation: fleet.Incarnation(clock.Now().UnixNano()),
		DataCentre: doc.Host.DataCentre, Address: doc.Dispatcher.Listen,
	}
}

func newRecord() *explain.DecisionLog { return explain.NewDecisionLog(explain.DefaultCapacity) }

func newTraffic() *rpc.Traffic { return &rpc.Traffic{} }

func newControl(doc *document, traffic *rpc.Traffic, log *slog.Logger) *rpc.ControlClient {
	return rpc.NewControlClient(rpc.ControlClientConfig{Replicas: doc.Control.Replicas, Traffic: traffic, Log: log})
}

func newLoop(doc *document, clock fleet.Clock, log *slog.Logger, record *explain.DecisionLog) *loop.Loop {
	return loop.New(loop.Config{
		Dispatch: dispatch.Config{
			Host: doc.Host.Host, StandingGrants: doc.Dispatcher.StandingGrants,
		},
		Clock: clock, Log: log, Record: record,
	})
}

func newServer(doc *document, l *loop.Loop, clock fleet.Clock, traffic *rpc.Traffic, log *slog.Logger) *router.Server {
	return router.NewServer(router.Config{
		Address: doc.Dispatcher.Listen, Loop: l, Clock: clock, Traffic: traffic, Log: log,
	})
}

func newFollower(id control.Identity, c *rpc.ControlClient, l *loop.Loop, clock fleet.Clock, log *slog.Logger) *control.Follower {
	return control.NewFollower(control.FollowerConfig{Identity: id, Control: c, Loop: l, Clock: clock, Log: log})
}

func newKeeper(doc *document, id control.Identity, c *rpc.ControlClient, f *control.Follower, l *loop.Loop, clock fleet.Clock, log *slog.Logger) *control.Keeper {
	return control.NewKeeper(control.KeeperConfig{
		Identity: id, Control: c, Region: f.Region, Duration: doc.Dispatcher.LeaseDuration, Loop: l, Clock: clock, Log: log,
	})
}

func serveOperators(lc fx.Lifecycle, doc *document, id control.Identity, l *loop.Loop, record *explain.DecisionLog) {
	program.ServeAdmin(lc, doc.Host.Admin, operator.New(operator.Config{Identity: id, Loop: l, Record: record}).Routes)
}

// publish adds the process's figures to expvar.
func publish(traffic *rpc.Traffic, l *loop.Loop) {
	operator.Publish(traffic, l)
}

// wire starts and stops the parts in order.
func wire(lc fx.Lifecycle, c *rpc.ControlClient, l *loop.Loop, s *router.Server, f *control.Follower, k *control.Keeper) {
	l.SetSender(s)
	s.SetSeen(f.ObserveVersion)
	lc.Append(fx.StartStopHook(c.Start, c.Stop))
	lc.Append(fx.StartStopHook(l.Start, l.Stop))
	lc.Append(fx.StartStopHook(s.Start, s.Stop))
	lc.Append(fx.StartStopHook(f.Start, f.Stop))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { k.Start(); return nil },
		OnStop:  func(ctx context.Context) error { return k.Stop(ctx, stopGrace) },
	})
}

// stopGrace is the time that a successor gets to take the lease before the connections
// of routers are closed.
const stopGrace = 500 * time.Millisecond
