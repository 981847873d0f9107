// Package router announces a stand-in target to the routers.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// path is where routers take announcements.
	announcePath = "/v1/targets"
	// postTimeout bounds one announcement.
	postTimeout = time.Second
)

// Config configures an Announcer.
type AnnouncerConfig struct {
	// Routers lists the addresses at which routers take announcements.
	Routers []netip.AddrPort
	// Announcement returns what to announce now; false means to keep silent.
	Announcement func() (fleet.Announcement, bool)
	Log          *slog.Logger
}

// Announcer posts the announcement to every router once per fleet.AnnounceInterval.
type Announcer struct {
	cfg    AnnouncerConfig
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   []chan struct{}
}

// NewAnnouncer makes an Announcer; Start begins to announce.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	return &Announcer{cfg: cfg, client: &http.Client{Timeout: postTimeout}}
}

// Start announces in the background until Stop.
func (a *Announcer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	for _, router := range a.cfg.Routers {
		wake := make(chan struct{}, 1)
		a.wake = append(a.wake, wake)
		a.wg.Add(1)
		go a.run(ctx, router, wake)
	}
}

// Stop ends announcing.
func (a *Announcer) Stop() {
	a.cancel()
	a.wg.Wait()
	a.client.CloseIdleConnections()
}

// Now announces at once, not only at the next interval.
func (a *Announcer) AnnounceNow() {
	for _, wake := range a.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

func (a *Announcer) run(ctx context.Context, router netip.AddrPort, wake <-chan struct{}) {
	defer a.wg.Done()
	ticker := time.NewTicker(fleet.AnnounceInterval)
	defer ticker.Stop()
	reachable := true
	for {
		err := a.post(ctx, router)
		if err != nil && reachable && ctx.Err() == nil {
			a.cfg.Log.Warn("AnnounceFailed", "router", router.String(), "error", err)
		}
		reachable = err == nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

func (a *Announcer) post(ctx context.Context, router netip.AddrPort) error {
	announcement, ok := a.cfg.Announcement()
	if !ok {
		return nil
	}
	raw, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.String()+announcePath, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "make announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post announcement")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return errors.Errorf("router answered %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
