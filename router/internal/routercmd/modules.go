package routercmd

import (
	"log/slog"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/configsync"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
	"github.com/fuchsiashed/fuchsiashed/router/internal/caller"
	"github.com/fuchsiashed/fuchsiashed/router/internal/control"
	"github.com/fuchsiashed/fuchsiashed/router/internal/dispatcher"
	"github.com/fuchsiashed/fuchsiashed/router/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/router/internal/target"
)

// stopSlack is added to the stop limit, so that the failures of requests aborted at the
// limit still reach their callers.
const stopSlack = 10 * time.Second

func modules(s Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.StopTimeout(s.Router.StopLimit+stopSlack),
		fx.Provide(
			newIdentity, newControl, newEngine, newFollower, newLedger, newSessions,
			newTargets, newCallers, newStopper, newTraffic,
			func() *explain.DecisionLog { return explain.NewDecisionLog(explain.DefaultCapacity) },
		),
		fx.Invoke(serveAdmin, publishGauges, startControl, startEngine, startListeners, registerStop),
	)
}

// identity is the router's host settings with the incarnation of this process.
type identity struct {
	program.HostSection
	incarnation fleet.Incarnation
}

func newIdentity(s Settings, clock fleet.Clock) identity {
	return identity{HostSection: s.Host, incarnation: fleet.Incarnation(clock.Now().UnixNano())}
}

func newTraffic() *rpc.Traffic { return &rpc.Traffic{} }

func newControl(s Settings, t *rpc.Traffic, log *slog.Logger) *rpc.ControlClient {
	return rpc.NewControlClient(rpc.ControlClientConfig{Replicas: s.Control.Replicas, Traffic: t, Log: log})
}

func newEngine(lc fx.Lifecycle, s Settings, id identity, clock fleet.Clock, log *slog.Logger) (*engine.Engine, error) {
	r := routing.New(routing.Config{
		Host: id.Host, Incarnation: id.incarnation, DataCentre: id.DataCentre,
		Dispatchers: dispatcher.Names(s.Dispatchers.Addresses),
	})
	cfg := engine.Config{Router: r, Clock: clock, Log: log}
	if s.Router.EventLog != "" {
		f, err := os.OpenFile(s.Router.EventLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open event log")
		}
		lc.Append(fx.StopHook(f.Close))
		cfg.Events = eventlog.NewWriter(f)
	}
	return engine.New(cfg), nil
}

func newFollower(s Settings, id identity, c *rpc.ControlClient, e *engine.Engine, st *stopper, clock fleet.Clock, log *slog.Logger) *configsync.Follower {
	var f *configsync.Follower
	f = configsync.New(configsync.Config{
		Control: c, Clock: clock, Log: log,
		Heartbeat: func() fleet.StateRequest {
			st.updateDispatcherContact(e, clock)
			cfg, _ := f.Current()
			return fleet.StateRequest{
				Host: id.Host, Incarnation: id.incarnation, Role: fleet.RoleRouter, Address: s.Router.Callers.String(),
				DataCentre: id.DataCentre, Version: cfg.Version, Stopping: st.excludedFromHosts(),
			}
		},
		OnState: func(requestedAt time.Time, state fleet.StateReply) {
			cfg, _ := f.Current()
			e.Post(routing.ConfigConfirmed{Config: cfg, NotAfter: requestedAt.Add(fleet.ShortenLease(state.Validity))})
		},
	})
	return f
}

func newLedger(c *rpc.ControlClient, e *engine.Engine, clock fleet.Clock, log *slog.Logger) *control.Ledger {
	return control.NewLedger(control.LedgerConfig{Control: c, Events: e, Clock: clock, Log: log})
}

func newSessions(s Settings, e *engine.Engine, t *rpc.Traffic, log *slog.Logger) *dispatcher.Sessions {
	return dispatcher.New(dispatcher.Config{Addresses: s.Dispatchers.Addresses, Events: e, Traffic: t, Log: log})
}

func newTargets(clock fleet.Clock) *target.Client {
	return target.NewClient(target.Config{Clock: clock})
}

func newCallers(s Settings, id identity, f *configsync.Follower, e *engine.Engine, t *target.Client, st *stopper, clock fleet.Clock, log *slog.Logger) *caller.Server {
	return caller.New(caller.Config{
		Host: id.Host, Incarnation: id.incarnation, Configuration: f, Events: e, Targets: t,
		Stopping: st.excludedFromHosts, Refused: countRefusal, Clock: clock, Log: log,
		BodyGrace: s.Router.BodyGrace, WriteTimeout: s.Router.WriteTimeout, MaxConnections: s.Router.MaxConnections,
	})
}

// startControl connects to control and follows the configuration.
func startControl(lc fx.Lifecycle, c *rpc.ControlClient, f *configsync.Follower) {
	lc.Append(fx.StartStopHook(c.Start, c.Stop))
	lc.Append(fx.StartStopHook(f.Start, f.Stop))
}

// performers holds the performers of all effects.
type performers struct {
	fx.In
	Ledger   *control.Ledger
	Sessions *dispatcher.Sessions
	Callers  *caller.Server
	Record   *explain.DecisionLog
	Follower *configsync.Follower
	Stopper  *stopper
}

// startEngine registers the performers, and starts the engine and what the performers
// use.
func startEngine(lc fx.Lifecycle, e *engine.Engine, p performers, t *target.Client) {
	e.Handle(p.Ledger, "LedgerBegin", "LedgerEnd")
	e.Handle(p.Sessions, "SendReport")
	e.Handle(p.Callers, "StartSend", "ResumeSend", "WaitOn", "ReleaseSend", "AnswerFailure", "AnswerRecorded", "AnswerDone")
	e.Handle(&recorder{decisionLog: p.Record}, "Decided")
	e.Handle(engine.PerformerFunc(func(eff fleet.Effect) {
		if v, ok := eff.(routing.VersionSeen); ok {
			p.Follower.ObserveVersion(v.Version)
		}
	}), "VersionSeen")
	e.Handle(p.Stopper, "Drained")
	lc.Append(fx.StopHook(p.Ledger.Stop))
	lc.Append(fx.StartStopHook(e.Start, e.Stop))
	lc.Append(fx.StartStopHook(p.Sessions.Start, p.Sessions.Stop))
	lc.Append(fx.StartStopHook(t.Start, t.Stop))
}

// startListeners serves callers and the announcements of targets.
func startListeners(lc fx.Lifecycle, s Settings, e *engine.Engine, c *caller.Server) {
	program.ServeHTTP(lc, s.Router.Targets, target.NewAnnounceServer(e))
	program.ServeHTTP(lc, s.Router.Callers, c.HTTP())
}

func serveAdmin(lc fx.Lifecycle, id identity, e *engine.Engine, f *configsync.Follower, rec *explain.DecisionLog) {
	program.ServeAdmin(lc, id.Admin, func(r gin.IRouter) {
		r.GET(fleet.PathStatus, func(c *gin.Context) { c.JSON(200, status(id, e, f)) })
		r.GET(fleet.PathExplain+":request", func(c *gin.Context) {
			c.JSON(200, rec.ForRequest(fleet.RequestID(c.Param("request"))))
		})
	})
}

func status(id identity, e *engine.Engine, f *configsync.Follower) fleet.ProcessStatus {
	cfg, confirmed := f.Current()
	s := fleet.ProcessStatus{
		Host: id.Host, Role: fleet.RoleRouter, DataCentre: id.DataCentre, Incarnation: id.incarnation,
		Version: cfg.Version, Confirmed: confirmed,
	}
	e.Inspect(func(r *routing.Router) {
		s.Waiting, s.Running = r.Counts()
		s.Epoch, s.Active = r.Dispatcher()
		s.Stopping = r.Stopping()
	})
	return s
}
