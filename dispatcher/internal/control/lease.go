package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/loop"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// Timing of the lease.
const (
	// renewalsPerLease is the number of renewals within the duration of a lease.
	renewalsPerLease = 4
	// acquireInterval is the time between two attempts to get the lease.
	acquireInterval = 200 * time.Millisecond
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Identity Identity
	Control  fleet.Caller
	// Region returns the region to dispatch for; empty while it is not known.
	Region   func() fleet.RegionName
	Duration time.Duration
	Loop     *loop.Loop
	Clock    fleet.Clock
	Log      *slog.Logger
}

// Keeper acquires the lease of the region and renews it.
type Keeper struct {
	cfg    KeeperConfig
	cancel context.CancelFunc
	done   chan struct{}
	epoch  fleet.Epoch
}

// NewKeeper makes a Keeper; Start begins to ask for the lease.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, done: make(chan struct{})}
}

// Start keeps the lease in the background until Stop.
func (k *Keeper) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	go k.run(ctx)
}

// Stop releases the lease and returns after the grace that a successor needs.
func (k *Keeper) Stop(ctx context.Context, grace time.Duration) error {
	k.cancel()
	<-k.done
	if k.epoch == 0 {
		return nil
	}
	k.cfg.Loop.Post(dispatch.LeaseLost{})
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Duration)
	defer cancel()
	req := k.request()
	req.Release = true
	var reply fleet.LeaseReply
	if err := k.cfg.Control.Call(ctx, fleet.MethodLease, req, &reply); err != nil {
		k.cfg.Log.Warn(logevent.LeaseNotReleased, "error", err)
		return nil
	}
	pause(ctx, grace)
	return nil
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	for ctx.Err() == nil {
		if k.cfg.Region() != "" {
			k.ask(ctx)
		}
		if k.epoch == 0 {
			pause(ctx, acquireInterval)
			continue
		}
		pause(ctx, k.cfg.Duration/renewalsPerLease)
	}
}

func (k *Keeper) request() fleet.LeaseRequest {
	return fleet.LeaseRequest{
		Name:   fleet.LeaseName("Dispatch/" + string(k.cfg.Region())),
		Holder: k.cfg.Identity.Host, Incarnation: k.cfg.Identity.Incarnation,
		Epoch: k.epoch, Duration: k.cfg.Duration,
	}
}

// ask acquires or renews the lease once. The lease runs from the moment of asking.
func (k *Keeper) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Duration)
	defer cancel()
	asked := k.cfg.Clock.Now()
	var reply fleet.LeaseReply
	if err := k.cfg.Control.Call(ctx, fleet.MethodLease, k.request(), &reply); err != nil {
		k.cfg.Log.Warn(logevent.LeaseNotAnswered, "epoch", uint64(k.epoch), "error", err)
		return
	}
	if !reply.Granted {
		k.lost(reply)
		return
	}
	if reply.Epoch != k.epoch {
		k.cfg.Log.Info(logevent.LeaseAcquired, "epoch", uint64(reply.Epoch))
	}
	k.epoch = reply.Epoch
	k.cfg.Loop.Post(dispatch.LeaseHeld{
		Epoch: reply.Epoch, NotAfter: asked.Add(fleet.ShortenLease(reply.Duration)), Predecessor: reply.Epoch > 1,
	})
}

func (k *Keeper) lost(reply fleet.LeaseReply) {
	if k.epoch == 0 {
		return
	}
	k.cfg.Log.Warn(logevent.LeaseLost, "epoch", uint64(k.epoch), "holder", string(reply.Holder))
	k.epoch = 0
	k.cfg.Loop.Post(dispatch.LeaseLost{})
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
