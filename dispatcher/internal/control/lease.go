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
	// renewalsPerLease is the number of renewals per lease duration.
	renewalsPerLease = 4
	// acquireInterval is the time between two attempts to acquire the lease.
	acquireInterval = 200 * time.Millisecond
)

// LeaseManagerConfig configures a LeaseManager.
type LeaseManagerConfig struct {
	Identity Identity
	Control  fleet.Caller
	// Region returns the region to dispatch for; empty while it is unknown.
	Region func() fleet.RegionName
	// Duration is the duration of the lease to request.
	Duration time.Duration
	Loop     *loop.Loop
	Clock    fleet.Clock
	Log      *slog.Logger
}

// LeaseManager acquires the dispatcher lease of the region and renews it.
type LeaseManager struct {
	cfg    LeaseManagerConfig
	cancel context.CancelFunc
	done   chan struct{}
	// epoch is that of the lease held; 0 without a lease.
	epoch fleet.Epoch
}

// NewLeaseManager returns a LeaseManager without a lease; Start begins to acquire it.
func NewLeaseManager(cfg LeaseManagerConfig) *LeaseManager {
	return &LeaseManager{cfg: cfg, done: make(chan struct{})}
}

// Start acquires and renews the lease in the background until Stop.
func (m *LeaseManager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.run(ctx)
}

// Stop releases the lease and then waits for grace, in which a successor can acquire it. If
// the lease can't be released, it is left to expire.
func (m *LeaseManager) Stop(ctx context.Context, grace time.Duration) error {
	m.cancel()
	<-m.done
	if m.epoch == 0 {
		return nil
	}
	m.cfg.Loop.Post(dispatch.LeaseLost{})
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Duration)
	defer cancel()
	req := m.request()
	req.Release = true
	var reply fleet.LeaseReply
	if err := m.cfg.Control.Call(ctx, fleet.MethodLease, req, &reply); err != nil {
		m.cfg.Log.Warn(logevent.LeaseNotReleased, "error", err)
		return nil
	}
	sleep(ctx, grace)
	return nil
}

func (m *LeaseManager) run(ctx context.Context) {
	defer close(m.done)
	for ctx.Err() == nil {
		if m.cfg.Region() != "" {
			m.acquireOrRenew(ctx)
		}
		if m.epoch == 0 {
			sleep(ctx, acquireInterval)
			continue
		}
		sleep(ctx, m.cfg.Duration/renewalsPerLease)
	}
}

func (m *LeaseManager) request() fleet.LeaseRequest {
	return fleet.LeaseRequest{
		Name:   fleet.LeaseName("Dispatch/" + string(m.cfg.Region())),
		Holder: m.cfg.Identity.Host, Incarnation: m.cfg.Identity.Incarnation,
		Epoch: m.epoch, Duration: m.cfg.Duration,
	}
}

// acquireOrRenew requests the lease once. A granted lease counts from when the request was
// sent.
func (m *LeaseManager) acquireOrRenew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Duration)
	defer cancel()
	sentAt := m.cfg.Clock.Now()
	var reply fleet.LeaseReply
	if err := m.cfg.Control.Call(ctx, fleet.MethodLease, m.request(), &reply); err != nil {
		m.cfg.Log.Warn(logevent.LeaseNotAnswered, "epoch", uint64(m.epoch), "error", err)
		return
	}
	if !reply.Granted {
		m.onLeaseLost(reply)
		return
	}
	if reply.Epoch != m.epoch {
		m.cfg.Log.Info(logevent.LeaseAcquired, "epoch", uint64(reply.Epoch))
	}
	m.epoch = reply.Epoch
	m.cfg.Loop.Post(dispatch.LeaseHeld{
		Epoch: reply.Epoch, NotAfter: sentAt.Add(fleet.ShortenLease(reply.Duration)), Predecessor: reply.Epoch > 1,
	})
}

// onLeaseLost reports the loss of a lease to the reducer, if one was held.
func (m *LeaseManager) onLeaseLost(reply fleet.LeaseReply) {
	if m.epoch == 0 {
		return
	}
	m.cfg.Log.Warn(logevent.LeaseLost, "epoch", uint64(m.epoch), "holder", string(reply.Holder))
	m.epoch = 0
	m.cfg.Loop.Post(dispatch.LeaseLost{})
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
