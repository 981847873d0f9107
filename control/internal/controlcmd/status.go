package controlcmd

import (
	"expvar"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"

	"github.com/fuchsiashed/fuchsiashed/control/shell"
)

// processStatus returns the replica's status for operators.
func processStatus(cfg *settingsFile, s *shell.Shell) fleet.ProcessStatus {
	status := fleet.ProcessStatus{Host: cfg.Host.Host, Role: fleet.RoleControl, DataCentre: cfg.Host.DataCentre}
	s.Inspect(func(server *registry.Server) {
		replica := server.Status()
		status.Incarnation = replica.Incarnation
		status.Active = replica.Leader
		status.Version = server.State().Version()
		status.Confirmed = server.IsConfirmedLeader()
	})
	return status
}

// publishTraffic publishes the RPC bytes read and written as metrics.
func publishTraffic(t *rpc.Traffic) {
	vars := expvar.NewMap("Traffic")
	vars.Set("Read", expvar.Func(func() any { return t.BytesRead() }))
	vars.Set("Written", expvar.Func(func() any { return t.BytesWritten() }))
}
