// Package app is the program fuchsiashed-standin: it runs a stand-in target, or sends
// requests with the subcommands call and load.
package app

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/server"
)

const example = `  # run a stand-in target
  fuchsiashed-standin --settings engine-1.ini

  # send one request like a caller, or a load of many
  fuchsiashed-standin call --help
  fuchsiashed-standin load --help`

const (
	// exitCrashed is the exit code after a simulated crash.
	exitCrashed = 9
	// drainPollInterval is how often a draining target checks for running requests.
	drainPollInterval = 20 * time.Millisecond
	// headerTimeout limits how long reading the headers of a request may take.
	headerTimeout = 5 * time.Second
)

// Main runs the program with the command-line arguments (without the program's name) and
// returns its exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	if len(args) > 0 {
		switch args[0] {
		case "call":
			var opts CallOptions
			return runSubcommand(io, "call", callExample, &opts, args[1:], func() error { return runCall(io, opts) })
		case "load":
			var opts LoadOptions
			return runSubcommand(io, "load", loadExample, &opts, args[1:], func() error { return runLoad(io, opts) })
		}
	}
	var cfg Settings
	return program.Main(program.Spec{
		Name:     "fuchsiashed-standin",
		Summary:  "A stand-in target: a model engine or a plain service.",
		Example:  example,
		Settings: &cfg,
		Identity: func() program.Identity {
			return program.Identity{Host: fleet.HostID(cfg.Target.Target), DataCentre: cfg.Target.DataCentre}
		},
		Modules: func() fx.Option { return Modules(cfg) },
	}, io, args)
}

// Modules returns the fx options of a stand-in target.
func Modules(cfg Settings) fx.Option {
	return fx.Options(
		fx.Supply(cfg, &fault.Injector{}),
		fx.Provide(newRecord, newEngine, newTargetState, newAnnouncer),
		fx.Invoke(serve),
	)
}

func newRecord(lc fx.Lifecycle, cfg Settings) (*record.Record, error) {
	rec, err := record.Open(cfg.Target.Record)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return rec.Close() }})
	return rec, nil
}

func newEngine(cfg Settings, clock fleet.Clock, rec *record.Record, faults *fault.Injector, log *slog.Logger) *engine.Engine {
	return engine.New(engine.Config{
		Clock: clock, Record: rec, Faults: faults, Slots: cfg.Target.Slots, ColdSlots: cfg.Target.ColdSlots,
		WarmAfter: cfg.Target.WarmAfter, ColdFailure: cfg.Target.ColdFailure, Crash: newCrashFunc(log),
	})
}

// newCrashFunc returns a function that logs the reason and exits without a shutdown, as a
// crash would.
func newCrashFunc(log *slog.Logger) func(string) {
	return func(reason string) {
		log.Error("Crash", "reason", reason)
		os.Exit(exitCrashed)
	}
}

// targetState is the state from which the target's announcements are built.
type targetState struct {
	cfg         TargetSection
	engine      *engine.Engine
	faults      *fault.Injector
	incarnation fleet.Incarnation
	sequence    atomic.Uint64
	stopping    atomic.Bool
}

func newTargetState(cfg Settings, clock fleet.Clock, eng *engine.Engine, faults *fault.Injector) *targetState {
	return &targetState{cfg: cfg.Target, engine: eng, faults: faults, incarnation: fleet.Incarnation(clock.Now().UnixNano())}
}

// announcement returns the next announcement; false means to send none, as during the fault
// Freeze.
func (t *targetState) announcement() (fleet.Announcement, bool) {
	if t.faults.Active(fault.Freeze) {
		return fleet.Announcement{}, false
	}
	state := fleet.TargetServing
	if t.stopping.Load() || t.faults.Active(fault.Leave) {
		state = fleet.TargetLeaving
	}
	return fleet.Announcement{
		Target: t.cfg.Target, Incarnation: t.incarnation, Sequence: fleet.Sequence(t.sequence.Add(1)),
		Service: t.cfg.Service, DataCentre: t.cfg.DataCentre, Address: t.cfg.Listen, Slots: t.cfg.Slots,
		State: state, Running: t.engine.Running(), Prefixes: t.engine.Prefixes(),
	}, true
}

func newAnnouncer(cfg Settings, t *targetState, log *slog.Logger) *server.Announcer {
	return server.NewAnnouncer(server.AnnouncerConfig{Routers: cfg.Routers.Announce, Announcement: t.announcement, Log: log})
}

type serveParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Clock     fleet.Clock
	Engine    *engine.Engine
	Faults    *fault.Injector
	Record    *record.Record
	Target    *targetState
	Announcer *server.Announcer
	Log       *slog.Logger
}

func serve(p serveParams) {
	gin.SetMode(gin.ReleaseMode)
	routes := gin.New()
	section := p.Settings.Target
	server.NewHandler(server.HandlerConfig{
		Clock: p.Clock, Protocol: section.Protocol, Engine: p.Engine, Faults: p.Faults, Record: p.Record,
		FirstToken: section.FirstToken, TokenInterval: section.TokenInterval, ServiceTime: section.ServiceTime, Crash: newCrashFunc(p.Log),
		OnFaultSet: func(injection fault.Injection) {
			p.Log.Info("FaultOrdered", "fault", string(injection.Fault), "count", injection.Count, "phase", string(injection.Phase))
			p.Announcer.AnnounceNow()
		},
	}).Register(routes)
	program.ServeHTTP(p.Lifecycle, section.Listen, &http.Server{Handler: routes, ReadHeaderTimeout: headerTimeout})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Announcer.Start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			drain(ctx, p)
			p.Announcer.Stop()
			return nil
		},
	})
}

// drain announces the target as leaving and waits until no request runs. It waits at least
// fleet.TargetMissingAfter, during which routers may still send requests.
func drain(ctx context.Context, p serveParams) {
	p.Target.stopping.Store(true)
	p.Announcer.AnnounceNow()
	for deadline := p.Clock.Now().Add(fleet.TargetMissingAfter); p.Clock.Now().Before(deadline) || len(p.Engine.Running()) > 0; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}
