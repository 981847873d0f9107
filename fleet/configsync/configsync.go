// Package configsync keeps a process on the configuration that the control quorum accepted.
// A Follower requests the confirmed state once per Interval, fetches a new fleet text,
// checks its hash, and never reverts to a lower version.
package configsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

const (
	// Interval is the time between two requests to control.
	Interval = time.Second
	// callTimeout bounds one Sync, including retries at other replicas.
	callTimeout = 2 * time.Second
)

// Config configures a Follower.
type Config struct {
	// Control sends requests to the control replicas.
	Control fleet.Caller
	Clock   fleet.Clock
	Log     *slog.Logger
	// Heartbeat returns the state of this process, which is reported with each request.
	Heartbeat func() fleet.StateRequest
	// OnChange, if set, is called with each newly confirmed configuration.
	OnChange func(fleet.Confirmed)
	// OnState, if set, is called with each confirmed state and the time of its request.
	OnState func(requestedAt time.Time, s fleet.StateReply)
}

// Follower follows the accepted configuration. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	cancel  context.CancelFunc
	done    chan struct{}
	refresh chan struct{}

	mu      sync.Mutex
	current fleet.Confirmed
	// notAfter is when the confirmation of current expires.
	notAfter     time.Time
	hosts        []fleet.HostState
	hostsVersion fleet.Sequence
}

// New returns a Follower; Start begins to follow.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, done: make(chan struct{}), refresh: make(chan struct{}, 1)}
}

// Start synchronises in the background until Stop.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
}

// Stop ends the background work and waits for its end. It must be called after Start.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// Current returns the newest accepted configuration. The second result is false if the
// quorum has not confirmed it recently enough for new work to be taken under it.
func (f *Follower) Current() (fleet.Confirmed, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.current.Fleet != nil && f.cfg.Clock.Now().Before(f.notAfter)
}

// Hosts returns the processes that control received heartbeats from recently.
func (f *Follower) Hosts() []fleet.HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fleet.HostState(nil), f.hosts...)
}

// ObserveVersion takes the version that a peer uses, and calls Refresh if it is above the
// current one.
func (f *Follower) ObserveVersion(v fleet.Version) {
	f.mu.Lock()
	newer := v > f.current.Version
	f.mu.Unlock()
	if newer {
		f.Refresh()
	}
}

// Refresh requests the state now rather than at the next interval. It does not wait for the
// reply.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		if err := f.Sync(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.Warn(logevent.ConfigUnconfirmed, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.refresh:
		}
	}
}

// Sync requests the state from control once and adopts it. It fails if control can't be
// reached, the version is lower than the current one, or the fleet text does not have the
// confirmed hash.
func (f *Follower) Sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := f.cfg.Clock.Now()
	heartbeat := f.cfg.Heartbeat()
	heartbeat.HostsSeen = f.knownHostsVersion()
	var state fleet.StateReply
	if err := f.cfg.Control.Call(ctx, fleet.MethodState, heartbeat, &state); err != nil {
		return err
	}
	next, err := f.resolve(ctx, state)
	if err != nil {
		return err
	}
	f.adopt(requestedAt, next, state)
	if f.cfg.OnState != nil {
		f.cfg.OnState(requestedAt, state)
	}
	return nil
}

func (f *Follower) knownHostsVersion() fleet.Sequence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostsVersion
}

// resolve returns the configuration of the state. It fetches the text if its hash is new.
func (f *Follower) resolve(ctx context.Context, state fleet.StateReply) (fleet.Confirmed, error) {
	f.mu.Lock()
	next := f.current
	f.mu.Unlock()
	if state.Version < next.Version {
		return next, errors.Errorf("control confirmed version %d after version %d", state.Version, next.Version)
	}
	if state.Version == next.Version {
		return next, nil
	}
	if state.Hash != next.Hash {
		parsed, err := f.fetchText(ctx, state)
		if err != nil {
			return next, err
		}
		next.Fleet = parsed
	}
	next.Version, next.Hash = state.Version, state.Hash
	next.DataCentresOut = make(map[fleet.DataCentreName]bool, len(state.DataCentresOut))
	for _, dc := range state.DataCentresOut {
		next.DataCentresOut[dc] = true
	}
	return next, nil
}

// fetchText fetches and parses the fleet text of the state's version and checks its hash.
func (f *Follower) fetchText(ctx context.Context, state fleet.StateReply) (*fleet.Fleet, error) {
	var text fleet.TextReply
	if err := f.cfg.Control.Call(ctx, fleet.MethodText, fleet.TextRequest{Version: state.Version}, &text); err != nil {
		return nil, err
	}
	if hash := fleettext.Hash(text.Text); hash != state.Hash {
		return nil, errors.Errorf("fleet text of version %d has hash %s; the quorum confirmed %s", state.Version, hash, state.Hash)
	}
	return fleettext.Parse("fleet text", text.Text)
}

// adopt makes next the current configuration unless its version is lower. The validity of
// the confirmation counts from the time of the request.
func (f *Follower) adopt(requestedAt time.Time, next fleet.Confirmed, state fleet.StateReply) {
	f.mu.Lock()
	if next.Version < f.current.Version {
		f.mu.Unlock()
		return
	}
	changed := next.Version > f.current.Version
	f.current = next
	f.notAfter = requestedAt.Add(fleet.ShortenLease(state.Validity))
	if state.HostsVersion == 0 || state.HostsVersion != f.hostsVersion {
		f.hosts, f.hostsVersion = state.Hosts, state.HostsVersion
	}
	f.mu.Unlock()
	if changed {
		f.cfg.Log.Info(logevent.ConfigInForce, "version", uint64(next.Version), "hash", next.Hash)
		if f.cfg.OnChange != nil {
			f.cfg.OnChange(next)
		}
	}
}
