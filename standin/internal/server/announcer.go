// Package server is the network side of a stand-in target: the HTTP handler for requests of
// routers and of tests, and the announcements to the routers.
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
	// announcePath is the route on which routers accept announcements.
	announcePath = "/v1/targets"
	// postTimeout limits each announcement.
	postTimeout = time.Second
)

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	// Routers lists the addresses on which routers accept announcements.
	Routers []netip.AddrPort
	// Announcement returns the current announcement; false means to send none.
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

// NewAnnouncer returns an Announcer that posts nothing before Start.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	return &Announcer{cfg: cfg, client: &http.Client{Timeout: postTimeout}}
}

// Start begins to post announcements in the background, to each router independently.
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

// Stop ends the announcements and waits for those in progress.
func (a *Announcer) Stop() {
	a.cancel()
	a.wg.Wait()
	a.client.CloseIdleConnections()
}

// AnnounceNow requests an announcement to every router before the next interval. It does
// not wait for it.
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
