package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is a stand-in for a server of a service.
type Runner struct {
	ID, Service, Zone, IP string
	// Handle answers a request that has the fields of one; it runs the request.
	Handle func(r *Runner, w http.ResponseWriter, req *http.Request)
	// Slots is the number of requests at once that the runner announces.
	Slots int

	fleet    *Fleet
	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	down     bool
}

// AddRunner starts a runner and its check-ins.
func (f *Fleet) AddRunner(n int, service, zone string, slots int, handle func(*Runner, http.ResponseWriter, *http.Request)) (*Runner, error) {
	r := &Runner{ID: fmt.Sprintf("i-%d", n), Service: service, Zone: zone, IP: f.Address(31 + n), Handle: handle, Slots: slots, fleet: f}
	if err := r.up(); err != nil {
		return nil, err
	}
	f.Runners = append(f.Runners, r)
	f.Go(r.checkIn)
	return r, nil
}

// Endpoint is the address of the runner.
func (r *Runner) Endpoint() string { return fmt.Sprintf("%s:%d", r.IP, runnerPort) }

func (r *Runner) up() error {
	ln, err := net.Listen("tcp", r.Endpoint())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 20 * time.Second}
	r.mu.Lock()
	r.server, r.born, r.sequence, r.down = s, time.Now().UnixMilli(), 0, false
	r.mu.Unlock()
	go func() { _ = s.Serve(ln) }()
	return nil
}

func (r *Runner) close() {
	r.mu.Lock()
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
}

// Crash resets all connections; the runner is back under its ID after d.
func (r *Runner) Crash(d time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
	r.fleet.Logf("runner %s crashes", r.ID)
	time.AfterFunc(d, func() {
		if r.fleet.ctx.Err() == nil {
			if err := r.up(); err != nil {
				r.fleet.Logf("runner %s: %v", r.ID, err)
				return
			}
			r.fleet.Logf("runner %s is back", r.ID)
		}
	})
}

// IsDown reports whether the runner has crashed and is not back.
func (r *Runner) IsDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set("X-Fuchsiashed-Instance-Id", r.ID)
		return
	}
	id := req.Header.Get("X-Fuchsiashed-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Fuchsiashed-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Fuchsiashed-Attempt-Id", id)
	if want := req.Header.Get("X-Fuchsiashed-Expected-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Fuchsiashed-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.Handle(r, w, req)
}

// Answer answers with success.
func (r *Runner) Answer(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Fuchsiashed-Server-Stamp", r.ID+"."+req.Header.Get("X-Fuchsiashed-Attempt-Id"))
	fmt.Fprintf(w, "done by %s", r.ID)
}

// checkIn announces the runner until the end of the script, at any control process that answers.
func (r *Runner) checkIn(ctx context.Context) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		down := r.down
		body, _ := json.Marshal(map[string]any{
			"service": r.Service, "address": r.Endpoint(), "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		if !down {
			for _, i := range rand.Perm(len(r.fleet.Controls)) {
				req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.fleet.Controls[i].Control()+"/instances/"+r.ID, bytes.NewReader(body))
				req.Header.Set("Content-Type", "application/json")
				resp, err := c.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode/100 == 2 {
						break
					}
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}
