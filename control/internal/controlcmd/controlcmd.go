// Package controlcmd assembles the fuchsiashed-control program.
package controlcmd

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"

	"github.com/fuchsiashed/fuchsiashed/control/clients"
	"github.com/fuchsiashed/fuchsiashed/control/disk"
	"github.com/fuchsiashed/fuchsiashed/control/replicas"
	"github.com/fuchsiashed/fuchsiashed/control/shell"
)

const example = `  fuchsiashed-control --settings control-1.ini
  fuchsiashed-control --settings control-1.ini --check`

// Main runs the program with the command-line arguments and returns its exit code.
func Main(streams *iostreams.IOStreams, args []string) int {
	var cfg settingsFile
	return program.Main(program.Spec{
		Name:     "fuchsiashed-control",
		Summary:  "fuchsiashed-control runs one replica of the control quorum.",
		Example:  example,
		Settings: &cfg,
		Identity: func() program.Identity {
			return program.Identity{Host: cfg.Host.Host, DataCentre: cfg.Host.DataCentre}
		},
		Modules: func() fx.Option { return modules(&cfg) },
	}, streams, args)
}

func modules(cfg *settingsFile) fx.Option {
	return fx.Options(
		fx.Supply(cfg),
		fx.Provide(
			func() *rpc.Traffic { return &rpc.Traffic{} },
			newStorage,
			newTransport,
			newShell,
			newServer,
		),
		fx.Invoke(publishTraffic, serveAdmin, func(*rpc.Server) {}),
	)
}

func newStorage(lc fx.Lifecycle, cfg *settingsFile, log *slog.Logger) (fleet.Storage, error) {
	l, err := disk.Open(cfg.Control.DataFolder)
	if err != nil {
		return nil, err
	}
	if l.TornBytes > 0 {
		log.Warn(logevent.TornTailCut, "bytes", l.TornBytes)
	}
	lc.Append(fx.StopHook(l.Close))
	return l, nil
}

func newTransport(lc fx.Lifecycle, cfg *settingsFile, traffic *rpc.Traffic) *replicas.Transport {
	t := replicas.NewFixed(cfg.Replicas.others(cfg.Host.Host), traffic)
	lc.Append(fx.StartStopHook(t.Start, t.Stop))
	return t
}

func newShell(lc fx.Lifecycle, cfg *settingsFile, storage fleet.Storage, t *replicas.Transport, clock fleet.Clock,
	log *slog.Logger, shutdowner fx.Shutdowner,
) (*shell.Shell, error) {
	if _, isReplica := cfg.Replicas.find(cfg.Host.Host); !isReplica {
		return nil, errors.Errorf("host %q is not among the Members of [Replicas]", cfg.Host.Host)
	}
	eventLog, err := openEventLog(lc, cfg.Control.Record)
	if err != nil {
		return nil, err
	}
	s, err := shell.New(shell.Config{
		Quorum: quorum.Config{
			Host:            cfg.Host.Host,
			Incarnation:     fleet.Incarnation(time.Now().UnixNano()),
			Hosts:           cfg.Replicas.hosts(),
			Bootstrap:       cfg.Control.Bootstrap,
			SnapshotEntries: cfg.Control.SnapshotEntries,
		},
		Storage: storage, Sender: t, Clock: clock, Log: log,
		SyncEachRecord: cfg.Control.Sync == syncModeEach, EventLog: eventLog,
		OnStorageFailure: func(error) {
			// The error is logged already. Shutdown only fails if one is under way.
			_ = shutdowner.Shutdown(fx.ExitCode(program.ExitError))
		},
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StartStopHook(s.Start, s.Stop))
	return s, nil
}

// openEventLog opens the event log for appending and registers its closing, which happens
// after the replica has stopped. It returns nil for an empty path.
func openEventLog(lc fx.Lifecycle, path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "open event log")
	}
	lc.Append(fx.StopHook(f.Close))
	return f, nil
}

func newServer(lc fx.Lifecycle, cfg *settingsFile, s *shell.Shell, traffic *rpc.Traffic, log *slog.Logger) *rpc.Server {
	srv := rpc.NewServer(rpc.ServerConfig{
		Address: cfg.Control.Listen, Handler: &clients.Handler{Replica: s}, Traffic: traffic, Log: log,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return srv.Start() },
		OnStop:  func(context.Context) error { srv.Stop(); return nil },
	})
	return srv
}

func serveAdmin(lc fx.Lifecycle, cfg *settingsFile, s *shell.Shell) {
	program.ServeAdmin(lc, cfg.Host.Admin, func(r gin.IRouter) {
		r.GET(fleet.PathStatus, func(c *gin.Context) { c.JSON(200, processStatus(cfg, s)) })
	})
}
