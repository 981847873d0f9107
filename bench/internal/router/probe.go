// Package router calls services through a router and directly, to compare both.
package router

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
	Root string
	// Key is the bearer key of the customer; targets ignore it.
	Key string
}

// Through returns a service as a router offers it.
func Through(router netip.AddrPort, service, key string) Service {
	return Service{Root: fmt.Sprintf("http://%s/services/%s", router, service), Key: key}
}

// Direct returns a service as a target offers it.
func Direct(target netip.AddrPort) Service { return Service{Root: "http://" + target.String()} }

// NewClient makes a client with enough kept connections for workers.
func NewClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers}}
}

// statusPath is an idempotent call of the plain service.
const statusPath = "/status/1"

// Status calls the plain service and returns the time until its answer was whole.
func (s Service) Status(ctx context.Context, client *http.Client) (time.Duration, error) {
	began := time.Now()
	resp, err := s.send(ctx, client, http.MethodGet, statusPath, nil)
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
	lines      *bufio.Reader
}

// Open asks the model service for a stream of tokens and waits for the first.
func (s Service) Open(ctx context.Context, client *http.Client, tokens int) (*Stream, error) {
	body := fmt.Appendf(nil, `{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, tokens)
	began := time.Now()
	resp, err := s.send(ctx, client, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	st := &Stream{body: resp.Body, lines: bufio.NewReader(resp.Body)}
	if _, err := st.lines.ReadString('\n'); err != nil {
		_ = st.Close()
		return nil, errors.Wrap(err, "read first token")
	}
	st.FirstToken = time.Since(began)
	return st, nil
}

// Drain reads the stream to its end.
func (st *Stream) Drain() error {
	_, err := io.Copy(io.Discard, st.lines)
	return errors.Wrap(err, "read stream")
}

// Close ends the stream.
func (st *Stream) Close() error { return st.body.Close() }

func (s Service) send(ctx context.Context, client *http.Client, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.Root+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
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
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
