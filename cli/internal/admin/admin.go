// Package admin reads the operators' addresses of the fleet's processes by HTTP.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// getTimeout bounds the question to one process.
	getTimeout = 3 * time.Second
	// maxResponseBytes is the largest answer in bytes.
	maxResponseBytes = 64 << 20
)

// Client asks processes on their operators' addresses.
type Client struct {
	HTTP      *http.Client
	Addresses []netip.AddrPort
}

// Response is the answer of one process, or why it gave none.
type Response[T any] struct {
	Address netip.AddrPort
	Value   T
	Err     error
}

// Statuses asks all processes for their status.
func (c *Client) Statuses(ctx context.Context) []Response[fleet.ProcessStatus] {
	return getAll[fleet.ProcessStatus](ctx, c, fleet.PathStatus)
}

// Targets returns the targets that the active dispatcher knows.
func (c *Client) Targets(ctx context.Context) ([]fleet.TargetStatus, error) {
	var list []fleet.TargetStatus
	return list, c.getFromActive(ctx, fleet.PathTargets, &list)
}

// Customers returns the customers that the active dispatcher knows.
func (c *Client) Customers(ctx context.Context) ([]fleet.CustomerStatus, error) {
	var list []fleet.CustomerStatus
	return list, c.getFromActive(ctx, fleet.PathCustomers, &list)
}

// getFromActive asks the dispatcher that holds the lease; the others know less.
func (c *Client) getFromActive(ctx context.Context, path string, v any) error {
	var active Response[fleet.ProcessStatus]
	var lastErr error
	for _, a := range c.Statuses(ctx) {
		if a.Err != nil {
			lastErr = a.Err
			continue
		}
		s := a.Value
		if s.Role == fleet.RoleDispatcher && s.Active == s.Host && s.Epoch > active.Value.Epoch {
			active = a
		}
	}
	if active.Value.Epoch == 0 && lastErr != nil {
		return errors.Wrap(lastErr, "no active dispatcher answered; check that --admin lists the operators' addresses of all dispatchers and that they run")
	}
	if active.Value.Epoch == 0 {
		return errors.New("no dispatcher is active; repeat this in a few seconds, and check that --admin lists all dispatchers")
	}
	return get(ctx, c.HTTP, active.Address, path, v)
}

// Explain returns the decisions of all processes about a request.
func (c *Client) Explain(ctx context.Context, id fleet.RequestID) ([]fleet.Decision, error) {
	all := []fleet.Decision{}
	var lastErr error
	answered := false
	for _, a := range getAll[[]fleet.Decision](ctx, c, fleet.PathExplain+url.PathEscape(string(id))) {
		if a.Err != nil {
			lastErr = a.Err
			continue
		}
		answered = true
		all = append(all, a.Value...)
	}
	if !answered {
		// An empty list would be mistaken for the truth.
		return nil, errors.Wrapf(lastErr, "none of %d processes answered; check that --admin lists the operators' addresses of dispatchers and routers", len(c.Addresses))
	}
	return all, nil
}

// getAll asks all processes at the same time.
func getAll[T any](ctx context.Context, c *Client, path string) []Response[T] {
	responses := make([]Response[T], len(c.Addresses))
	var wg sync.WaitGroup
	for i, addr := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i].Address = addr
			responses[i].Err = get(ctx, c.HTTP, addr, path, &responses[i].Value)
		}()
	}
	wg.Wait()
	return responses
}

func get(ctx context.Context, client *http.Client, addr netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", addr, path), nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "ask %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v), "decode %s%s", addr, path)
}
