// Package target is the HTTP/1.1 client of targets: it sends requests, passes the
// responses on, resumes and cancels streams, and receives the targets' announcements.
package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

const (
	// maxIdleTime is how long an idle connection is kept. It is short, so that requests
	// rarely use a connection that the target is about to close.
	maxIdleTime = 2 * time.Second
	// maxIdlePerTarget bounds the idle connections to each target.
	maxIdlePerTarget = 32
	// headerRequestID carries the request id to the target, which echoes it in the
	// response.
	headerRequestID = "Fuchsiashed-Request-Id"
	// headerNotRun is "true" on a rejection by a target that did not run the request.
	headerNotRun = "Fuchsiashed-Not-Run"
	// cancelTimeout bounds the cancellation of a request at a target.
	cancelTimeout = time.Second
)

// Config configures a Client.
type Config struct {
	Clock fleet.Clock
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	cfg  Config
	pool *targetconn.Pool
	done chan struct{}
}

// NewClient returns a Client. Start begins to close its idle connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pool: targetconn.NewPool(), done: make(chan struct{})}
}

// Start begins to close connections that have been idle for maxIdleTime.
func (c *Client) Start() {
	go func() {
		ticker := time.NewTicker(maxIdleTime)
		defer ticker.Stop()
		for {
			select {
			case <-c.done:
				return
			case <-ticker.C:
				c.pool.Sweep(c.cfg.Clock.Now())
			}
		}
	}()
}

// Stop ends the work begun by Start.
func (c *Client) Stop() { close(c.done) }

// Cancel requests on a new connection that a target stop running a request. It reports
// whether the target confirmed that the request no longer runs.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id fleet.RequestID) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	conn, err := targetconn.Dial(ctx, addr, targetconn.Options{Timeout: cancelTimeout})
	if err != nil {
		return false
	}
	defer targetconn.Discard(conn)
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return false
	}
	req := streamRequest(http.MethodDelete, addr, id, "")
	resp, err := roundTrip(conn, req)
	if err != nil {
		return false
	}
	targetconn.Discard(resp.Body)
	return resp.StatusCode == http.StatusNoContent
}

// streamRequest returns a request about the stream of an earlier request.
func streamRequest(method string, addr netip.AddrPort, id fleet.RequestID, query string) *http.Request {
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: addr.String(), Path: "/v1/streams/" + string(id), RawQuery: query},
		Host:   addr.String(),
		Header: http.Header{headerRequestID: {string(id)}, "User-Agent": {""}},
		Close:  method == http.MethodDelete,
	}
}

// roundTrip sends a request without a body and reads the response header.
func roundTrip(c *targetconn.Conn, req *http.Request) (*http.Response, error) {
	if err := c.WriteRequest(req); err != nil {
		return nil, err
	}
	return c.ReadResponse(req)
}

// drain reads what is left of a small body and reports whether it reached the end, so
// that the connection can be reused.
func drain(body io.Reader) bool {
	const maxDrained = 16 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDrained+1))
	return err == nil && n <= maxDrained
}
