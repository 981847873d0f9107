// Package caller is a client of the fleet as callers implement it: it asks an entry host
// which hosts to use and sends the request to one of them.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Host is a router to which a caller may send requests.
type Host struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
}

// Hosts is the answer of GET /v1/hosts: the hosts to use during the next ValidSeconds.
type Hosts struct {
	Hosts        []Host
	ValidSeconds float64
}

// Check implements fleet.Checker.
func (h *Hosts) Check() error {
	if len(h.Hosts) == 0 {
		return errors.New("Hosts is empty: no host accepts requests")
	}
	return nil
}

// maxAnswerBytes limits the answers that a caller reads.
const maxAnswerBytes = 64 << 20

// FetchHosts returns the hosts to use for a service. It asks the entry hosts in order
// until one answers; the error is that of the last one.
func FetchHosts(ctx context.Context, client *http.Client, entry []netip.AddrPort, customer fleet.CustomerName, service fleet.ServiceName) (Hosts, error) {
	var lastErr error
	for _, addr := range entry {
		hosts, err := fetchHostsFrom(ctx, client, addr, customer, service)
		if err == nil {
			return hosts, nil
		}
		lastErr = err
	}
	return Hosts{}, errors.Wrapf(lastErr, "none of %d entry hosts returned the hosts to use", len(entry))
}

func fetchHostsFrom(ctx context.Context, client *http.Client, addr netip.AddrPort, customer fleet.CustomerName, service fleet.ServiceName) (Hosts, error) {
	var hosts Hosts
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	query := url.Values{"Customer": {string(customer)}, "Service": {string(service)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/hosts?%s", addr, query.Encode()), nil)
	if err != nil {
		return hosts, errors.Wrap(err, "make request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return hosts, errors.Wrapf(err, "ask %s for hosts", addr)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return hosts, errors.Wrapf(err, "read hosts from %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return hosts, errors.Errorf("host %s answered %s: %s", addr, resp.Status, raw)
	}
	if err := fleet.Decode(raw, &hosts); err != nil {
		return hosts, err
	}
	return hosts, nil
}

// Request is a request of a customer to a service.
type Request struct {
	Customer fleet.CustomerName
	// Key is the customer's bearer token.
	Key     string
	Service fleet.ServiceName
	Method  string
	// Path is the path relative to the service, starting with a slash.
	Path string
	Body []byte
	// IdempotencyKey is set on calls that run at most once.
	IdempotencyKey fleet.IdempotencyKey
	// Hint is an estimate of the request's cost; 0 means none.
	Hint fleet.Cost
}

// Answer is the answer to a request, or the part of it that was received.
type Answer struct {
	Status      int
	RequestID   fleet.RequestID
	ContentType string
	Body        []byte
	// Failure is set if the fleet failed the request.
	Failure *Failure
	// TimeToFirstByte and TotalTime are measured from the start of the request to the
	// first byte and to the end of the body.
	TimeToFirstByte time.Duration
	TotalTime       time.Duration
}

// Failure describes a failed request: the body of its answer, or the data of the last
// event of a stream.
type Failure struct {
	Verdict           fleet.Verdict
	Reason            fleet.Reason
	Detail            string
	RequestID         fleet.RequestID `json:"RequestId"`
	RetryAfterSeconds float64
}

// HTTP headers of requests and answers.
const (
	headerRequestID = "Fuchsiashed-Request-Id"
	headerVerdict   = "Fuchsiashed-Verdict"
	headerCostHint  = "Fuchsiashed-Cost-Hint"
)

// Send sends a request to a host. An error means that no answer was received or that the
// answer ended early; the part that was received is returned with the error.
func Send(ctx context.Context, client *http.Client, host netip.AddrPort, request Request) (Answer, error) {
	var answer Answer
	req, err := request.newHTTPRequest(ctx, host)
	if err != nil {
		return answer, err
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer, errors.Wrapf(err, "send request to %s", host)
	}
	defer resp.Body.Close()
	answer.Status, answer.RequestID = resp.StatusCode, fleet.RequestID(resp.Header.Get(headerRequestID))
	answer.ContentType = resp.Header.Get("Content-Type")
	err = answer.read(resp.Body, start)
	answer.TotalTime = time.Since(start)
	if resp.Header.Get(headerVerdict) != "" && err == nil {
		answer.Failure = &Failure{}
		if jsonErr := json.Unmarshal(answer.Body, answer.Failure); jsonErr != nil {
			return answer, errors.Wrap(jsonErr, "decode failure")
		}
		return answer, nil
	}
	if failure := streamFailure(answer.Body); failure != nil {
		answer.Failure = failure
		return answer, nil
	}
	return answer, errors.Wrap(err, "read answer")
}

func (r Request) newHTTPRequest(ctx context.Context, host netip.AddrPort) (*http.Request, error) {
	requestURL := fmt.Sprintf("http://%s/services/%s%s", host, r.Service, r.Path)
	req, err := http.NewRequestWithContext(ctx, r.Method, requestURL, bodyReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set("Content-Type", "application/json")
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", string(r.IdempotencyKey))
	}
	if r.Hint > 0 {
		req.Header.Set(headerCostHint, fmt.Sprint(r.Hint))
	}
	return req, nil
}
