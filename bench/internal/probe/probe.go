// Package router calls services through a router and directly, to compare both.
package probe

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Service is a service that is called through a router, or at one target.
type Service struct {
	// Root is the URL below which the service's own paths lie.
	BaseURL string
	// Key is the bearer key of the customer; targets ignore it.
	BearerKey string
}

// Through returns a service as a router offers it.
func ThroughRouter(router netip.AddrPort, service, key string) Service {
	return Service{BaseURL: fmt.Sprintf("http://%s/services/%s", router, service), BearerKey: key}
}

// Direct returns a service as a target offers it.
func DirectToTarget(target netip.AddrPort) Service {
	return Service{BaseURL: "http://" + target.String()}
}

// NewClient makes a client with enough kept connections for workers.
func NewClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers}}
}

// statusPath is an idempotent call of the plain service.
const statusPath = "/status/1"

// Status calls the plain service and returns the time until its answer was whole.
func (s Service) CallStatus(ctx context.Context, client *http.Client) (time.Duration, error) {
	began := time.Now()
	resp, err := s.do(ctx, client, http.MethodGet, statusPath, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(began), errors.Wrap(err, "read answer")
}

// Stream is an open answer of the model service.
type Stream struct {
	// FirstToken is the time until the first event.
	FirstToken time.Duration
	body       io.ReadCloser
	reader     *bufio.Reader
}

// Open asks the model service for a stream of tokens and waits for the first.
func (s Service) OpenStream(ctx context.Context, client *http.Client, tokens int) (*Stream, error) {
	body := fmt.Appendf(nil, `{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, tokens)
	began := time.Now()
	resp, err := s.do(ctx, client, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	stream := &Stream{body: resp.Body, reader: bufio.NewReader(resp.Body)}
	if _, err := stream.reader.ReadString('\n'); err != nil {
		_ = stream.Close()
		return nil, errors.Wrap(err, "read first token")
	}
	stream.FirstToken = time.Since(began)
	return stream, nil
}

// Drain reads the stream to its end.
func (st *Stream) Drain() error {
	_, err := io.Copy(io.Discard, st.reader)
	return errors.Wrap(err, "read stream")
}

// Close ends the stream.
func (st *Stream) Close() error { return st.body.Close() }

func (s Service) do(ctx context.Context, client *http.Client, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if s.BearerKey != "" {
		req.Header.Set("Authorization", "Bearer "+s.BearerKey)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		_ = resp.Body.Close()
		return nil, errors.Errorf("%s %s: %s: %s", method, req.URL, resp.Status, text)
	}
	return resp, nil
}

// NewHistogram makes a histogram of microseconds up to a minute.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
