// Package admin sends HTTP requests to the operators' addresses of dispatchers and routers.
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
	// getTimeout bounds the request to one process.
	getTimeout = 3 * time.Second
	// maxResponseBytes is the maximum size of a response; the rest is not read.
	maxResponseBytes = 64 << 20
)

// Client sends requests to processes.
type Client struct {
	HTTP *http.Client
	// Addresses lists the operators' addresses of the processes.
	Addresses []netip.AddrPort
}

// Response is the response of the process at an address. Value is valid only if Err is nil.
type Response[T any] struct {
	Address netip.AddrPort
	Value   T
	Err     error
}

// Statuses returns the status of each process, in the order of c.Addresses.
func (c *Client) Statuses(ctx context.Context) []Response[fleet.ProcessStatus] {
	return getAll[fleet.ProcessStatus](ctx, c, fleet.PathStatus)
}

// Targets returns the status of all targets at the active dispatcher.
func (c *Client) Targets(ctx context.Context) ([]fleet.TargetStatus, error) {
	var list []fleet.TargetStatus
	return list, c.getFromActive(ctx, fleet.PathTargets, &list)
}

// Customers returns the status of all customers at the active dispatcher.
func (c *Client) Customers(ctx context.Context) ([]fleet.CustomerStatus, error) {
	var list []fleet.CustomerStatus
	return list, c.getFromActive(ctx, fleet.PathCustomers, &list)
}

// getFromActive sends a GET request to the dispatcher that holds the lease, which alone has
// the complete state, and decodes the response into v. If several claim the lease, it is the
// one with the highest epoch.
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

// Explain returns the decisions of all processes about a request. It is an error if no
// process responds.
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
		// An empty list would look as if no process had a decision about the request.
		return nil, errors.Wrapf(lastErr, "none of %d processes answered; check that --admin lists the operators' addresses of dispatchers and routers", len(c.Addresses))
	}
	return all, nil
}

// getAll sends a GET request to all processes concurrently and decodes their responses.
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

// get sends a GET request to one process and decodes the response into v.
func get(ctx context.Context, client *http.Client, addr netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", addr, path), nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "request to %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v), "decode %s%s", addr, path)
}
