// Package load generates load on a fleet of stand-in targets. It compares every answer
// with the expected bytes, and the verdicts of failures with the runs that the targets
// recorded.
package load

import (
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Customer is a customer for which load is generated, with its bearer token.
type Customer struct {
	Name fleet.CustomerName
	Key  string
	// Workers is the number of concurrent requests.
	Workers int
}

// Config configures Run.
type Config struct {
	Clock fleet.Clock
	Log   *slog.Logger
	// Client sends the requests.
	Client *http.Client
	// EntryHosts lists the hosts that are asked which hosts to use.
	EntryHosts []netip.AddrPort
	Customers  []Customer
	// ModelService and PlainService are the services; an empty name means no load on it.
	ModelService fleet.ServiceName
	PlainService fleet.ServiceName
	// PlainPercent is the percentage of requests that go to the plain service if both
	// services are set.
	PlainPercent int
	// ResendPercent is the percentage of run-once calls that are sent again after success.
	ResendPercent int
	// MeanTokens is the mean number of tokens of an answer, heavy requests aside.
	MeanTokens int
	// Duration is the time during which new requests are started.
	Duration time.Duration
	// Pause is the time between the end of a worker's request and the start of the next.
	Pause time.Duration
	// RequestTimeout limits each attempt.
	RequestTimeout time.Duration
	// MaxAttempts limits the attempts of each request.
	MaxAttempts int
	// Seed determines the generated requests.
	Seed uint64
	// FetchRecords returns the records of all targets after the run; nil skips the comparison.
	FetchRecords func() ([]TargetRecord, error)
}

func (c *Config) check() error {
	switch {
	case len(c.EntryHosts) == 0 || len(c.Customers) == 0:
		return errors.New("at least one host and one customer are required")
	case c.ModelService == "" && c.PlainService == "":
		return errors.New("a model service or a plain service is required")
	case c.PlainPercent < 0 || c.PlainPercent > 100 || c.ResendPercent < 0 || c.ResendPercent > 100:
		return errors.New("the percentages for the plain service and for resending must be from 0 to 100")
	case c.MaxAttempts < 1 || c.MeanTokens < 1:
		return errors.New("the numbers of attempts and of tokens must be at least 1")
	}
	return nil
}
