package soakcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/latency"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/harness"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/mutant"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

// environment holds what all subcommands share.
type environment struct {
	io  *iostreams.IOStreams
	ctx context.Context
}

// planOptions are the flags of the subcommands that run plans.
type planOptions struct {
	For       time.Duration `long:"for" default:"60s" description:"how long faults are injected"`
	Processes int           `long:"processes" default:"6" description:"processes of the fleet: 3 control hosts (5 from 12 processes on, 7 from 40 on), the rest routers"`
	Binary    string        `long:"binary" value-name:"FILE" description:"program of the deployment; built from the sources by default"`
	Without   string        `long:"without" value-name:"MECHANISM" description:"build with one mechanism disabled, to check that the soak finds it"`
	Out       string        `long:"out" value-name:"FOLDER" description:"folder for reports, logs and data; a temporary one by default"`
	Network   int           `long:"network" default:"80" description:"second byte of the loopback addresses of the processes; the proxies use the next one"`
	JSON      bool          `long:"json" description:"print the reports as JSON"`
}

// report is the result of a run. It is written as JSON.
type report struct {
	Plan plan.Plan
	// Without is the disabled mechanism, if any.
	Without string `json:",omitempty"`
	// Took is the duration of the run.
	Took time.Duration
	// Recovery is how long the deployment took to serve again after the last fault.
	Recovery time.Duration
	// Requests counts requests by outcome: the HTTP status, NoAnswer, or Cut for an incomplete
	// response.
	Requests map[string]int
	// Runs, Acks and Reads count the requests that arrived at targets, the acknowledged puts of
	// configurations, and the reads of them.
	Runs  int
	Acks  int
	Reads int
	// Times holds the latency quantiles of complete responses, as text.
	Times      string
	Violations []check.Violation
	// Folder holds the logs and data; it is removed if there are no violations.
	Folder string
}

// prepare creates the output folder and builds the program if none is given.
func (o *planOptions) prepare(ctx context.Context) error {
	if o.Out == "" {
		folder, err := os.MkdirTemp("", programName+"-")
		if err != nil {
			return errors.Wrap(err, "create folder")
		}
		o.Out = folder
	}
	if err := os.MkdirAll(o.Out, 0o700); err != nil {
		return errors.Wrap(err, "create folder")
	}
	if o.Binary != "" {
		return nil
	}
	binary, err := mutant.Build(ctx, o.Out, o.Without)
	o.Binary = binary
	return err
}

// runPlan runs a plan and writes its report. Logs and data are kept only if there are violations.
func (o *planOptions) runPlan(ctx context.Context, p plan.Plan) (*report, error) {
	folder := filepath.Join(o.Out, fmt.Sprintf("seed-%d-%d", p.Seed, time.Now().UnixNano()))
	if err := os.Mkdir(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	startedAt := time.Now()
	out, err := harness.Run(ctx, harness.Config{Plan: p, Binary: o.Binary, Folder: folder, Network: o.Network})
	if err != nil {
		return nil, err
	}
	r := &report{
		Plan: p, Without: o.Without, Took: time.Since(startedAt), Recovery: out.Recovery, Violations: out.Violations, Folder: folder,
		Requests: countRequests(&out.Record), Runs: len(out.Record.Executions), Acks: len(out.Record.Acks), Reads: len(out.Record.Reads),
		Times: latencySummary(&out.Record),
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	if len(r.Violations) == 0 {
		if err := os.RemoveAll(folder); err != nil {
			return nil, errors.Wrap(err, "remove folder")
		}
	}
	return r, errors.Wrap(os.WriteFile(folder+".json", text, 0o600), "write report")
}

// countRequests counts requests by outcome: the status, NoAnswer or Cut.
func countRequests(r *check.Record) map[string]int {
	n := map[string]int{}
	for i := range r.Requests {
		switch req := &r.Requests[i]; {
		case req.Status == 0:
			n["NoAnswer"]++
		case !req.Whole:
			n["Cut"]++
		default:
			n[fmt.Sprint(req.Status)]++
		}
	}
	return n
}

// latencySummary returns the latency quantiles of complete responses with status 200, as text.
func latencySummary(r *check.Record) string {
	h := latency.New()
	for i := range r.Requests {
		if req := &r.Requests[i]; req.Whole && req.Status == 200 {
			h.Record(string(req.Kind), req.Ended-req.Sent)
		}
	}
	return h.String()
}

// printTable prints a line for each report, with a heading on a terminal.
func printTable(io *iostreams.IOStreams, reports []*report) error {
	w := tabwriter.NewWriter(io.Out, 0, 0, 2, ' ', 0)
	if io.IsTerminal() {
		fmt.Fprintln(w, "SEED\tPROCESSES\tSTEPS\tREQUESTS\tSERVED\tRECOVERY\tVERDICT")
	}
	for _, r := range reports {
		total := 0
		for _, n := range r.Requests {
			total += n
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Plan.Seed, r.Plan.Controls+r.Plan.Routers, len(r.Plan.Steps),
			total, r.Requests["200"], r.Recovery.Round(time.Millisecond), verdictText(r))
	}
	return errors.Wrap(w.Flush(), "print table")
}

// verdictText returns ok, or BROKEN with the violated rules and the folder of the logs.
func verdictText(r *report) string {
	if len(r.Violations) == 0 {
		return "ok"
	}
	rules := []string{}
	seen := map[string]bool{}
	for _, v := range r.Violations {
		if !seen[v.Rule] {
			seen[v.Rule] = true
			rules = append(rules, v.Rule)
		}
	}
	return "BROKEN " + strings.Join(rules, ",") + " " + r.Folder
}
