// Package load sends a bounded load to a fleet of stand-in targets and checks what
// comes back: every byte of every answer, and every claim of a failure against the
// targets' own records.
package load

import (
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Customer is a customer that sends load.
type Customer struct {
	Name fleet.CustomerName
	Key  string
	// Workers is the number of requests that it has in hand at the same time.
	Workers int
}

// Config configures a run.
type Config struct {
	Clock fleet.Clock
	Log   *slog.Logger
	// Client sends the requests.
	Client *http.Client
	// Hosts lists hosts to ask for the hosts to use.
	EntryHosts []netip.AddrPort
	Customers  []Customer
	// Model and Plain are the services; an empty one gets no load.
	ModelService fleet.ServiceName
	PlainService fleet.ServiceName
	// PlainPercent is the share of requests that go to the plain service.
	PlainPercent int
	// ResendPercent is the share of run-once calls that are sent again after success.
	ResendPercent int
	// Tokens is the mean number of tokens of an answer.
	MeanTokens int
	// Duration is how long new requests are begun.
	Duration time.Duration
	// Pause is the time between two requests of a worker.
	Pause time.Duration
	// RequestTimeout bounds one attempt.
	RequestTimeout time.Duration
	// Attempts is the most attempts of one request.
	MaxAttempts int
	// Seed makes the requests; the same seed makes the same ones.
	Seed uint64
	// Records returns the runs that all targets recorded.
	FetchRecords func() ([]TargetRecord, error)
}

func (c *Config) check() error {
	switch {
	case len(c.EntryHosts) == 0 || len(c.Customers) == 0:
		return errors.New("Hosts and Customers are needed")
	case c.ModelService == "" && c.PlainService == "":
		return errors.New("one of Model and Plain is needed")
	case c.PlainPercent < 0 || c.PlainPercent > 100 || c.ResendPercent < 0 || c.ResendPercent > 100:
		return errors.New("percentages are from 0 to 100")
	case c.MaxAttempts < 1 || c.MeanTokens < 1:
		return errors.New("Attempts and Tokens are at least 1")
	}
	return nil
}
