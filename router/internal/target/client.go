package target

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// headerRequestID carries the request id to the target and, echoed, back.
	headerRequestID = "Fuchsiashed-Request-Id"
	// headerNotRun is "true" on a refusal of a target that did not run the request.
	headerNotRun = "Fuchsiashed-Not-Run"
	// cancelTimeout bounds the cancellation of a stream.
	cancelTimeout = time.Second
)

// Config configures a Client.
type Config struct {
	Clock fleet.Clock
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	cfg  Config
	pool *pool
	done chan struct{}
}

// NewClient makes a Client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pool: newPool(), done: make(chan struct{})}
}

// Start begins to close unused connections.
func (c *Client) Start() {
	go func() {
		ticker := time.NewTicker(idleLimit)
		defer ticker.Stop()
		for {
			select {
			case <-c.done:
				return
			case <-ticker.C:
				c.pool.sweep(c.cfg.Clock.Now())
			}
		}
	}()
}

// Stop ends what Start began.
func (c *Client) Stop() { close(c.done) }

// Cancel tells a target to stop running a request, on a new connection. It reports
// whether the target confirmed that the request no longer runs.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, id fleet.RequestID) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	cn, err := dial(ctx, addr, cancelTimeout)
	if err != nil {
		return false
	}
	defer discard(cn)
	if err := cn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return false
	}
	req := streamRequest(http.MethodDelete, addr, id, "")
	resp, err := roundTrip(cn, req)
	if err != nil {
		return false
	}
	discard(resp.Body)
	return resp.StatusCode == http.StatusNoContent
}

// streamRequest makes a request about the stream of an earlier request.
func streamRequest(method string, addr netip.AddrPort, id fleet.RequestID, query string) *http.Request {
	return &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: addr.String(), Path: "/v1/streams/" + string(id), RawQuery: query},
		Host:   addr.String(),
		Header: http.Header{headerRequestID: {string(id)}, "User-Agent": {""}},
		Close:  method == http.MethodDelete,
	}
}

// roundTrip sends a request without a body and reads the header of its answer.
func roundTrip(c *conn, req *http.Request) (*http.Response, error) {
	if err := writeRequest(c, req); err != nil {
		return nil, err
	}
	return readResponse(c, req)
}

func writeRequest(c *conn, req *http.Request) error {
	bw := bufio.NewWriterSize(c, readBuffer)
	if err := req.Write(bw); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(bw.Flush(), "write request")
}

// readResponse reads the header of the final answer.
func readResponse(c *conn, req *http.Request) (*http.Response, error) {
	c.header = maxAnswerHeader
	defer func() { c.header = -1 }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read header of the answer")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switched protocols without being asked")
		}
	}
}

// drained reads what is left of a small body, so that its connection can be used again.
func drained(body io.Reader) bool {
	const most = 16 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(body, most+1))
	return err == nil && n <= most
}
