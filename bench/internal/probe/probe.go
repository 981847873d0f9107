// Package probe calls services through a router, or directly at a target, and measures
// latencies.
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

// Service is the address of a service, at a router or at one target.
type Service struct {
	// BaseURL precedes the paths of the service.
	BaseURL string
	// BearerKey is the bearer key of the customer; empty for calls to a target.
	BearerKey string
}

// ThroughRouter returns the named service at a router, called with the key of a customer.
func ThroughRouter(router netip.AddrPort, service, key string) Service {
	return Service{BaseURL: fmt.Sprintf("http://%s/services/%s", router, service), BearerKey: key}
}

// DirectToTarget returns the service of a target, called without a router.
func DirectToTarget(target netip.AddrPort) Service {
	return Service{BaseURL: "http://" + target.String()}
}

// NewClient returns a client that keeps up to the given number of connections to a host,
// one for each worker.
func NewClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers}}
}

// statusPath is the path of an idempotent call of the plain service.
const statusPath = "/status/1"

// CallStatus makes a short call of the plain service and returns the time until the whole
// answer was read.
func (s Service) CallStatus(ctx context.Context, client *http.Client) (time.Duration, error) {
	began := time.Now()
	resp, err := s.do(ctx, client, http.MethodGet, statusPath, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(began), errors.Wrap(err, "read answer body")
}

// Stream is an open streamed answer of the model service.
type Stream struct {
	// FirstToken is the time from the request until the first line of the stream was read.
	FirstToken time.Duration
	body       io.ReadCloser
	reader     *bufio.Reader
}

// OpenStream requests a stream of tokens from the model service and waits for the first
// token. The caller closes the stream.
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

// Drain reads the stream to its end and discards it.
func (st *Stream) Drain() error {
	_, err := io.Copy(io.Discard, st.reader)
	return errors.Wrap(err, "read stream")
}

// Close closes the answer; a stream that has not ended is cut off.
func (st *Stream) Close() error { return st.body.Close() }

// do sends a request and returns the response, whose body the caller closes. Any status but
// 200 is an error.
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

// NewLatencyHistogram returns a histogram of latencies in microseconds, up to one minute.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
