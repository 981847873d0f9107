package app

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/load"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

const loadExample = `Sends a bounded load, checks every answer and the targets' records, and prints the figures.
The exit code is 1 if an answer was wrong, a run-once call ran twice or was lost, or a
request ran whose failure said NotRun.

Examples:
  fuchsiashed-standin load --host 127.0.0.1:7121 --customer cafe-majori=example-key-cafe-majori:4 \
    --model drafter --plain permit-desk --duration 10s --target 127.0.0.1:7131 --target 127.0.0.1:7141`

// maxIdleConnsPerHost lets many workers reuse their connections to a host.
const maxIdleConnsPerHost = 256

// LoadOptions holds the flags of the subcommand load.
type LoadOptions struct {
	Hosts          []string      `long:"host" value-name:"IP:PORT" required:"yes" description:"any host of the fleet; may be repeated"`
	Customers      []string      `long:"customer" value-name:"NAME=KEY:WORKERS" required:"yes" description:"customer with its bearer key and the number of requests in hand; may be repeated"`
	Model          string        `long:"model" value-name:"SERVICE" description:"model service to load"`
	Plain          string        `long:"plain" value-name:"SERVICE" description:"plain service to load"`
	PlainPercent   int           `long:"plain-percent" default:"30" description:"share of requests to the plain service"`
	ResendPercent  int           `long:"resend-percent" default:"10" description:"share of run-once calls sent again after success"`
	Tokens         int           `long:"tokens" default:"20" description:"mean tokens of an answer"`
	Duration       time.Duration `long:"duration" default:"10s" description:"time during which requests are begun"`
	Pause          time.Duration `long:"pause" default:"5ms" description:"time between two requests of a worker"`
	RequestTimeout time.Duration `long:"request-timeout" default:"60s" description:"bound on one attempt"`
	Attempts       int           `long:"attempts" default:"12" description:"most attempts of one request"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the requests"`
	Targets        []string      `long:"target" value-name:"IP:PORT" description:"stand-in target whose record is checked; may be repeated"`
	RecordFiles    []string      `long:"record-file" value-name:"FILE" description:"record file of a target that may not run any more; may be repeated"`
	JSON           string        `long:"json-file" value-name:"FILE" description:"write the result as JSON"`
}

func runLoad(io *iostreams.IOStreams, opts LoadOptions) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg, err := opts.config(io)
	if err != nil {
		return err
	}
	res, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	res.Print(io.Out)
	if err := writeJSON(opts.JSON, res); err != nil {
		return err
	}
	if violations := res.Violations(); len(violations) > 0 {
		return errors.Errorf("%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
	}
	return nil
}

func (o *LoadOptions) config(io *iostreams.IOStreams) (load.Config, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	cfg := load.Config{
		Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Err, nil)), Client: &http.Client{Transport: transport},
		ModelService: fleet.ServiceName(o.Model), PlainService: fleet.ServiceName(o.Plain), PlainPercent: o.PlainPercent,
		ResendPercent: o.ResendPercent, MeanTokens: o.Tokens, Duration: o.Duration, Pause: o.Pause,
		RequestTimeout: o.RequestTimeout, MaxAttempts: o.Attempts, Seed: o.Seed,
	}
	var err error
	if cfg.EntryHosts, err = parseAddresses("--host", o.Hosts); err != nil {
		return cfg, err
	}
	targets, err := parseAddresses("--target", o.Targets)
	if err != nil {
		return cfg, err
	}
	cfg.FetchRecords = func() ([]load.TargetRecord, error) { return fetchRecords(cfg.Client, targets, o.RecordFiles) }
	cfg.Customers, err = parseCustomers(o.Customers)
	return cfg, err
}

// fetchRecords fetches the records of running targets over HTTP, and reads the record
// files of targets that may have stopped.
func fetchRecords(client *http.Client, targets []netip.AddrPort, files []string) ([]load.TargetRecord, error) {
	var list []load.TargetRecord
	for _, addr := range targets {
		rec, err := load.FetchRecord(context.Background(), client, addr)
		if err != nil {
			return nil, err
		}
		list = append(list, rec)
	}
	for _, file := range files {
		runs, err := record.Read(file)
		if err != nil {
			return nil, err
		}
		list = append(list, load.TargetRecord{Target: file, Runs: runs})
	}
	return list, nil
}

// parseCustomers parses texts of the form NAME=KEY:WORKERS.
func parseCustomers(texts []string) ([]load.Customer, error) {
	var list []load.Customer
	for _, text := range texts {
		var c load.Customer
		name, rest, ok := strings.Cut(text, "=")
		key, workers, counted := strings.Cut(rest, ":")
		if !ok || !counted {
			return nil, errors.Errorf("--customer %q is not of the form NAME=KEY:WORKERS", text)
		}
		if _, err := fmt.Sscan(workers, &c.Workers); err != nil || c.Workers < 1 {
			return nil, errors.Errorf("--customer %q: the number of workers is a whole number of at least 1", text)
		}
		c.Name, c.Key = fleet.CustomerName(name), key
		list = append(list, c)
	}
	return list, nil
}

func writeJSON(path string, res *load.Result) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(struct {
		*load.Result
		Figures []load.Figure
	}{res, res.Figures()}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write result")
}
