package control

import (
	"log/slog"
	"time"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/loop"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/configsync"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Identity Identity
	Control  fleet.Caller
	Loop     *loop.Loop
	Clock    fleet.Clock
	Log      *slog.Logger
}

// Follower follows the fleet configuration at control and passes each confirmation of it to
// the reducer.
type Follower struct {
	*configsync.Follower
	cfg FollowerConfig
}

// NewFollower returns a Follower; Start begins to follow the configuration.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg}
	f.Follower = configsync.New(configsync.Config{
		Control: cfg.Control, Clock: cfg.Clock, Log: cfg.Log, Heartbeat: f.heartbeatRequest, OnState: f.onConfirmed,
	})
	return f
}

// Region returns the region of the configuration; empty before the first configuration.
func (f *Follower) Region() fleet.RegionName {
	if cfg, _ := f.Current(); cfg.Fleet != nil {
		return cfg.Fleet.Region
	}
	return ""
}

// heartbeatRequest returns the periodic request for the state, which also reports this
// dispatcher to control.
func (f *Follower) heartbeatRequest() fleet.StateRequest {
	cfg, _ := f.Current()
	id := f.cfg.Identity
	return fleet.StateRequest{
		Host: id.Host, Incarnation: id.Incarnation, Role: fleet.RoleDispatcher,
		Address: id.Address.String(), DataCentre: id.DataCentre, Version: cfg.Version,
	}
}

// onConfirmed posts a confirmation. Its validity counts from when the request was sent.
func (f *Follower) onConfirmed(sentAt time.Time, s fleet.StateReply) {
	cfg, _ := f.Current()
	if cfg.Fleet == nil {
		return
	}
	f.cfg.Loop.Post(dispatch.ConfigConfirmed{Config: cfg, NotAfter: sentAt.Add(fleet.ShortenLease(s.Validity))})
}
