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
	// maxAnswer is the largest answer in bytes.
	maxAnswer = 64 << 20
)

// Client asks processes on their operators' addresses.
type Client struct {
	HTTP      *http.Client
	Addresses []netip.AddrPort
}

// Answer is the answer of one process, or why it gave none.
type Answer[T any] struct {
	Address netip.AddrPort
	Value   T
	Err     error
}

// Statuses asks all processes for their status.
func (c *Client) Statuses(ctx context.Context) []Answer[fleet.ProcessStatus] {
	return ask[fleet.ProcessStatus](ctx, c, fleet.PathStatus)
}

// Targets returns the targets that the active dispatcher knows.
func (c *Client) Targets(ctx context.Context) ([]fleet.TargetStatus, error) {
	var list []fleet.TargetStatus
	return list, c.askActive(ctx, fleet.PathTargets, &list)
}

// Customers returns the customers that the active dispatcher knows.
func (c *Client) Customers(ctx context.Context) ([]fleet.CustomerStatus, error) {
	var list []fleet.CustomerStatus
	return list, c.askActive(ctx, fleet.PathCustomers, &list)
}

// askActive asks the dispatcher that holds the lease; the others know less.
func (c *Client) askActive(ctx context.Context, path string, v any) error {
	var active Answer[fleet.ProcessStatus]
	var last error
	for _, a := range c.Statuses(ctx) {
		if a.Err != nil {
			last = a.Err
			continue
		}
		s := a.Value
		if s.Role == fleet.RoleDispatcher && s.Active == s.Host && s.Epoch > active.Value.Epoch {
			active = a
		}
	}
	if active.Value.Epoch == 0 && last != nil {
		return errors.Wrap(last, "no active dispatcher answered; check that --admin lists the operators' addresses of all dispatchers and that they run")
	}
	if active.Value.Epoch == 0 {
		return errors.New("no dispatcher is active; repeat this in a few seconds, and check that --admin lists all dispatchers")
	}
	return get(ctx, c.HTTP, active.Address, path, v)
}

// Explain returns the decisions of all processes about a request.
func (c *Client) Explain(ctx context.Context, id fleet.RequestID) ([]fleet.Decision, error) {
	all := []fleet.Decision{}
	var last error
	answered := false
	for _, a := range ask[[]fleet.Decision](ctx, c, fleet.PathExplain+url.PathEscape(string(id))) {
		if a.Err != nil {
			last = a.Err
			continue
		}
		answered = true
		all = append(all, a.Value...)
	}
	if !answered {
		// An empty list would be mistaken for the truth.
		return nil, errors.Wrapf(last, "none of %d processes answered; check that --admin lists the operators' addresses of dispatchers and routers", len(c.Addresses))
	}
	return all, nil
}

// ask asks all processes at the same time.
func ask[T any](ctx context.Context, c *Client, path string) []Answer[T] {
	answers := make([]Answer[T], len(c.Addresses))
	var wg sync.WaitGroup
	for i, addr := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i].Address = addr
			answers[i].Err = get(ctx, c.HTTP, addr, path, &answers[i].Value)
		}()
	}
	wg.Wait()
	return answers
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
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(v), "decode %s%s", addr, path)
}
