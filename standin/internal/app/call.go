package app

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/caller"
)

const callExample = `Sends one request like a caller and prints the answer.

Examples:
  fuchsiashed-standin call --host 127.0.0.1:7121 --customer cafe-1 --key KEY --service drafter \
    --body '{"messages":[{"role":"user","content":"hello"}],"stream":true}'
  fuchsiashed-standin call --host 127.0.0.1:7121 --customer cafe-1 --key KEY --service permit-desk \
    --path /filings --idempotency-key filing-1 --body '{"Terrace":7}'`

// CallOptions holds the flags of the subcommand call.
type CallOptions struct {
	Hosts          []string      `long:"host" value-name:"IP:PORT" required:"yes" description:"any host of the fleet; may be repeated"`
	Customer       string        `long:"customer" required:"yes" description:"customer that calls"`
	Key            string        `long:"key" required:"yes" description:"bearer key of the customer"`
	Service        string        `long:"service" required:"yes" description:"service to call"`
	Method         string        `long:"method" default:"POST" description:"HTTP method"`
	Path           string        `long:"path" default:"/v1/chat/completions" description:"path below the service"`
	Body           string        `long:"body" description:"request body"`
	IdempotencyKey string        `long:"idempotency-key" description:"key of a call that runs at most once"`
	Timeout        time.Duration `long:"timeout" default:"60s" description:"bound on the whole call"`
}

func runCall(io *iostreams.IOStreams, opts CallOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	entry, err := parseAddresses("--host", opts.Hosts)
	if err != nil {
		return err
	}
	req := caller.Request{
		Customer: fleet.CustomerName(opts.Customer), Key: opts.Key, Service: fleet.ServiceName(opts.Service),
		Method: opts.Method, Path: opts.Path, IdempotencyKey: fleet.IdempotencyKey(opts.IdempotencyKey),
	}
	if opts.Body != "" {
		req.Body = []byte(opts.Body)
	}
	hosts, err := caller.FetchHosts(ctx, http.DefaultClient, entry, req.Customer, req.Service)
	if err != nil {
		return err
	}
	host := hosts.Hosts[0]
	answer, err := caller.Send(ctx, http.DefaultClient, host.Address, req)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.Err, "host %s (%s) status %d request %s first byte %s whole %s\n",
		host.Address, host.DataCentre, answer.Status, answer.RequestID, answer.TimeToFirstByte.Round(time.Microsecond), answer.TotalTime.Round(time.Microsecond))
	if answer.Failure != nil {
		return errors.Errorf("request %s failed: %s (%s): %s", answer.RequestID, answer.Failure.Reason, answer.Failure.Verdict, answer.Failure.Detail)
	}
	if answer.Status >= http.StatusBadRequest {
		return errors.Errorf("request %s was answered with status %d: %s", answer.RequestID, answer.Status, answer.Body)
	}
	_, err = io.Out.Write(answer.Body)
	return errors.Wrap(err, "write answer")
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	hosts := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Errorf("%s %q is not an IP address and port such as 127.0.0.1:7121", flag, text)
		}
		hosts = append(hosts, addr)
	}
	return hosts, nil
}
